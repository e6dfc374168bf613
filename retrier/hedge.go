package retrier

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// minHedgeDelay keeps a scheduling delay from triggering a hedge.
const minHedgeDelay = 5 * time.Millisecond

// HedgeDelay returns the delay after which a hedge of an idempotent request is
// to be sent: p95, the 95th percentile of the duration of such requests, so that
// about 1 in 20 is hedged. It reports false if the request must not run twice, was
// already retried, or has no known p95, or if a hedge would end after the deadline.
func (r *Retrier) HedgeDelay(attempt Attempt, p95 time.Duration) (time.Duration, bool) {
	delay := max(p95, minHedgeDelay)
	if attempt.Effect != cowslipproxy.EffectRepeat || attempt.Number > 1 || p95 <= 0 {
		return 0, false
	}
	if delay+attempt.Expected > attempt.Left {
		return 0, false
	}
	return delay, true
}

// Hedge is called once the delay has passed, and decides whether the hedge is
// sent. If it is, Hedge deducts it from the budget.
func (r *Retrier) Hedge(now time.Time, attempt Attempt) bool {
	if attempt.Effect != cowslipproxy.EffectRepeat || attempt.Number > 1 || attempt.Expected > attempt.Left {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	return r.take()
}
