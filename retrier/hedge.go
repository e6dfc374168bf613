package retrier

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// minHedge keeps a hedge from being sent for a delay of the scheduler.
const minHedge = 5 * time.Millisecond

// HedgeDelay returns when a second try of an idempotent request is to be sent
// beside the first: after the 95th percentile of its expected time, so that
// about 1 request in 20 asks for one. It reports false when the request may
// not run twice, or a hedge would end after the deadline.
func (r *Retrier) HedgeDelay(attempt Attempt, p95 time.Duration) (time.Duration, bool) {
	delay := max(p95, minHedge)
	if attempt.Effect != cowslipproxy.EffectRepeat || attempt.Tries > 1 || p95 <= 0 {
		return 0, false
	}
	if delay+attempt.Expected > attempt.Left {
		return 0, false
	}
	return delay, true
}

// Hedge decides, when the delay is over, whether the hedge is sent, and takes
// it from the budget if so.
func (r *Retrier) Hedge(now time.Time, attempt Attempt) bool {
	if attempt.Effect != cowslipproxy.EffectRepeat || attempt.Tries > 1 || attempt.Expected > attempt.Left {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	return r.take()
}
