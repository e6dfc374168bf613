package relayer

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/throttler"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	// maxSends bounds how often a request is sent, including attempts that were
	// not executed before the first event was sent to the caller.
	maxSends = 5
	// retryBackoff is the initial delay after an attempt that was not executed,
	// usually because an engine was out of memory. It doubles with each attempt.
	// Memory is freed often, since many requests share an engine and each holds its
	// memory for a few seconds.
	retryBackoff = 40 * time.Millisecond
	// pathPollInterval is the time between two searches for a path while some layer
	// is held by no engine.
	pathPollInterval = 50 * time.Millisecond
	// resumePollInterval is the time between two checks whether the retry budget allows
	// to resume a stream, and the longest delay after a refused resumption.
	resumePollInterval = 200 * time.Millisecond
	// fullMemory is the fraction of its memory above which an engine may refuse a request
	// because it has no room for it.
	fullMemory = 0.8
	// verifyTimeout bounds the wait for the first event of an attempt that verifies the end of
	// an answer. The caller may have the whole answer and waits only for its end.
	verifyTimeout = time.Second
	// minConfirmations is how many resumptions without an event verify the end of an answer, unless
	// one of them has a length or chunks. A cut connection ends a resumption in the same way.
	minConfirmations = 2
	// maxVerifications bounds the attempts that should verify the end and do not.
	maxVerifications = 2
	// streamBufferSize is the read buffer of a stream in bytes; it holds a few events.
	streamBufferSize = 2 << 10
)

var (
	errNoPath = errors.New("some layers are held by no engine")
	errNoRoom = errors.New("the links between data centres have no room")
)

// streamExchange relays a request to a path of engines, each of which runs some
// layers of the model.
type streamExchange struct {
	*exchange
	sends          int // number of attempts so far, including the current one
	refusedResumes int // number of these that were not executed, after the first event was sent to the caller
	// retryGranted is set if the retry was charged to the retry budget before the
	// attempt was aborted. The attempt's mutex guards it until the attempt ends.
	retryGranted bool
	// grantedUnsent is set if no connection to an upstream had been established before that, so
	// that the effect of the request was not checked.
	grantedUnsent      bool
	lastEventID        string           // id of the last event sent to the caller
	isEndUnverified    bool             // the last events came without a length or chunks and ended between two events
	confirmations      int              // number of resumptions without a length or chunks that had no further event
	entryEngineCount   int              // number of entry engines (first engines of a path) that may have started the request
	entryEngines       []string         // ids of these engines
	failedEntryEngines []string         // ids of entry engines whose attempt failed
	lastEventAt        time.Time        // time at which the last event was sent to the caller
	place              *throttler.Place // held until the first event
	serviceThrottler   *throttler.Throttler
	linkWait           time.Duration // time until the links have room, if that is why there was no path
}

// run sends the request until a stream is complete or no further attempt is
// allowed.
func (s *streamExchange) run(ctx context.Context) *cowslipproxy.Failure {
	s.lastEventID = s.callerRequest.LastEventID
	if failure := s.enqueue(ctx); failure != nil {
		return failure
	}
	defer func() { s.serviceThrottler.Leave(s.Clock(), s.bounds(), s.place) }()
	finder := s.Upstreams.Finder(s.service.Name)
	var err error
	for s.sends = 1; ; s.sends++ {
		s.retryGranted = false
		var path *pathfinder.Path
		if path, err = s.awaitPath(ctx, finder); err != nil {
			break
		}
		if s.isEndUnverified {
			s.verifications++
		}
		var notExecuted bool
		if notExecuted, err = s.attempt(ctx, finder, path); err == nil {
			return nil
		}
		if notExecuted && s.awaitsRest() {
			s.refusedResumes++
		}
		if ctx.Err() != nil || s.isQuarantined() || s.isEndUnverified && s.verifications-s.confirmations == maxVerifications || !s.isRetryGranted() && !s.awaitRetry(ctx, notExecuted) {
			break
		}
		if notExecuted && !waiter.Wait(ctx, s.backoff()) {
			break
		}
	}
	return s.finalFailure(ctx, err)
}

// isRetryGranted reports whether the retry was granted before the attempt was aborted. A
// connection that was established in between may have carried the request.
func (s *streamExchange) isRetryGranted() bool {
	return s.retryGranted && !(s.grantedUnsent && s.arrivals.Load() > 0)
}

// awaitsRest reports whether the caller has got events and certainly not all of them.
func (s *streamExchange) awaitsRest() bool { return s.eventsSent > 0 && !s.isEndUnverified }

// awaitRetry reports whether the request may be sent again. Once the caller has got
// events, it waits until the retry budget allows that, because the answer would be lost
// otherwise. The caller disconnects when it has waited too long.
func (s *streamExchange) awaitRetry(ctx context.Context, notExecuted bool) bool {
	for !s.canRetry(ctx, notExecuted, s.eventsSent > 0) {
		if !s.awaitsRest() || !s.hasSendsLeft() || !waiter.Wait(ctx, resumePollInterval) {
			return false
		}
	}
	return true
}

// backoff returns the delay after an attempt that was not executed.
func (s *streamExchange) backoff() time.Duration {
	delay := retryBackoff << min(s.sends-1, maxSends)
	if s.eventsSent > 0 {
		delay = min(delay, resumePollInterval)
	}
	return delay + rand.N(retryBackoff)
}

// awaitPath returns a path for the next attempt. If there is none, because some
// layer is held by no engine yet, it waits for one up to the route's target, or while
// the caller waits for the rest of its answer.
func (s *streamExchange) awaitPath(ctx context.Context, finder *pathfinder.Finder) (*pathfinder.Path, error) {
	limit := s.Clock().Add(s.route.Target)
	for {
		path, err := s.choosePath(ctx, finder)
		if s.isRejected() {
			return nil, errors.WithStack(errRejected)
		}
		if err == nil {
			return path, nil
		}
		isHopeless := errors.Is(err, errAtLimit) || errors.Is(err, errNoRoom) && s.Clock().Add(s.linkWait).After(limit)
		if !s.awaitsRest() && (isHopeless || s.Clock().After(limit)) {
			return nil, err
		}
		if !waiter.Wait(ctx, pathPollInterval) {
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// choosePath returns a path whose first engine may get the request. The error wraps
// errAtLimit if there is only none because engines are at their limits.
func (s *streamExchange) choosePath(ctx context.Context, finder *pathfinder.Finder) (*pathfinder.Path, error) {
	need := s.need()
	for {
		path, ok := finder.Choose(s.Clock(), need)
		switch {
		case !ok && len(need.AtLimit) > 0:
			return nil, errors.WithStack(errAtLimit)
		case !ok:
			return nil, errors.WithStack(errNoPath)
		case path.Wait > 0:
			s.linkWait = path.Wait
			return nil, errors.WithStack(errNoRoom)
		case s.acquire(ctx, path.First().Incarnation()):
			return path, nil
		}
		need.AtLimit = append(need.AtLimit, path.First().Instance)
	}
}

// need returns the requirements of the next attempt on its path. Once the request
// was sent to as many entry engines as its route allows, it resumes at one of
// them.
func (s *streamExchange) need() pathfinder.Need {
	need := pathfinder.Need{Tokens: s.callerRequest.Prompt + s.expectedOutput(), Avoid: s.failedEntryEngines, IsResumed: s.eventsSent > 0 || s.callerRequest.LastEventID != ""}
	if s.entryEngineCount >= s.route.Attempts {
		need.Avoid, need.Entry = nil, s.entryEngines
	}
	return need
}

// expectedOutput returns the expected number of output tokens.
func (s *streamExchange) expectedOutput() int {
	if s.callerRequest.LengthHint > 0 {
		return s.callerRequest.LengthHint
	}
	return s.service.Engine.Answer
}

// canRetry reports whether the request may be sent again. An allowed retry is
// charged to the retry budget.
func (s *streamExchange) canRetry(ctx context.Context, notExecuted, isResumed bool) bool {
	return s.hasSendsLeft() && s.chargeRetry(ctx, notExecuted, isResumed, 0)
}

// hasSendsLeft reports whether the number of attempts allows another one.
func (s *streamExchange) hasSendsLeft() bool { return s.sends-s.refusedResumes < maxSends }

// finalFailure returns the failure that the caller gets when no further attempt
// is made.
func (s *streamExchange) finalFailure(ctx context.Context, err error) *cowslipproxy.Failure {
	if s.isEndUnverified {
		s.answerEnd, s.endCause = endUnverified, err
	}
	if s.isEndUnverified && s.status != 0 && !s.framed && s.route.Effect != cowslipproxy.EffectRepeat {
		return nil // neither this daemon nor the caller may resume it: the answer ends as it came
	}
	if s.status != 0 {
		return cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the stream broke off: %v", err)
	}
	if errors.Is(err, errRejected) {
		return refuseStopping()
	}
	if s.entryEngineCount > 0 {
		return s.unknownOutcome(ctx, err)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonCancelled, "the caller disconnected")
	}
	if errors.Is(err, errAtLimit) {
		return s.refuseAtLimit()
	}
	if errors.Is(err, errNoRoom) {
		return s.throttled(s.linkWait)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "no engine accepted the request: %v", err).After(overloadRetryAfter)
}

// attempt sends the request on a path and relays the events. It reports whether
// the request was provably not executed.
func (s *streamExchange) attempt(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) (notExecuted bool, err error) {
	if s.eventsSent > 0 {
		reporter.Count(s.Metrics, reporter.MetricStreamsResumed)
	}
	a := s.startAttempt(ctx, finder, path)
	defer a.end()
	first := path.First()
	s.path = path.Hops
	s.serviceThrottler.Start(s.Clock(), s.place)
	reply, err := s.send(a.ctx, first.Incarnation(), cowslipproxy.Dispatch{Instance: first.Instance, Address: first.Address, Path: path.Hops, LastEventID: s.lastEventID})
	switch {
	case err == nil && reply.StatusCode == http.StatusOK:
		s.countStarted(first)
		err = a.relayEvents(reply)
	case err == nil:
		notExecuted, err = a.handleRejection(reply)
	case errors.Is(err, cowslipproxy.ErrNotStarted):
		notExecuted = true
		finder.ReportFailure(s.Clock(), first.Address)
	default:
		s.countStarted(first)
	}
	if notExecuted {
		reporter.Count(s.Metrics, reporter.MetricNotRun)
	}
	a.recordCrash(first, err)
	if err != nil && !notExecuted {
		s.failedEntryEngines = append(s.failedEntryEngines, first.Instance)
	}
	if err != nil {
		reporter.EventAttemptFailed.Log(ctx, s.Logger, slog.String("request", s.callerRequest.ID), slog.String("upstream", first.Instance),
			slog.Bool("started", !notExecuted), slog.Int("events", s.eventsSent), slog.Int("received", a.received), slog.Any("parts", s.callerRequest.SharedParts()), slog.Any("error", err))
	}
	return notExecuted, err
}

// countStarted counts an attempt that engines may have started to execute.
func (s *streamExchange) countStarted(first cowslipproxy.Hop) {
	s.attempts++
	if !slices.Contains(s.entryEngines, first.Instance) {
		s.entryEngines = append(s.entryEngines, first.Instance)
		s.entryEngineCount++
	}
}

// handleRejection processes a reply with a status other than 200, and reports the
// engine at fault to the finder.
func (a *streamAttempt) handleRejection(reply upstreamReply) (notExecuted bool, err error) {
	err = discardReply(reply)
	address := reply.FailedEngine
	if !address.IsValid() {
		address = a.path.First().Address
	}
	switch {
	case reply.StatusCode == http.StatusMisdirectedRequest:
		a.finder.ReportFailure(a.Clock(), address)
	case reply.NotExecuted:
		if a.finder.ReportRefusal(a.Clock(), address) {
			a.queryRefusing(address)
		}
	default:
		a.countStarted(a.path.First())
	}
	if err != nil {
		return reply.NotExecuted, err
	}
	return reply.NotExecuted, errors.Errorf("status %d from engine %s", reply.StatusCode, address)
}

// queryRefusing asks an engine of the path that keeps refusing work for its state, since the
// rejection, which the first engine sends, does not state why. Unless its memory is full, it
// is dead, unloads layers or leaves although the list has it as live, and accepts nothing for
// longer.
func (a *streamAttempt) queryRefusing(address netip.AddrPort) {
	a.mu.Lock()
	hops := a.path.Hops
	a.mu.Unlock()
	at := slices.IndexFunc(hops, func(hop cowslipproxy.Hop) bool { return hop.Address == address })
	if at <= 0 {
		return // the first engine states in the rejection that it is leaving
	}
	ctx, engine := context.WithoutCancel(a.ctx), instanceOf(hops[at])
	go func() {
		state, err := a.stateCache.state(ctx, a.Server, a.Clock(), engine)
		if errors.Is(err, errAtLimit) || err == nil && state.Memory > fullMemory {
			return
		}
		a.finder.ReportFailure(a.Clock(), address)
		// Others learn with the state that the engine leaves. With less memory free, it may refuse
		// large requests only.
		if err == nil && !state.Leaving && state.Memory < fullMemory/2 {
			a.Speeds.RecordUnusable(ctx, a.Clock(), engine.Incarnation())
		}
	}()
}

// relayEvents forwards events to the caller as they arrive.
func (a *streamAttempt) relayEvents(reply upstreamReply) error {
	defer reply.Body.Close()
	if err := a.checkMediaType(reply); err != nil {
		return err
	}
	isResumption := a.status != 0
	memory := a.Memory.Open(func() { a.cancel(allocator.ErrExhausted) })
	defer memory.Release()
	events := eventReader{source: bufio.NewReaderSize(reply.Body, streamBufferSize), memory: memory}
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			return a.endStream(reply, isResumption)
		}
		orderErr := a.checkOrder(next, isResumption)
		if next.id != "" && orderErr == nil {
			a.recordContinuation()
		}
		if err != nil {
			return readError(a.ctx, err)
		}
		if orderErr != nil {
			return orderErr
		}
		a.recordEvent()
		if err := a.writeEvent(reply, next); err != nil {
			return err
		}
	}
}
