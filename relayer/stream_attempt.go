package relayer

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	// pauseFactor is the multiple of the route's longest allowed pause after
	// which the engines are asked whether the request is stalled.
	pauseFactor = 1.3
	// stallCheckInterval is the time between two stall checks of an attempt.
	stallCheckInterval = 200 * time.Millisecond
	// stallTimeout is the longest time without an event before an attempt is
	// aborted. Callers disconnect after 2 s.
	stallTimeout = 1400 * time.Millisecond
	// maxRepairTries bounds how often a path is repaired before the request is
	// sent again. Each time, another engine of the path may refuse the new path.
	maxRepairTries = 3
	// repairTime is how long an attempt may take to continue after its path was
	// repaired. The replacement engines first prefill all tokens so far.
	repairTime = 500 * time.Millisecond
)

var (
	errStalled  = errors.New("no event received before the stall timeout")
	errSlowLink = errors.New("no event received in time over a slow link")
)

// streamAttempt is one attempt to run a streamed request on a path of engines.
// A timer detects stalls and repairs the path when one of its engines failed.
type streamAttempt struct {
	*streamExchange
	finder *pathfinder.Finder
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	path         *pathfinder.Path
	lastProgress time.Time // last event, path repair or start
	started      time.Time // start of the attempt
	received     int       // events received in this attempt
	timer        *time.Timer
	ended        bool
}

func (s *streamExchange) startAttempt(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) *streamAttempt {
	r := &streamAttempt{streamExchange: s, finder: finder, path: path, started: s.Clock()}
	r.lastProgress = r.started
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	finder.Begin(path)
	r.timer = time.AfterFunc(r.stallCheckDelay(0), r.checkStall)
	return r
}

// end stops the timer, cancels the request and releases the path.
func (r *streamAttempt) end() {
	r.timer.Stop()
	r.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.finder.End(r.path)
}

// recordEvent records an event and restarts the stall timer.
func (r *streamAttempt) recordEvent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastProgress = r.Clock()
	if r.received++; r.received == 1 && r.lastProgress.Sub(r.started) < r.route.Target {
		r.finder.InTime(r.lastProgress, r.path)
	}
	r.timer.Reset(r.stallCheckDelay(r.received))
}

// stallCheckDelay returns the time without an event after which the first
// engine is asked whether the request is stalled.
func (r *streamAttempt) stallCheckDelay(received int) time.Duration {
	if received == 0 {
		return r.route.Target
	}
	return max(time.Duration(pauseFactor*float64(r.route.Pause)), stallCheckInterval)
}

// checkStall determines why no event arrived, and repairs the path, aborts the
// attempt or keeps waiting. It runs on the timer's goroutine.
func (r *streamAttempt) checkStall() {
	r.mu.Lock()
	path, lastProgress, received := r.path, r.lastProgress, r.received
	r.mu.Unlock()
	now := r.Clock()
	if r.ctx.Err() != nil {
		return
	}
	idle := now.Sub(lastProgress)
	failedEngines := r.failedEngines(now, path)
	switch {
	case len(failedEngines) > 0:
		reporter.Count(r.Metrics, reporter.MetricStalls)
		reporter.EventStalled.Log(r.ctx, r.Logger, slog.String("request", r.query.ID), slog.Int("events", received),
			slog.Any("engines", failedEngines), slog.Duration("pause", idle))
		for _, engine := range failedEngines {
			r.finder.Broken(now, engine)
		}
		if !r.repairPath(path, failedEngines) {
			r.abort(lastProgress, errStalled)
		}
	case idle >= stallTimeout:
		r.abort(lastProgress, errStalled)
	case r.recordLate(now, path) && received == 0:
		r.abort(lastProgress, errSlowLink)
	default:
		r.rearm(lastProgress, min(max(idle, stallCheckInterval), stallTimeout-idle+time.Millisecond))
	}
}

// abort ends the attempt if the request may be sent again. Otherwise it keeps
// waiting, since a silent engine may still continue the stream, while a
// cancelled stream is lost.
func (r *streamAttempt) abort(lastProgress time.Time, cause error) {
	if !r.reserveRetry() {
		r.rearm(lastProgress, stallCheckInterval)
		return
	}
	r.cancel(cause)
}

// reserveRetry reports whether the request may be sent again. An attempt that
// has already ended leaves the decision to streamExchange.run.
func (r *streamAttempt) reserveRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && !r.retryGranted {
		r.retryGranted = r.canRetry(false)
	}
	return r.retryGranted && !r.ended
}

// recordLate records that no event arrived in time although all engines of the
// path are alive, and reports whether a link on the path is now avoided.
func (r *streamAttempt) recordLate(now time.Time, path *pathfinder.Path) bool {
	avoided, started := r.finder.Late(now, path)
	for _, link := range started {
		reporter.EventPipeAvoided.Log(r.ctx, r.Logger, slog.String("request", r.query.ID), slog.Any("centres", link.Centres),
			slog.Int("lates", link.Lates), slog.Float64("other", link.Other), slog.Duration("span", link.Span))
	}
	return avoided
}

// failedEngines returns the engines of the path that are suspected to be dead or
// that the request is stalled at.
func (r *streamAttempt) failedEngines(now time.Time, path *pathfinder.Path) []netip.AddrPort {
	if suspects := r.finder.Suspects(now, path); len(suspects) > 0 {
		return suspects
	}
	if engine, found := r.queryStall(path); found {
		return []netip.AddrPort{engine}
	}
	return nil
}

// rearm schedules the next stall check, unless an event arrived since.
func (r *streamAttempt) rearm(lastProgress time.Time, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastProgress.Equal(lastProgress) && !r.ended {
		r.timer.Reset(wait)
	}
}

// queryStall asks the first engine which engine the request is stalled at. An
// engine that does not answer counts as the stalled one.
func (r *streamAttempt) queryStall(path *pathfinder.Path) (netip.AddrPort, bool) {
	first := path.First()
	state, err := r.stateCache.state(r.ctx, r.Engines, r.Clock(), cowslipproxy.Instance{ID: first.Instance, Address: first.Address})
	if r.ctx.Err() != nil {
		return netip.AddrPort{}, false
	}
	if err != nil {
		return first.Address, true
	}
	for _, stall := range state.Stalled {
		if stall.Request == r.query.ID {
			return stall.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// repairPath replaces the failed engines of the path. Other engines of the path
// may refuse the new path because they are unloading layers; they are replaced
// too.
func (r *streamAttempt) repairPath(path *pathfinder.Path, failed []netip.AddrPort) bool {
	first := path.First()
	var repaired *pathfinder.Path
	for try := 1; ; try++ {
		var ok bool
		if repaired, ok = r.finder.Mend(r.Clock(), path, failed); !ok {
			return false
		}
		err := r.Engines.Repath(r.ctx, cowslipproxy.Instance{ID: first.Instance, Address: first.Address}, r.query.ID, repaired.Hops)
		if err == nil {
			break
		}
		reporter.EventOrderFailed.Log(r.ctx, r.Logger, slog.String("engine", first.Instance), slog.Any("error", err))
		var conflict *cowslipproxy.ConflictError
		if !errors.As(err, &conflict) || !conflict.Address.IsValid() || try == maxRepairTries {
			return false
		}
		r.finder.Full(r.Clock(), conflict.Address)
		failed = append(failed, conflict.Address)
	}
	reporter.Count(r.Metrics, reporter.MetricMends)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return true
	}
	r.finder.End(r.path)
	r.finder.Begin(repaired)
	r.path, r.lastProgress = repaired, r.Clock()
	r.timer.Reset(repairTime)
	return true
}
