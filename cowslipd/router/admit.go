package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	firstUnits = 64   // requests in flight at the start, before the pace is known
	leastUnits = 8    // keeps a slow deployment measurable
	mostUnits  = 4096 // bounds the memory of requests in flight
	pace       = 42 * time.Millisecond

	suspectWait = 5 * time.Second // a daemon that was killed is noticed after 3 s
)

// admission admits requests. It implements caller.Admitter.
type admission struct {
	limits     *limiter.Limits
	quarantine func(now time.Time, request limiter.Request) *cowslipproxy.Failure
	track      *tracker
	floor      float64
	bound      int
	clock      func() time.Time

	ctx   context.Context
	group sync.WaitGroup
	mu    sync.Mutex
	gates map[string]*limiter.Gate // by model
}

// Admit implements caller.Admitter.
func (a *admission) Admit(ctx context.Context, admission caller.Admission) (func(int), error) {
	request := limiter.Request{
		Customer: admission.Customer,
		Content:  admission.Fingerprint,
		Tokens:   admission.Tokens,
		Deadline: admission.Deadline,
	}
	if admission.Tokens == 0 {
		return a.admitCall(request, admission.Request)
	}
	if failure := a.awaitSuspect(ctx, request); failure != nil {
		return nil, failure
	}
	gate := a.gate(admission.Kind)
	ticket, failure := gate.Wait(ctx, request)
	if failure != nil {
		return nil, failure
	}
	a.track.add(admission.Request, request, gate)
	return func(used int) {
		a.track.remove(admission.Request)
		gate.Leave(ticket, used)
	}, nil
}

// awaitSuspect holds a suspect back while it can't run for a moment: until all
// daemons know of it, or until the daemon that runs it is known to be gone.
func (a *admission) awaitSuspect(ctx context.Context, request limiter.Request) *cowslipproxy.Failure {
	ctx, cancel := context.WithTimeout(ctx, suspectWait)
	defer cancel()
	var failure *cowslipproxy.Failure
	waiter.Until(ctx, holdBackPoll, func() bool {
		failure = a.quarantine(a.clock(), request)
		return failure == nil || failure.RetryAfter > time.Second
	})
	return failure
}

// admitCall admits a call to a plain service, which has no tokens to count.
func (a *admission) admitCall(request limiter.Request, id string) (func(int), error) {
	if a.quarantine != nil {
		if failure := a.quarantine(a.clock(), request); failure != nil {
			return nil, failure
		}
	}
	a.track.add(id, request, nil)
	return func(int) { a.track.remove(id) }, nil
}

func (a *admission) gate(kind string) *limiter.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gate := a.gates[kind]; gate != nil {
		return gate
	}
	gate := &limiter.Gate{Now: a.clock, Limiter: &limiter.Limiter{
		Quarantine: a.quarantine,
		Limits:     a.limits,
		Queue:      &limiter.Queue{Units: firstUnits, MinUnits: leastUnits, MaxUnits: mostUnits, MaxTokenTime: pace, Floor: a.floor, MaxWaiting: a.bound},
	}}
	a.gates[kind] = gate
	a.group.Go(func() { gate.Run(a.ctx) })
	return gate
}

// all returns the gates by kind.
func (a *admission) all() map[string]*limiter.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.gates)
}

// tracker knows the requests in flight.
type tracker struct {
	mu       sync.Mutex
	requests map[string]tracked // by request id
}

type tracked struct {
	limiter.Request
	gate *limiter.Gate    // nil for calls to plain services
	run  *quarantiner.Run // nil while it may not run
}

func (t *tracker) add(id string, request limiter.Request, gate *limiter.Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[id] = tracked{Request: request, gate: gate}
}

func (t *tracker) setRun(id string, run *quarantiner.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if request, ok := t.requests[id]; ok {
		request.run = run
		t.requests[id] = request
	}
}

func (t *tracker) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, id)
}

func (t *tracker) get(id string) (tracked, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request, ok := t.requests[id]
	return request, ok
}

// meteredDriver runs jobs and tells the gates of the tokens that were computed.
type meteredDriver struct {
	driver *driver.Driver
	track  *tracker
	ended  func(ctx context.Context, request string, whole bool)

	refused func(ctx context.Context, name string, err error)
}

// Run implements caller.ModelRunner.
func (m *meteredDriver) Run(ctx context.Context, job driver.Job, emit func(driver.Token) error) (driver.Usage, error) {
	request, ok := m.track.get(job.Request)
	counted := func(token driver.Token) error {
		if ok {
			request.gate.Token(1)
		}
		return emit(token)
	}
	usage, err := m.driver.Run(ctx, job, counted)
	m.ended(ctx, job.Request, err == nil)
	m.refused(ctx, job.Model.Name, err)
	if ok {
		request.gate.Prompt(usage.Prompt)
	}
	return usage, err
}
