package limiter

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt. A request larger than the
// bucket is admitted when the bucket is full and is paid for afterwards, since
// a daemon's share of a burst can be smaller than one request.
type bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	at    time.Time
}

// set changes rate and burst and refills the bucket up to now with the old ones.
func (b *bucket) set(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level, b.at = burst, now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = math.Min(b.level, burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = math.Min(b.level+b.rate*elapsed.Seconds(), b.burst)
		b.at = now
	}
}

// take withdraws the tokens, or returns how long the caller has to wait for them.
func (b *bucket) take(now time.Time, tokens float64) (wait time.Duration, ok bool) {
	b.refill(now)
	missing := math.Min(tokens, b.burst) - b.level
	if missing > 1e-6 {
		return seconds(missing / b.rate), false
	}
	b.level -= tokens
	return 0, true
}

func (b *bucket) give(tokens float64) {
	b.level = math.Min(b.level+tokens, b.burst)
}

// seconds converts to a duration and rounds up to a millisecond, so that a
// caller that waits for it doesn't come too early.
func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour / time.Millisecond)
	return time.Duration(math.Ceil(math.Min(s*1000, longest))) * time.Millisecond
}
