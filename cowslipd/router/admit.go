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
	initialUnits    = 64   // limit on the requests in flight before the first measurement
	minUnits        = 8    // with fewer requests in flight, a slow deployment gives too few measurements
	maxUnits        = 4096 // bounds the memory of requests in flight
	targetTokenTime = 42 * time.Millisecond

	suspectWaitTimeout = 5 * time.Second // longer than the 3 s after which a failed daemon is known to be down
)

// admission is the admission control for requests. It implements caller.Admitter.
type admission struct {
	limits          *limiter.Limits
	checkQuarantine func(now time.Time, request limiter.Request) *cowslipproxy.Failure
	inFlight        *requestTracker
	floor           float64
	maxQueued       int
	clock           func() time.Time

	ctx   context.Context
	group sync.WaitGroup
	mu    sync.Mutex
	gates map[string]*limiter.Gate // by scope of the model
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
		return a.admitServiceCall(request, admission.Request)
	}
	if failure := a.awaitQuarantineCheck(ctx, request); failure != nil {
		return nil, failure
	}
	gate := a.gate(admission.Scope)
	ticket, failure := gate.Wait(ctx, request)
	if failure != nil {
		return nil, failure
	}
	a.inFlight.add(admission.Request, request, gate)
	return func(used int) {
		a.inFlight.remove(admission.Request)
		gate.Leave(ticket, used)
	}, nil
}

// awaitQuarantineCheck delays a suspect request while the quarantine refuses it only
// temporarily, with a RetryAfter of at most 1 s: until its record is replicated to all
// daemons, until another run of it has ended, or until the daemon that may run it is
// known to be down. It returns the last refusal, or nil if the request may run.
func (a *admission) awaitQuarantineCheck(ctx context.Context, request limiter.Request) *cowslipproxy.Failure {
	ctx, cancel := context.WithTimeout(ctx, suspectWaitTimeout)
	defer cancel()
	var failure *cowslipproxy.Failure
	waiter.Until(ctx, quarantinePollInterval, func() bool {
		failure = a.checkQuarantine(a.clock(), request)
		return failure == nil || failure.RetryAfter > time.Second
	})
	return failure
}

// admitServiceCall admits a call to a plain service. Such calls consume no tokens.
func (a *admission) admitServiceCall(request limiter.Request, id string) (func(int), error) {
	if a.checkQuarantine != nil {
		if failure := a.checkQuarantine(a.clock(), request); failure != nil {
			return nil, failure
		}
	}
	a.inFlight.add(id, request, nil)
	return func(int) { a.inFlight.remove(id) }, nil
}

func (a *admission) gate(scope string) *limiter.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gate := a.gates[scope]; gate != nil {
		return gate
	}
	gate := &limiter.Gate{Now: a.clock, Limiter: &limiter.Limiter{
		Quarantine: a.checkQuarantine,
		Limits:     a.limits,
		Queue:      &limiter.Queue{Units: initialUnits, MinUnits: minUnits, MaxUnits: maxUnits, MaxTokenTime: targetTokenTime, Floor: a.floor, MaxWaiting: a.maxQueued},
	}}
	a.gates[scope] = gate
	a.group.Go(func() { gate.Run(a.ctx) })
	return gate
}

// allGates returns a copy of the gates, by scope of the model.
func (a *admission) allGates() map[string]*limiter.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.gates)
}

// requestTracker holds the admitted requests that have not ended.
type requestTracker struct {
	mu       sync.Mutex
	requests map[string]trackedRequest // by request id
}

type trackedRequest struct {
	limiter.Request
	gate *limiter.Gate    // nil for calls to plain services
	run  *quarantiner.Run // nil unless the quarantine has permitted the latest attempt
}

func (t *requestTracker) add(id string, request limiter.Request, gate *limiter.Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[id] = trackedRequest{Request: request, gate: gate}
}

func (t *requestTracker) setRun(id string, run *quarantiner.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if request, ok := t.requests[id]; ok {
		request.run = run
		t.requests[id] = request
	}
}

func (t *requestTracker) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, id)
}

func (t *requestTracker) get(id string) (trackedRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request, ok := t.requests[id]
	return request, ok
}

// meteredDriver runs jobs and reports their prompt and output tokens to the gates that
// admitted them.
type meteredDriver struct {
	driver   *driver.Driver
	inFlight *requestTracker
	onEnd    func(ctx context.Context, request string, success bool)

	onError func(ctx context.Context, name string, err error)
}

// Run implements caller.ModelRunner.
func (m *meteredDriver) Run(ctx context.Context, job driver.Job, emit func(driver.Token) error) (driver.Usage, error) {
	request, ok := m.inFlight.get(job.Request)
	countingEmit := func(token driver.Token) error {
		if ok {
			request.gate.Token(1)
		}
		return emit(token)
	}
	usage, err := m.driver.Run(ctx, job, countingEmit)
	m.onEnd(ctx, job.Request, err == nil)
	m.onError(ctx, job.Model.Name, err)
	if ok {
		request.gate.Prompt(usage.Prompt)
	}
	return usage, err
}
