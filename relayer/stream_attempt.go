package relayer

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pacer"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	// pauseFactor is the multiple of the route's longest allowed pause after
	// which the first engine is asked whether the request is stalled.
	pauseFactor = 1.3
	// stallCheckInterval is the time between two stall checks of an attempt.
	stallCheckInterval = 200 * time.Millisecond
	// stallTimeout is the longest time without an event before an attempt is
	// aborted. Callers disconnect after 2 s.
	stallTimeout = 1400 * time.Millisecond
	// callerPatience is the time without an event after which callers disconnect, at the shortest.
	callerPatience = 2 * time.Second
	// maxRerouteTries bounds how often a path is rerouted before the request is
	// sent again. Each time, another engine of the path may refuse the new path.
	maxRerouteTries = 3
	// rerouteTimeout is how long an attempt may take to continue after its path was
	// rerouted. The substitute engines first prefill all tokens so far.
	rerouteTimeout = 500 * time.Millisecond
)

var (
	errStalled    = errors.New("no event received before the stall timeout")
	errSlowEngine = errors.New("no event received in time from a slow engine")
	errSlowLink   = errors.New("no event received in time over a slow link")
)

// streamAttempt is one attempt to run a streamed request on a path of engines.
// A timer detects stalls and reroutes the path when one of its engines failed.
type streamAttempt struct {
	*streamExchange
	finder *pathfinder.Finder
	ctx    context.Context
	cancel context.CancelCauseFunc
	// hasRetryLeft is set if the number of attempts allows another one after this one. The stall
	// timer may run when the next attempt has begun, and must not read that number itself.
	hasRetryLeft bool

	mu           sync.Mutex
	path         *pathfinder.Path
	lastProgress time.Time // time of the last event or reroute, or of the start
	started      time.Time // start of the attempt
	sent         int       // number of events that the caller got from earlier attempts
	received     int       // number of events received in this attempt
	firstEventAt time.Time // time of the first of them
	survived     bool      // the engine wrote the answer for longer than a crash takes
	stalled      bool      // another engine of the path failed
	timer        *time.Timer
	ended        bool
	waitsSince   time.Time   // when the caller got its last event, or sent the request
	move         *pacer.Move // of the stream to other engines; nil unless it waits for one or has made one
	isMoved      bool        // the engines have accepted the new path

	verifyTimer *time.Timer // ends an attempt that should verify the end of the answer and gets no event; else nil
}

func (s *streamExchange) startAttempt(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) *streamAttempt {
	a := &streamAttempt{streamExchange: s, finder: finder, path: path, started: s.Clock(), hasRetryLeft: s.hasSendsLeft()}
	a.lastProgress, a.waitsSince = a.started, s.callerRequest.Arrived
	if s.eventsSent > 0 {
		a.waitsSince = s.lastEventAt
	}
	a.sent = s.eventsSent
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	finder.Begin(path)
	if s.isEndUnverified {
		a.verifyTimer = time.AfterFunc(verifyTimeout, func() { a.cancel(errUnverifiedEnd) })
	}
	a.mu.Lock() // the timer may run at once
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(a.stallCheckDelay(0), a.checkStall)
	return a
}

// end stops the timer, cancels the request and releases the path.
func (a *streamAttempt) end() {
	a.timer.Stop()
	if a.verifyTimer != nil {
		a.verifyTimer.Stop()
	}
	a.cancel(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.endMove(a.Clock())
	a.finder.End(a.path)
}

// recordEvent records an event and restarts the stall timer.
func (a *streamAttempt) recordEvent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, previous := a.Clock(), a.lastProgress
	a.waitsSince = now
	if a.isMoved {
		a.pacer().Continued(now, a.move)
		a.move, a.isMoved = nil, false
	}
	a.lastProgress = now
	if a.received++; a.received == 1 {
		a.firstEventAt = a.lastProgress
		a.finder.ReportAccepted(a.path)
		if a.lastProgress.Sub(a.started) < a.route.Target {
			a.finder.ReportOnTime(a.lastProgress, a.path)
		}
	}
	if a.received%inTimeInterval == 1 && now.Sub(previous) < a.lateAfter() {
		a.Speeds.RecordInTime(now, a.path.Hops)
	}
	if !a.survived && a.lastProgress.Sub(a.firstEventAt) >= survivalTime {
		a.survived = true
		a.Quarantine.Survived(a.lastProgress, a.fingerprints)
	}
	a.timer.Reset(a.stallCheckDelay(a.received))
}

// inTimeInterval is the number of events between two records of a stream in time.
const inTimeInterval = 8

// lateAfter returns the time after which the event that was received last is late. The caller holds
// the lock.
func (a *streamAttempt) lateAfter() time.Duration {
	if a.received == 1 {
		return a.route.Target
	}
	return a.route.Pause
}

// stallCheckDelay returns the time without an event after which the first
// engine is asked whether the request is stalled.
func (a *streamAttempt) stallCheckDelay(received int) time.Duration {
	if received == 0 {
		return a.route.Target
	}
	return max(time.Duration(pauseFactor*float64(a.route.Pause)), stallCheckInterval)
}

// checkStall determines why no event arrived, and reroutes the path, aborts the
// attempt or keeps waiting. It runs on the timer's goroutine.
func (a *streamAttempt) checkStall() {
	a.mu.Lock()
	path, lastProgress, received := a.path, a.lastProgress, a.received
	a.mu.Unlock()
	now := a.Clock()
	if a.ctx.Err() != nil {
		return
	}
	idle := now.Sub(lastProgress)
	failedEngines := a.failedEngines(now, path)
	switch {
	case len(failedEngines) > 0:
		reporter.Count(a.Metrics, reporter.MetricStalls)
		reporter.EventStalled.Log(a.ctx, a.Logger, slog.String("request", a.callerRequest.ID), slog.Int("events", received),
			slog.Any("engines", failedEngines), slog.Duration("pause", idle))
		for _, engine := range failedEngines {
			a.finder.ReportFailure(now, engine)
		}
		a.recordStall(path, failedEngines)
		if idle < stallTimeout && !a.mayMove(now, stallTimeout-idle) {
			return
		}
		if a.reroutePath(path, failedEngines) {
			return
		}
		a.abandonMove(now)
		if received > 0 && idle < stallTimeout && a.isFirstAlive(path) {
			// Another attempt needs an engine for the same layers too, and its prompt
			// would be prefilled again.
			a.rearm(lastProgress, stallCheckInterval)
			return
		}
		a.abort(lastProgress, errStalled)
	case idle >= stallTimeout:
		a.abort(lastProgress, errStalled)
	case a.leaveSlowEngines(now, path):
	case received == 0 && a.isFirstSlow(path):
		a.abort(lastProgress, errSlowEngine)
	case a.recordLate(now, path) && received == 0:
		a.abort(lastProgress, errSlowLink)
	default:
		a.rearm(lastProgress, min(max(idle, stallCheckInterval), stallTimeout-idle+time.Millisecond))
	}
}

// abort ends the attempt if the request may be sent again. Otherwise it keeps
// waiting, since a silent engine may still continue the stream, while a
// cancelled stream is lost.
func (a *streamAttempt) abort(lastProgress time.Time, cause error) {
	if !a.reserveRetry() {
		a.rearm(lastProgress, stallCheckInterval)
		return
	}
	a.cancel(cause)
}

// reserveRetry charges a retry to the budget, once for each attempt, and reports
// whether the request may be sent again. An attempt that has already ended leaves
// the decision to streamExchange.run.
func (a *streamAttempt) reserveRetry() bool {
	a.mu.Lock()
	isDecided, isResumed := a.ended || a.retryGranted, a.received > 0
	a.mu.Unlock()
	isUnsent := a.arrivals.Load() == 0
	isGranted := !isDecided && a.hasRetryLeft && a.chargeRetry(a.ctx, false, isResumed, 0) // may ask another daemon
	a.mu.Lock()
	defer a.mu.Unlock()
	if isGranted && !a.ended {
		a.retryGranted, a.grantedUnsent = true, isUnsent
	}
	return !a.ended && a.retryGranted
}

// recordLate records that no event arrived in time although all engines of the
// path are alive, and reports whether a link on the path is now avoided.
func (a *streamAttempt) recordLate(now time.Time, path *pathfinder.Path) bool {
	if len(a.finder.SlowEngines(path)) > 0 {
		a.serviceThrottler.Exclude(a.place)
		return false // which explains the delay without the links
	}
	a.Speeds.RecordLate(a.ctx, now, path.Hops)
	avoided, newlyAvoided := a.finder.ReportLate(now, path)
	for _, link := range newlyAvoided {
		reporter.EventLinkAvoided.Log(a.ctx, a.Logger, slog.String("request", a.callerRequest.ID), slog.Any("centres", link.Centres),
			slog.Int("lates", link.ConsecutiveLate), slog.Float64("other", link.OtherLateRate), slog.Duration("span", link.Duration))
	}
	return avoided
}

// failedEngines returns the engines of the path that are suspected to be dead or
// that the request is stalled at.
func (a *streamAttempt) failedEngines(now time.Time, path *pathfinder.Path) []netip.AddrPort {
	if suspects := a.finder.Suspects(now, path); len(suspects) > 0 {
		return suspects
	}
	if engine, found := a.queryStall(path); found {
		return []netip.AddrPort{engine}
	}
	return nil
}

// rearm schedules the next stall check, unless there has been progress since.
func (a *streamAttempt) rearm(lastProgress time.Time, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastProgress.Equal(lastProgress) && !a.ended {
		a.timer.Reset(wait)
	}
}

// queryStall asks the first engine which engine the request is stalled at. An
// engine that does not answer counts as the stalled one. One that is at its limit is not
// asked.
func (a *streamAttempt) queryStall(path *pathfinder.Path) (netip.AddrPort, bool) {
	state, err := a.firstState(path)
	if a.ctx.Err() != nil || errors.Is(err, errAtLimit) {
		return netip.AddrPort{}, false
	}
	if err != nil {
		return path.First().Address, true
	}
	for _, stall := range state.Stalled {
		if stall.Request == a.callerRequest.ID {
			return stall.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// firstState returns the state that the first engine of a path reports.
func (a *streamAttempt) firstState(path *pathfinder.Path) (cowslipproxy.EngineState, error) {
	return a.stateCache.state(a.ctx, a.Server, a.Clock(), firstEngine(path))
}

func firstEngine(path *pathfinder.Path) cowslipproxy.Instance { return instanceOf(path.First()) }

func instanceOf(hop cowslipproxy.Hop) cowslipproxy.Instance {
	return cowslipproxy.Instance{ID: hop.Instance, StartedAt: hop.StartedAt, Address: hop.Address}
}

// isFirstAlive reports whether the first engine of a path, which keeps the stream,
// responds, or can't be asked because it is at its limit.
func (a *streamAttempt) isFirstAlive(path *pathfinder.Path) bool {
	_, err := a.firstState(path)
	return err == nil || errors.Is(err, errAtLimit)
}

// reroutePath replaces the failed engines of the path and reports whether the
// request continues on the new path. Other engines of the path may refuse the new
// path because they are unloading layers; they are replaced too.
func (a *streamAttempt) reroutePath(path *pathfinder.Path, failed []netip.AddrPort) bool {
	first := firstEngine(path)
	var rerouted *pathfinder.Path
	for try := 1; ; try++ {
		var ok bool
		if rerouted, ok = a.finder.Reroute(a.Clock(), path, failed); !ok {
			return false
		}
		a.Limits.Charge(a.ctx, first.Incarnation())
		err := a.Engines.ReplacePath(a.ctx, first, a.callerRequest.ID, rerouted.Hops)
		if err == nil {
			break
		}
		reporter.EventOrderFailed.Log(a.ctx, a.Logger, slog.String("engine", first.ID), slog.Any("error", err))
		var conflict *cowslipproxy.ConflictError
		if !errors.As(err, &conflict) || !conflict.Address.IsValid() || try == maxRerouteTries {
			return false
		}
		a.finder.ReportRefusal(a.Clock(), conflict.Address)
		failed = append(failed, conflict.Address)
	}
	reporter.Count(a.Metrics, reporter.MetricPathsReplaced)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return true
	}
	a.finder.End(a.path)
	a.finder.Begin(rerouted)
	a.path, a.lastProgress = rerouted, a.Clock()
	a.isMoved = a.move != nil
	a.timer.Reset(rerouteTimeout)
	return true
}
