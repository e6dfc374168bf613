package driller

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipproxy/cowslipproxy"
)

// Window is the time for which received tokens are summed up.
const Window = 250 * time.Millisecond

// Latency sums up a distribution of times.
type Latency struct {
	Count  int64                 `json:"count"`
	Median cowslipproxy.Duration `json:"median"`
	P95    cowslipproxy.Duration `json:"p95"`
	P99    cowslipproxy.Duration `json:"p99"`
}

// Account is what became of a customer's requests.
type Account struct {
	Customer string                      `json:"customer"`
	Sent     int                         `json:"sent"`
	Done     int                         `json:"done"`
	Refused  map[cowslipproxy.Reason]int `json:"refused"` // by reason
	Unknown  int                         `json:"unknown"`
	Broken   int                         `json:"broken"`  // of unknown: the connection broke
	Resent   int                         `json:"resent"`  // sent again after a broken connection
	Skipped  int                         `json:"skipped"` // not sent because too many were in flight
	Wrong    int                         `json:"wrong"`   // answers that differ from the expected ones
	InTime   int                         `json:"in_time"` // done within the deadline
	First    Latency                     `json:"first"`   // from arrival to the first token
	Between  Latency                     `json:"between"` // between two tokens
	Whole    float64                     `json:"whole"`   // tokens per second in whole answers
	Timely   float64                     `json:"timely"`  // tokens per second in whole answers in time
}

// Trace holds the times of one request, from the start of the run.
type Trace struct {
	Customer string
	Outcome  cowslipproxy.Outcome
	InTime   bool
	Resent   int
	Arrived  time.Duration
	Tokens   []time.Duration // of a streamed answer
	Ended    time.Duration
}

// Report is the result of a run.
type Report struct {
	Rate      float64               `json:"rate"`     // requests per second that were asked for
	Offered   float64               `json:"offered"`  // tokens per second of answers that were asked for
	Measured  cowslipproxy.Duration `json:"measured"` // time that the figures cover
	Customers []Account             `json:"customers"`
	All       Account               `json:"all"`
	Windows   []int64               `json:"windows,omitempty"` // tokens of streamed answers received in each 250 ms
	Traces    []Trace               `json:"-"`
}

// counter sums up the results of one customer.
type counter struct {
	Account
	first, between *hdrhistogram.Histogram
	whole, timely  int // tokens
}

func newCounter(name string) *counter {
	const most, digits = int64(MaxDuration), 3
	return &counter{
		Account: Account{Customer: name, Refused: map[cowslipproxy.Reason]int{}},
		first:   hdrhistogram.New(int64(time.Microsecond), most, digits),
		between: hdrhistogram.New(int64(time.Microsecond), most, digits),
	}
}

// tally sums up the results of all customers.
type tally struct {
	mu       sync.Mutex
	driller  *Driller
	counters []*counter // one for each customer, then one for all
	windows  []int64
	traces   []Trace
}

func newTally(d *Driller) *tally {
	t := &tally{driller: d, windows: make([]int64, int((d.Duration+d.Deadline+graceTime)/Window)+2)}
	for _, customer := range d.Customers {
		t.counters = append(t.counters, newCounter(customer.Name))
	}
	t.counters = append(t.counters, newCounter("all"))
	return t
}

// received counts a token of a streamed answer.
func (t *tally) received(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := int(at / Window); i < len(t.windows) {
		t.windows[i]++
	}
}

func (t *tally) skip(next arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next.at < t.driller.Warm {
		return
	}
	for _, c := range t.of(next) {
		c.Skipped++
	}
}

func (t *tally) of(next arrival) []*counter {
	return []*counter{t.counters[next.customer], t.counters[len(t.counters)-1]}
}

// add counts a result. Outcomes and latencies cover the requests that arrived
// after the warm-up, throughput covers the answers that ended between the
// warm-up and the end of sending.
func (t *tally) add(next arrival, got result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.driller
	if d.Traces {
		t.traces = append(t.traces, Trace{
			Customer: d.Customers[next.customer].Name, Outcome: got.outcome, InTime: got.inTime,
			Resent: got.resent, Arrived: next.at, Tokens: got.tokens, Ended: got.ended,
		})
	}
	for _, c := range t.of(next) {
		if next.at >= d.Warm {
			c.add(next, got)
		}
		if got.ended >= d.Warm && got.ended < d.Duration {
			c.addTokens(got)
		}
	}
}

func (c *counter) addTokens(got result) {
	if got.outcome == cowslipproxy.OutcomeDone && !got.wrong {
		c.whole += got.count
	}
	if got.inTime {
		c.timely += got.count
	}
}

func (c *counter) add(next arrival, got result) {
	c.Sent++
	c.Resent += got.resent
	switch got.outcome {
	case cowslipproxy.OutcomeDone:
		c.Done++
	case cowslipproxy.OutcomeRefused:
		c.Refused[got.reason]++
	default:
		c.Unknown++
	}
	if got.broken {
		c.Broken++
	}
	if got.wrong {
		c.Wrong++
	}
	if got.inTime {
		c.InTime++
	}
	for i, at := range got.tokens {
		if i == 0 {
			record(c.first, at-next.at)
			continue
		}
		record(c.between, at-got.tokens[i-1])
	}
}

// record counts a time. Values outside the histogram's range are cut to it.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), 0), int64(MaxDuration)))
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) cowslipproxy.Duration {
		return cowslipproxy.Duration(h.ValueAtPercentile(percent))
	}
	return Latency{Count: h.TotalCount(), Median: at(50), P95: at(95), P99: at(99)}
}

func (t *tally) report(d *Driller) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	measured := d.Duration - d.Warm
	report := &Report{Rate: d.Rate, Measured: cowslipproxy.Duration(measured), Windows: t.windows, Traces: t.traces}
	for _, c := range t.counters {
		c.First, c.Between = latency(c.first), latency(c.between)
		c.Whole, c.Timely = float64(c.whole)/measured.Seconds(), float64(c.timely)/measured.Seconds()
		report.Customers = append(report.Customers, c.Account)
	}
	last := len(report.Customers) - 1
	report.All, report.Customers = report.Customers[last], report.Customers[:last]
	report.Offered = float64((report.All.Sent+report.All.Skipped)*d.Answer) / measured.Seconds()
	return report
}

// Text writes the report as a table.
func (r *Report) Text(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "customer\tsent\tdone\trefused\tunknown\tbroken\tresent\tskipped\twrong\tin time\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\twhole tok/s\tin time tok/s\t\n")
	for _, a := range append(slices.Clone(r.Customers), r.All) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", a.Customer, a.Sent, a.Done, a.refusals(), a.Unknown, a.Broken, a.Resent, a.Skipped, a.Wrong, a.InTime)
		for _, l := range []Latency{a.First, a.Between} {
			fmt.Fprintf(table, "%s\t%s\t%s\t", short(l.Median), short(l.P95), short(l.P99))
		}
		fmt.Fprintf(table, "%.1f\t%.1f\t\n", a.Whole, a.Timely)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, a := range r.Customers {
		if err := a.reasons(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "offered: %.1f requests/s, %.1f tokens/s for %v\n", r.Rate, r.Offered, time.Duration(r.Measured))
	return err
}

func short(d cowslipproxy.Duration) time.Duration {
	return time.Duration(d).Round(10 * time.Microsecond)
}

func (a Account) refusals() int {
	sum := 0
	for _, count := range a.Refused {
		sum += count
	}
	return sum
}

// reasons writes the refusals of a customer by reason.
func (a Account) reasons(w io.Writer) error {
	var reasons []string
	for reason := range a.Refused {
		reasons = append(reasons, string(reason))
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		if _, err := fmt.Fprintf(w, "refused to %s: %s %d\n", a.Customer, reason, a.Refused[cowslipproxy.Reason(reason)]); err != nil {
			return err
		}
	}
	return nil
}
