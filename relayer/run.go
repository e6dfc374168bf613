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
	// mendTries bounds how often a path is changed before the request is sent
	// anew: each time another engine of it may refuse.
	mendTries = 3
	// mendTime is how long a run may take to go on after its path was changed:
	// the new engines read all tokens so far.
	mendTime = 500 * time.Millisecond
)

var (
	errStalled = errors.New("no event in time")
	errSlow    = errors.New("no event in time over a slow pipe")
)

// run is one try of a streamed request at its engines. A timer watches for
// events and has the path changed when an engine of it died.
type run struct {
	*streaming
	finder *pathfinder.Finder
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	path    *pathfinder.Path
	since   time.Time // of the last event, or of the start
	started time.Time // of the run
	seen    int       // events of this run
	watch   *time.Timer
	ended   bool
}

func (s *streaming) begin(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) *run {
	r := &run{streaming: s, finder: finder, path: path, started: s.Clock()}
	r.since = r.started
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	finder.Begin(path)
	r.watch = time.AfterFunc(r.askLimit(0), r.inspect)
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
	if r.seen++; r.seen == 1 && r.since.Sub(r.started) < r.route.Target {
		r.finder.InTime(r.since, r.path)
	}
	r.watch.Reset(r.askLimit(r.seen))
}

// askLimit is how long a run gives no event before its first engine is asked.
func (r *run) askLimit(seen int) time.Duration {
	if seen == 0 {
		return r.route.Target
	}
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
	silence := now.Sub(since)
	culprits := r.culprits(now, path)
	switch {
	case len(culprits) > 0:
		reporter.Count(r.Metrics, reporter.MetricStalls)
		reporter.EventStalled.Log(r.ctx, r.Logger, slog.String("request", r.query.ID), slog.Int("events", seen),
			slog.Any("engines", culprits), slog.Duration("pause", silence))
		for _, culprit := range culprits {
			r.finder.Broken(now, culprit)
		}
		if !r.mend(path, culprits) {
			r.abandon(since, errStalled)
		}
	case silence >= giveUpAfter:
		r.abandon(since, errStalled)
	case r.late(now, path) && seen == 0:
		r.abandon(since, errSlow)
	default:
		r.rearm(since, min(max(silence, inspectGap), giveUpAfter-silence+time.Millisecond))
	}
}

// abandon ends the run if the request may be sent once more. Else it waits on:
// a silent engine may still go on, and an ended answer can't.
func (r *run) abandon(since time.Time, cause error) {
	if !r.grant() {
		r.rearm(since, inspectGap)
		return
	}
	r.cancel(cause)
}

// grant decides whether the request may be sent once more. A run that ended
// meanwhile leaves that to the next one.
func (r *run) grant() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && !r.granted {
		r.granted = r.again(false)
	}
	return r.granted && !r.ended
}

// late takes in that the run gets no event though its engines live, and reports
// whether a pipe on its path is avoided now.
func (r *run) late(now time.Time, path *pathfinder.Path) bool {
	avoided, begun := r.finder.Late(now, path)
	for _, pipe := range begun {
		reporter.EventPipeAvoided.Log(r.ctx, r.Logger, slog.String("request", r.query.ID), slog.Any("centres", pipe.Centres),
			slog.Int("lates", pipe.Lates), slog.Float64("other", pipe.Other), slog.Duration("span", pipe.Span))
	}
	return avoided
}

// culprits returns the engines that a run waits for in vain.
func (r *run) culprits(now time.Time, path *pathfinder.Path) []netip.AddrPort {
	if suspects := r.finder.Suspects(now, path); len(suspects) > 0 {
		return suspects
	}
	if culprit, found := r.ask(path); found {
		return []netip.AddrPort{culprit}
	}
	return nil
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

// mend puts other engines in the place of those that died. Others of the path
// may refuse to stay in it since they give up layers: they are replaced too.
func (r *run) mend(path *pathfinder.Path, culprits []netip.AddrPort) bool {
	first := path.First()
	var mended *pathfinder.Path
	for try := 1; ; try++ {
		var ok bool
		if mended, ok = r.finder.Mend(r.Clock(), path, culprits); !ok {
			return false
		}
		err := r.Engines.Repath(r.ctx, cowslipproxy.Instance{ID: first.Instance, Address: first.Address}, r.query.ID, mended.Hops)
		if err == nil {
			break
		}
		reporter.EventOrderFailed.Log(r.ctx, r.Logger, slog.String("engine", first.Instance), slog.Any("error", err))
		var conflict *cowslipproxy.ConflictError
		if !errors.As(err, &conflict) || !conflict.Address.IsValid() || try == mendTries {
			return false
		}
		r.finder.Full(r.Clock(), conflict.Address)
		culprits = append(culprits, conflict.Address)
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
