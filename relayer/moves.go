package relayer

import (
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy/pacer"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

// mayMove reports whether the stream may be moved to other engines now. If not, checkStall runs
// again when it may, or after the given time.
func (a *streamAttempt) mayMove(now time.Time, wait time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	a.timer.Reset(wait) // before the move may be admitted, which resets it again
	if a.move != nil {
		return a.pacer().IsAdmitted(a.move)
	}
	var admitted bool
	a.move, admitted = a.pacer().Enter(now, max(a.priority, 0), a.waitsSince.Add(callerPatience), func() { a.timer.Reset(0) })
	return admitted
}

// abandonMove ends a move for which no engines were found.
func (a *streamAttempt) abandonMove(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endMove(now)
}

// endMove ends the move, if there is one. The caller holds the lock.
func (a *streamAttempt) endMove(now time.Time) {
	if a.move != nil {
		a.pacer().Leave(now, a.move)
		a.move, a.isMoved = nil, false
	}
}

func (a *streamAttempt) pacer() *pacer.Pacer { return a.Upstreams.Pacer(a.service.Name) }

// leaveSlowEngines replaces the slow engines of the path if the rest of the answer takes longer on
// them than the move, and reports whether the request is moved now or waits for that.
func (a *streamAttempt) leaveSlowEngines(now time.Time, path *pathfinder.Path) bool {
	a.mu.Lock()
	left := a.expectedOutput() - a.sent - a.received
	a.mu.Unlock()
	slow := a.finder.EnginesToLeave(path, left)
	if len(slow) == 0 {
		return false
	}
	a.serviceThrottler.Exclude(a.place)
	if !a.mayMove(now, stallCheckInterval) {
		return true // it continues on the slow engines until then
	}
	if !a.reroutePath(path, slow) {
		a.abandonMove(now)
		return false
	}
	return true
}

// isFirstSlow reports whether the first engine of a path, which can't be replaced, is slow.
func (a *streamAttempt) isFirstSlow(path *pathfinder.Path) bool {
	return slices.Contains(a.finder.SlowEngines(path), path.First().Address)
}
