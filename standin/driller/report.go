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

// Window is the interval over which received tokens are counted.
const Window = 250 * time.Millisecond

// Latency summarizes a distribution of latencies.
type Latency struct {
	Count  int64                 `json:"count"`
	Median cowslipproxy.Duration `json:"median"`
	P95    cowslipproxy.Duration `json:"p95"`
	P99    cowslipproxy.Duration `json:"p99"`
}

// Stats holds the statistics of a customer's requests.
type Stats struct {
	Customer   string                      `json:"customer"`
	Sent       int                         `json:"sent"`
	Done       int                         `json:"done"`
	Refused    map[cowslipproxy.Reason]int `json:"refused"` // by reason
	Unknown    int                         `json:"unknown"`
	Broken     int                         `json:"broken"`  // requests whose connection broke; included in Unknown
	Resent     int                         `json:"resent"`  // retries after broken connections
	Skipped    int                         `json:"skipped"` // not sent because the maximum was in flight
	Wrong      int                         `json:"wrong"`   // responses that differ from the expected text
	InTime     int                         `json:"in_time"` // done with the expected text before the deadline
	FirstToken Latency                     `json:"first"`   // time from arrival to the first token
	InterToken Latency                     `json:"between"` // time between two tokens
	Throughput float64                     `json:"whole"`   // tokens per second of responses with the expected text
	Goodput    float64                     `json:"timely"`  // tokens per second of such responses before the deadline
}

// Trace holds the outcome and the times of one request. The times are relative to the
// start of the run.
type Trace struct {
	Customer   string
	Outcome    cowslipproxy.Outcome
	InTime     bool
	Resent     int
	Arrived    time.Duration
	TokenTimes []time.Duration // arrival time of each token of a streamed response
	Ended      time.Duration
}

// Report is the result of a run.
type Report struct {
	Rate              float64               `json:"rate"`     // configured requests per second
	OfferedThroughput float64               `json:"offered"`  // requested completion tokens per second
	MeasuredDuration  cowslipproxy.Duration `json:"measured"` // time covered by the statistics
	Customers         []Stats               `json:"customers"`
	All               Stats                 `json:"all"`
	Windows           []int64               `json:"windows,omitempty"` // streamed tokens received in each 250 ms
	Traces            []Trace               `json:"-"`
}

// customerCounter accumulates the results of one customer.
type customerCounter struct {
	Stats
	firstToken, interToken        *hdrhistogram.Histogram
	completedTokens, inTimeTokens int
}

func newCustomerCounter(name string) *customerCounter {
	const maximum, digits = int64(MaxDuration), 3
	return &customerCounter{
		Stats:      Stats{Customer: name, Refused: map[cowslipproxy.Reason]int{}},
		firstToken: hdrhistogram.New(int64(time.Microsecond), maximum, digits),
		interToken: hdrhistogram.New(int64(time.Microsecond), maximum, digits),
	}
}

// collector accumulates the results of all customers.
type collector struct {
	mu       sync.Mutex
	driller  *Driller
	counters []*customerCounter // one per customer, and a last one for all
	windows  []int64
	traces   []Trace
}

func newCollector(d *Driller) *collector {
	col := &collector{driller: d, windows: make([]int64, int((d.Duration+d.Deadline+deadlineGrace)/Window)+2)}
	for _, customer := range d.Customers {
		col.counters = append(col.counters, newCustomerCounter(customer.Name))
	}
	col.counters = append(col.counters, newCustomerCounter("all"))
	return col
}

// recordToken counts a token of a streamed response.
func (col *collector) recordToken(at time.Duration) {
	col.mu.Lock()
	defer col.mu.Unlock()
	if i := int(at / Window); i < len(col.windows) {
		col.windows[i]++
	}
}

func (col *collector) recordSkipped(req arrival) {
	col.mu.Lock()
	defer col.mu.Unlock()
	if req.at < col.driller.WarmUp {
		return
	}
	for _, c := range col.countersFor(req) {
		c.Skipped++
	}
}

// countersFor returns the counters of the request's customer and of all customers.
func (col *collector) countersFor(req arrival) []*customerCounter {
	return []*customerCounter{col.counters[req.customer], col.counters[len(col.counters)-1]}
}

// addResult records a result. Outcomes and latencies cover the requests that arrived
// after the warm-up; throughput covers the responses that ended between the warm-up
// and the end of sending.
func (col *collector) addResult(req arrival, got result) {
	col.mu.Lock()
	defer col.mu.Unlock()
	d := col.driller
	if d.RecordTraces {
		col.traces = append(col.traces, Trace{
			Customer: d.Customers[req.customer].Name, Outcome: got.outcome, InTime: got.inTime,
			Resent: got.resent, Arrived: req.at, TokenTimes: got.tokenTimes, Ended: got.endedAt,
		})
	}
	for _, c := range col.countersFor(req) {
		if req.at >= d.WarmUp {
			c.addResult(req, got)
		}
		if got.endedAt >= d.WarmUp && got.endedAt < d.Duration {
			c.addTokens(got)
		}
	}
}

func (c *customerCounter) addTokens(got result) {
	if got.outcome == cowslipproxy.OutcomeDone && !got.wrong {
		c.completedTokens += got.tokenCount
	}
	if got.inTime {
		c.inTimeTokens += got.tokenCount
	}
}

func (c *customerCounter) addResult(req arrival, got result) {
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
	if got.connectionBroken {
		c.Broken++
	}
	if got.wrong {
		c.Wrong++
	}
	if got.inTime {
		c.InTime++
	}
	for i, at := range got.tokenTimes {
		if i == 0 {
			recordTime(c.firstToken, at-req.at)
			continue
		}
		recordTime(c.interToken, at-got.tokenTimes[i-1])
	}
}

// recordTime records a time in a histogram. Times outside its range are clamped.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), 0), int64(MaxDuration)))
}

// summarize returns the count and the percentiles of a histogram.
func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) cowslipproxy.Duration {
		return cowslipproxy.Duration(h.ValueAtPercentile(percent))
	}
	return Latency{Count: h.TotalCount(), Median: at(50), P95: at(95), P99: at(99)}
}

func (col *collector) report(d *Driller) *Report {
	col.mu.Lock()
	defer col.mu.Unlock()
	measured := d.Duration - d.WarmUp
	report := &Report{Rate: d.Rate, MeasuredDuration: cowslipproxy.Duration(measured), Windows: col.windows, Traces: col.traces}
	for _, c := range col.counters {
		c.FirstToken, c.InterToken = summarize(c.firstToken), summarize(c.interToken)
		c.Throughput, c.Goodput = float64(c.completedTokens)/measured.Seconds(), float64(c.inTimeTokens)/measured.Seconds()
		report.Customers = append(report.Customers, c.Stats)
	}
	last := len(report.Customers) - 1
	report.All, report.Customers = report.Customers[last], report.Customers[:last]
	report.OfferedThroughput = float64((report.All.Sent+report.All.Skipped)*d.CompletionTokens) / measured.Seconds()
	return report
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "customer\tsent\tdone\trefused\tunknown\tbroken\tresent\tskipped\twrong\tin time\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\twhole tok/s\tin time tok/s\t\n")
	for _, s := range append(slices.Clone(r.Customers), r.All) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", s.Customer, s.Sent, s.Done, s.totalRefused(), s.Unknown, s.Broken, s.Resent, s.Skipped, s.Wrong, s.InTime)
		for _, l := range []Latency{s.FirstToken, s.InterToken} {
			fmt.Fprintf(table, "%s\t%s\t%s\t", roundLatency(l.Median), roundLatency(l.P95), roundLatency(l.P99))
		}
		fmt.Fprintf(table, "%.1f\t%.1f\t\n", s.Throughput, s.Goodput)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range r.Customers {
		if err := s.writeRefusals(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "offered: %.1f requests/s, %.1f tokens/s for %v\n", r.Rate, r.OfferedThroughput, time.Duration(r.MeasuredDuration))
	return err
}

func roundLatency(d cowslipproxy.Duration) time.Duration {
	return time.Duration(d).Round(10 * time.Microsecond)
}

func (s Stats) totalRefused() int {
	total := 0
	for _, count := range s.Refused {
		total += count
	}
	return total
}

// writeRefusals writes the number of the customer's refusals for each reason.
func (s Stats) writeRefusals(w io.Writer) error {
	var reasons []string
	for reason := range s.Refused {
		reasons = append(reasons, string(reason))
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		if _, err := fmt.Fprintf(w, "refused to %s: %s %d\n", s.Customer, reason, s.Refused[cowslipproxy.Reason(reason)]); err != nil {
			return err
		}
	}
	return nil
}
