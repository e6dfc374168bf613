// Package driller sends requests to entry daemons at a given rate, whatever the
// answers do, and checks each answer token by token.
package driller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Limits of a run.
const (
	MaxCount    = 1_000_000
	MaxDuration = time.Hour

	usualCallers  = 30
	usualInFlight = 4096
	dialTime      = time.Second
	graceTime     = 2 * time.Second // behind the deadline, for an answer that tells of it
)

// Customer is a customer in whose name requests are sent.
type Customer struct {
	Name   string
	Key    string  // bearer key
	Weight float64 // part of the requests, relative to the other customers
}

// Driller is one run of load. Its exported fields are set before Run.
type Driller struct {
	Seeds     []netip.AddrPort // entry daemons that are asked for addresses first
	Customers []Customer
	Model     cowslipproxy.Model // name, version and layers, for the expected answers
	Adapter   string
	Rate      float64       // requests per second
	Duration  time.Duration // sending time
	Count     int           // most requests; 0 means MaxCount
	Warm      time.Duration // requests that arrive before it are sent but not reported
	Prompt    int           // tokens of a prompt
	Answer    int           // tokens of an answer
	Streamed  float64       // part of the requests whose answers are streamed
	Deadline  time.Duration
	Resend    int // most times that a request is sent again after a broken connection
	Callers   int // callers, each with its own answer to the question for addresses; 0 means 30
	InFlight  int // most requests in flight; 0 means 4096
	Seed      uint64
	Traces    bool // report the times of each request

	client  *http.Client
	started time.Time
	callers []*asker
	tally   *tally
}

// arrival is a request that is to be sent.
type arrival struct {
	index    int
	at       time.Duration // since the start
	customer int
	caller   int
	streamed bool
}

// Check reports the first field that is out of range.
func (d *Driller) Check() error {
	switch {
	case len(d.Seeds) == 0:
		return errors.New("seeds: found none, accepted is at least one IP number and port")
	case len(d.Customers) == 0:
		return errors.New("customers: found none, accepted is at least one")
	case d.Rate <= 0:
		return errors.Errorf("rate: found %v, accepted are values above 0", d.Rate)
	case d.Duration <= 0 || d.Duration > MaxDuration:
		return errors.Errorf("duration: found %v, accepted are values up to %v", d.Duration, MaxDuration)
	case d.Warm < 0 || d.Warm >= d.Duration:
		return errors.Errorf("warm: found %v, accepted are values from 0 and below the duration", d.Warm)
	case d.Count < 0 || d.Count > MaxCount:
		return errors.Errorf("count: found %d, accepted are values up to %d", d.Count, MaxCount)
	case d.Prompt < 1 || d.Answer < 1:
		return errors.Errorf("prompt, answer: found %d and %d, accepted are values from 1", d.Prompt, d.Answer)
	case d.Streamed < 0 || d.Streamed > 1:
		return errors.Errorf("streamed: found %v, accepted are values from 0 to 1", d.Streamed)
	case d.Deadline <= 0 || d.Deadline > MaxDuration:
		return errors.Errorf("deadline: found %v, accepted are values up to %v", d.Deadline, MaxDuration)
	}
	for _, customer := range d.Customers {
		if customer.Weight <= 0 {
			return errors.Errorf("customers: found weight %v of %s, accepted are values above 0", customer.Weight, customer.Name)
		}
	}
	return nil
}

// Run sends the requests and returns what became of them. The end of ctx ends
// the sending early and breaks off the requests in flight.
func (d *Driller) Run(ctx context.Context) (*Report, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: d.inFlight(),
	}
	defer transport.CloseIdleConnections()
	d.client = &http.Client{Transport: transport}
	d.callers = make([]*asker, max(d.Callers, 1))
	if d.Callers == 0 {
		d.callers = make([]*asker, usualCallers)
	}
	for i := range d.callers {
		d.callers[i] = &asker{seeds: d.Seeds, client: d.client}
		if _, err := d.callers[i].address(ctx); err != nil {
			return nil, err
		}
	}
	d.tally = newTally(d)
	d.started = time.Now()
	d.send(ctx)
	return d.tally.report(d), nil
}

// send starts each request at its time and waits for the last one to end.
func (d *Driller) send(ctx context.Context) {
	slots := make(chan struct{}, d.inFlight())
	var group sync.WaitGroup
	defer group.Wait()
	for _, next := range d.arrivals() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(d.started.Add(next.at))):
		}
		select {
		case slots <- struct{}{}:
		default:
			d.tally.skip(next)
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			d.tally.add(next, d.complete(ctx, next))
		})
	}
}

func (d *Driller) inFlight() int {
	if d.InFlight > 0 {
		return d.InFlight
	}
	return usualInFlight
}

// arrivals draws a Poisson process: the times between arrivals are exponential.
func (d *Driller) arrivals() []arrival {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	count := d.Count
	if count == 0 {
		count = MaxCount
	}
	var arrivals []arrival
	var at time.Duration
	for index := range count {
		at += time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second))
		if at > d.Duration {
			break
		}
		arrivals = append(arrivals, arrival{
			index: index, at: at, customer: d.draw(random),
			caller: random.IntN(len(d.callers)), streamed: random.Float64() < d.Streamed,
		})
	}
	return arrivals
}

// draw picks a customer by weight.
func (d *Driller) draw(random *rand.Rand) int {
	var sum float64
	for _, customer := range d.Customers {
		sum += customer.Weight
	}
	left := random.Float64() * sum
	for i, customer := range d.Customers {
		if left -= customer.Weight; left < 0 {
			return i
		}
	}
	return len(d.Customers) - 1
}
