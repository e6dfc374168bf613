// Package retrier decides whether and when a failed request is retried, and
// whether a slow one is hedged. It starts no goroutine and does not read the
// clock.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Retrier holds the budget for retries and hedges. The exported fields must be
// set before the first use; a field that is 0 has its default value. It is safe
// for concurrent use.
type Retrier struct {
	RetryRatio   float64       // retries per request; default 0.1; negative for none
	MinPerSecond float64       // retries per second that are always allowed, for low traffic; default 2; negative for none
	Window       time.Duration // time over which requests count towards the budget; default 10 s
	MaxAttempts  int           // maximum number of attempts of a request, including the first; default 3
	BaseDelay    time.Duration // delay before the first retry, doubled for each further one; default 25 ms
	MaxDelay     time.Duration // maximum delay; default 1 s
	Seed         uint64        // seed of the jitter

	mu          sync.Mutex
	initialized bool
	random      rand.PCG
	requests    float64 // number of requests, decaying over the window
	tokens      float64 // retries and hedges that the budget allows now
	updated     time.Time
}

// Attempt is the latest attempt of a request, which failed or is slow.
type Attempt struct {
	Effect     cowslipproxy.Effect
	NotStarted bool          // the upstream provably did not start the request
	Number     int           // 1 for the first attempt
	Left       time.Duration // time to the deadline
	Expected   time.Duration // expected duration of another attempt
}

// Reason is why a request is not retried.
type Reason string

// Reasons for not retrying.
const (
	ReasonEffect   Reason = "effect"   // non-idempotent and perhaps started
	ReasonAttempts Reason = "tries"    // maximum number of attempts reached
	ReasonDeadline Reason = "deadline" // another attempt would end after the deadline
	ReasonBudget   Reason = "budget"   // the retry budget is used up
)

// Decision states whether and when a request is retried.
type Decision struct {
	Allowed bool
	Delay   time.Duration
	Reason  Reason // empty if Allowed is set
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// NoneIfZero returns a value for RetryRatio or MinPerSecond that allows no retries if the
// number is 0, for callers that have no default.
func NoneIfZero(number float64) float64 {
	if number == 0 {
		return -1
	}
	return number
}

func (r *Retrier) ratio() float64           { return max(orDefault(r.RetryRatio, 0.1), 0) }
func (r *Retrier) minPerSecond() float64    { return max(orDefault(r.MinPerSecond, 2), 0) }
func (r *Retrier) window() time.Duration    { return orDefault(r.Window, 10*time.Second) }
func (r *Retrier) maxAttempts() int         { return orDefault(r.MaxAttempts, 3) }
func (r *Retrier) baseDelay() time.Duration { return orDefault(r.BaseDelay, 25*time.Millisecond) }
func (r *Retrier) maxDelay() time.Duration  { return orDefault(r.MaxDelay, time.Second) }

// RecordRequest records the first attempt of a request, which adds to the budget.
func (r *Retrier) RecordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.requests++
	r.tokens = min(r.tokens+r.ratio(), r.maxTokens())
}

// SetMinPerSecond changes MinPerSecond while the Retrier is in use.
func (r *Retrier) SetMinPerSecond(now time.Time, retries float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.MinPerSecond = retries
	r.tokens = min(r.tokens, r.maxTokens())
}

// Retry decides whether and when a failed request is retried. If it is, Retry
// deducts the retry from the budget.
func (r *Retrier) Retry(now time.Time, attempt Attempt) Decision {
	if attempt.Effect != cowslipproxy.EffectRepeat && !attempt.NotStarted {
		return Decision{Reason: ReasonEffect}
	}
	if attempt.Number >= r.maxAttempts() {
		return Decision{Reason: ReasonAttempts}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	wait := r.backoff(attempt.Number)
	if attempt.NotStarted && attempt.Number <= 1 {
		wait = 0 // the upstream did no work, and the retry goes to a different one
	}
	if wait+attempt.Expected > attempt.Left {
		return Decision{Reason: ReasonDeadline}
	}
	if !r.take() {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Allowed: true, Delay: wait}
}

// backoff returns a random delay between half the exponential backoff and all
// of it, so that requests that failed together are not retried together.
func (r *Retrier) backoff(attempts int) time.Duration {
	ceiling := r.baseDelay()
	for i := 1; i < attempts && ceiling < r.maxDelay(); i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, r.maxDelay())
	return ceiling/2 + time.Duration(r.random.Uint64()%uint64(ceiling/2+1))
}

// advance adds the tokens of MinPerSecond for the time since the last call, and
// decays the number of requests over the window.
func (r *Retrier) advance(now time.Time) {
	if !r.initialized {
		r.initialized = true
		r.random.Seed(r.Seed, 0)
		r.updated = now
		r.tokens = r.minPerSecond()
		return
	}
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	r.updated = now
	r.requests *= max(1-elapsed.Seconds()/r.window().Seconds(), 0)
	r.tokens = min(r.tokens+r.minPerSecond()*elapsed.Seconds(), r.maxTokens())
}

// maxTokens returns the capacity of the budget: MinPerSecond for one second, and
// RetryRatio for the requests of the window. The capacity keeps unused retries from
// accumulating while traffic is low.
func (r *Retrier) maxTokens() float64 {
	return r.minPerSecond() + r.ratio()*r.requests
}

// take removes one token from the budget and reports whether there was one.
func (r *Retrier) take() bool {
	// The tolerance covers rounding errors: ten times 0.1 adds up to less than 1.
	const oneToken = 1 - 1e-9
	if r.tokens < oneToken {
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}
