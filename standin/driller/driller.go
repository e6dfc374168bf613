// Package driller is an open-loop load generator for entry daemons: requests arrive
// at a given rate, independent of the responses. It compares each response with the
// expected tokens.
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

	defaultCallers     = 30
	defaultMaxInFlight = 4096
	dialTimeout        = time.Second
	deadlineGrace      = 2 * time.Second // time after the deadline to receive a response that reports it
)

// Customer is a customer for whom requests are sent.
type Customer struct {
	Name   string
	Key    string  // bearer token
	Weight float64 // share of the requests relative to the other customers
}

// Driller is a load test. Its exported fields must be set before Run.
type Driller struct {
	SeedAddresses    []netip.AddrPort // entry daemons that the callers ask for addresses first
	Customers        []Customer
	Model            cowslipproxy.Model // its name, version and layers determine the expected tokens
	Adapter          string
	Rate             float64       // requests per second
	Duration         time.Duration // time during which requests are sent
	MaxRequests      int           // maximum number of requests; 0 means MaxCount
	WarmUp           time.Duration // initial part of Duration that the statistics exclude
	PromptTokens     int           // tokens per prompt
	CompletionTokens int           // tokens per completion
	StreamedShare    float64       // share of the requests with streamed responses
	Deadline         time.Duration // from the arrival of a request
	MaxResends       int           // maximum retries of a request after broken connections
	Callers          int           // number of callers, each with an address cache of its own; 0 means 30
	MaxInFlight      int           // maximum requests in flight; 0 means 4096
	Seed             uint64        // random seed of the arrivals; part of the prompts
	RecordTraces     bool          // include a trace of each request in the report

	client        *http.Client
	started       time.Time
	addressCaches []*addressCache
	collector     *collector
}

// arrival is a scheduled request.
type arrival struct {
	index    int
	at       time.Duration // since the start of the run
	customer int
	caller   int
	streamed bool
}

// Check reports the first invalid field. It names the field by its flag of the load
// subcommand.
func (d *Driller) Check() error {
	switch {
	case len(d.SeedAddresses) == 0:
		return errors.New("daemons: at least one address is required")
	case len(d.Customers) == 0:
		return errors.New("customers: at least one is required")
	case d.Rate <= 0:
		return errors.Errorf("rate: %v is not positive", d.Rate)
	case d.Duration <= 0 || d.Duration > MaxDuration:
		return errors.Errorf("duration: %v is not positive or exceeds %v", d.Duration, MaxDuration)
	case d.WarmUp < 0 || d.WarmUp >= d.Duration:
		return errors.Errorf("warm: %v is negative or not less than the duration", d.WarmUp)
	case d.MaxRequests < 0 || d.MaxRequests > MaxCount:
		return errors.Errorf("count: %d is not between 0 and %d", d.MaxRequests, MaxCount)
	case d.PromptTokens < 1 || d.CompletionTokens < 1:
		return errors.Errorf("prompt, answer: %d and %d tokens, must be at least 1 each", d.PromptTokens, d.CompletionTokens)
	case d.StreamedShare < 0 || d.StreamedShare > 1:
		return errors.Errorf("streamed: %v is not between 0 and 1", d.StreamedShare)
	case d.Deadline <= 0 || d.Deadline > MaxDuration:
		return errors.Errorf("deadline: %v is not positive or exceeds %v", d.Deadline, MaxDuration)
	}
	for _, customer := range d.Customers {
		if customer.Weight <= 0 {
			return errors.Errorf("customers: weight %v of %s is not positive", customer.Weight, customer.Name)
		}
	}
	return nil
}

// Run sends the requests and reports their results. When ctx ends, it stops sending
// and aborts the requests in flight.
func (d *Driller) Run(ctx context.Context) (*Report, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: d.maxInFlight(),
	}
	defer transport.CloseIdleConnections()
	d.client = &http.Client{Transport: transport}
	d.addressCaches = make([]*addressCache, max(d.Callers, 1))
	if d.Callers == 0 {
		d.addressCaches = make([]*addressCache, defaultCallers)
	}
	for i := range d.addressCaches {
		d.addressCaches[i] = &addressCache{seedAddresses: d.SeedAddresses, client: d.client}
		if _, err := d.addressCaches[i].address(ctx); err != nil {
			return nil, err
		}
	}
	d.collector = newCollector(d)
	d.started = time.Now()
	d.send(ctx)
	return d.collector.report(d), nil
}

// send starts each request at its arrival time and waits until all have ended. A
// request that would exceed the maximum in flight is skipped.
func (d *Driller) send(ctx context.Context) {
	slots := make(chan struct{}, d.maxInFlight())
	var group sync.WaitGroup
	defer group.Wait()
	for _, req := range d.arrivals() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(d.started.Add(req.at))):
		}
		select {
		case slots <- struct{}{}:
		default:
			d.collector.recordSkipped(req)
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			d.collector.addResult(req, d.complete(ctx, req))
		})
	}
}

func (d *Driller) maxInFlight() int {
	if d.MaxInFlight > 0 {
		return d.MaxInFlight
	}
	return defaultMaxInFlight
}

// arrivals returns the arrivals of a Poisson process, whose interarrival times are
// exponentially distributed.
func (d *Driller) arrivals() []arrival {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	count := d.MaxRequests
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
			index: index, at: at, customer: d.pickCustomer(random),
			caller: random.IntN(len(d.addressCaches)), streamed: random.Float64() < d.StreamedShare,
		})
	}
	return arrivals
}

// pickCustomer returns the index of a random customer by weight.
func (d *Driller) pickCustomer(random *rand.Rand) int {
	var totalWeight float64
	for _, customer := range d.Customers {
		totalWeight += customer.Weight
	}
	remaining := random.Float64() * totalWeight
	for i, customer := range d.Customers {
		if remaining -= customer.Weight; remaining < 0 {
			return i
		}
	}
	return len(d.Customers) - 1
}
