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
	// pausePatience is how many times the route's longest pause may pass before
	// the engines are asked whether the request stalls.
	pausePatience = 1.3
	// inspectGap is the time between two questions.
	inspectGap = 200 * time.Millisecond
	// giveUpAfter is how long a run may give no event. Callers leave after 2 s.
	giveUpAfter = 1400 * time.Millisecond
	// mendTime is how long a run may take to go on after its path was changed:
	// the new engines read all tokens so far.
	mendTime = 500 * time.Millisecond
)

var errStalled = errors.New("no event in time")

// run is one try of a streamed request at its engines. A timer watches for
// events and has the path changed when an engine of it died.
type run struct {
	*streaming
	finder *pathfinder.Finder
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	path  *pathfinder.Path
	since time.Time // of the last event, or of the start
	seen  int       // events of this run
	watch *time.Timer
	ended bool
}

func (s *streaming) begin(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) *run {
	r := &run{streaming: s, finder: finder, path: path, since: s.Clock()}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	finder.Begin(path)
	r.watch = time.AfterFunc(s.route.Target, r.inspect)
	return r
}

// end frees what the run holds.
func (r *run) end() {
	r.watch.Stop()
	r.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.finder.End(r.path)
}

// progress takes in an event.
func (r *run) progress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = r.Clock()
	r.seen++
	r.watch.Reset(r.pauseLimit())
}

func (r *run) pauseLimit() time.Duration {
	return max(time.Duration(pausePatience*float64(r.route.Pause)), inspectGap)
}

// inspect finds out why no event came. It runs on the timer's goroutine.
func (r *run) inspect() {
	r.mu.Lock()
	path, since, seen := r.path, r.since, r.seen
	r.mu.Unlock()
	now := r.Clock()
	if r.ctx.Err() != nil {
		return
	}
	culprit, found := r.finder.Suspect(now, path)
	if !found {
		culprit, found = r.ask(path)
	}
	switch {
	case !found && now.Sub(since) < giveUpAfter:
		r.rearm(since, min(max(now.Sub(since), inspectGap), giveUpAfter-now.Sub(since)+time.Millisecond))
	case !found:
		r.cancel(errStalled)
	default:
		reporter.Count(r.Metrics, reporter.MetricStalls)
		reporter.EventStalled.Log(r.ctx, r.Logger, slog.String("request", r.query.ID), slog.Int("events", seen),
			slog.String("engine", culprit.String()), slog.Duration("pause", now.Sub(since)))
		r.finder.Broken(now, culprit)
		if !r.mend(path, culprit) {
			r.cancel(errStalled)
		}
	}
}

// rearm lets the next question come later, unless an event came meanwhile.
func (r *run) rearm(since time.Time, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.Equal(since) && !r.ended {
		r.watch.Reset(wait)
	}
}

// ask asks the first engine which one the request waits for.
func (r *run) ask(path *pathfinder.Path) (netip.AddrPort, bool) {
	first := path.First()
	state, err := r.inspector.state(r.ctx, r.Engines, r.Clock(), cowslipproxy.Instance{ID: first.Instance, Address: first.Address})
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

// mend puts other engines in the place of one that died.
func (r *run) mend(path *pathfinder.Path, culprit netip.AddrPort) bool {
	mended, ok := r.finder.Mend(r.Clock(), path, culprit)
	if !ok {
		return false
	}
	first := path.First()
	if err := r.Engines.Repath(r.ctx, cowslipproxy.Instance{ID: first.Instance, Address: first.Address}, r.query.ID, mended.Hops); err != nil {
		reporter.EventOrderFailed.Log(r.ctx, r.Logger, slog.String("engine", first.Instance), slog.Any("error", err))
		return false
	}
	reporter.Count(r.Metrics, reporter.MetricMends)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return true
	}
	r.finder.End(r.path)
	r.finder.Begin(mended)
	r.path, r.since = mended, r.Clock()
	r.watch.Reset(mendTime)
	return true
}
