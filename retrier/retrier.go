// Package retrier decides whether a failed request may be tried again, when,
// and whether a slow one is hedged. It starts no goroutine and reads no clock.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Retrier holds the budget of retries and hedges. Its exported fields are set
// before the first use; 0 stands for the default. It is safe for concurrent use.
type Retrier struct {
	Share   float64       // retries per request; default 0.1
	Minimum float64       // retries per second that are always allowed, for low traffic; default 2
	Window  time.Duration // time for which unused retries are kept; default 10 s
	Tries   int           // most tries of one request, the first included; default 3
	Base    time.Duration // wait before the first retry, doubled for each further one; default 25 ms
	Cap     time.Duration // longest wait; default 1 s
	Seed    uint64        // varies the jitter

	mu       sync.Mutex
	ready    bool
	random   rand.PCG
	requests float64 // decayed number of requests in the window
	tokens   float64
	at       time.Time
}

// Attempt is a request whose newest try failed or is late.
type Attempt struct {
	Effect     cowslipproxy.Effect
	NotStarted bool          // the upstream provably didn't start the newest try
	Tries      int           // tries so far
	Left       time.Duration // to the deadline
	Expected   time.Duration // time that another try takes
}

// Reason says why an attempt isn't made.
type Reason string

// Reasons against another try.
const (
	ReasonEffect   Reason = "effect"   // non-idempotent and perhaps started
	ReasonTries    Reason = "tries"    // tried often enough
	ReasonDeadline Reason = "deadline" // another try would end too late
	ReasonBudget   Reason = "budget"   // too many retries for the number of requests
)

// Decision says whether and when to try again.
type Decision struct {
	Again  bool
	Wait   time.Duration
	Reason Reason // empty when Again is set
}

func orDefault[T int | float64 | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

func (r *Retrier) share() float64        { return orDefault(r.Share, 0.1) }
func (r *Retrier) minimum() float64      { return orDefault(r.Minimum, 2) }
func (r *Retrier) window() time.Duration { return orDefault(r.Window, 10*time.Second) }
func (r *Retrier) tries() int            { return orDefault(r.Tries, 3) }
func (r *Retrier) base() time.Duration   { return orDefault(r.Base, 25*time.Millisecond) }
func (r *Retrier) limit() time.Duration  { return orDefault(r.Cap, time.Second) }

// Request counts a request's first try, which adds its share to the budget.
func (r *Retrier) Request(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.requests++
	r.tokens = min(r.tokens+r.share(), r.most())
}

// SetMinimum changes Minimum while the retrier is in use.
func (r *Retrier) SetMinimum(now time.Time, minimum float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.Minimum = minimum
	r.tokens = min(r.tokens, r.most())
}

// Retry decides whether a failed request is tried again, and takes the retry
// from the budget if so.
func (r *Retrier) Retry(now time.Time, attempt Attempt) Decision {
	if attempt.Effect != cowslipproxy.EffectRepeat && !attempt.NotStarted {
		return Decision{Reason: ReasonEffect}
	}
	if attempt.Tries >= r.tries() {
		return Decision{Reason: ReasonTries}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	wait := r.backoff(attempt.Tries)
	if attempt.NotStarted && attempt.Tries <= 1 {
		wait = 0 // the upstream did no work, and the next try goes to another one
	}
	if wait+attempt.Expected > attempt.Left {
		return Decision{Reason: ReasonDeadline}
	}
	if !r.take() {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Again: true, Wait: wait}
}

// backoff returns a wait between half of the doubled base and all of it, so
// that requests that failed together don't come back together.
func (r *Retrier) backoff(tries int) time.Duration {
	full := r.base()
	for i := 1; i < tries && full < r.limit(); i++ {
		full *= 2
	}
	full = min(full, r.limit())
	return full/2 + time.Duration(r.random.Uint64()%uint64(full/2+1))
}

// advance adds the minimum for the time since the last call, and lets the
// count of requests decay over the window.
func (r *Retrier) advance(now time.Time) {
	if !r.ready {
		r.ready = true
		r.random.Seed(r.Seed, 0)
		r.at = now
		r.tokens = r.minimum()
		return
	}
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	r.at = now
	r.requests *= max(1-passed.Seconds()/r.window().Seconds(), 0)
	r.tokens = min(r.tokens+r.minimum()*passed.Seconds(), r.most())
}

// most is what the budget holds at most: the minimum of one second and the
// share of the window's requests. Unused retries of quiet hours don't pile up.
func (r *Retrier) most() float64 {
	return r.minimum() + r.share()*r.requests
}

func (r *Retrier) take() bool {
	// The tolerance makes up for rounding: ten times a tenth is less than 1.
	const whole = 1 - 1e-9
	if r.tokens < whole {
		return false
	}
	r.tokens = max(r.tokens-1, 0)
	return true
}
