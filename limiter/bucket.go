package limiter

import (
	"math"
	"time"
)

// bucket is a token bucket that can go below zero tokens. A request larger than
// the burst is admitted when the bucket is full and leaves a negative number, since
// a daemon's share of the burst can be smaller than one request.
type bucket struct {
	rate            float64 // tokens per second
	burst           float64
	availableTokens float64
	at              time.Time
}

// set changes rate and burst. It first refills the bucket at the old rate.
func (b *bucket) set(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.availableTokens, b.at = burst, now
	}
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.availableTokens = math.Min(b.availableTokens, burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.availableTokens = math.Min(b.availableTokens+b.rate*elapsed.Seconds(), b.burst)
		b.at = now
	}
}

// take withdraws the tokens, or returns the time until they are available.
func (b *bucket) take(now time.Time, tokens float64) (wait time.Duration, ok bool) {
	b.refill(now)
	missing := math.Min(tokens, b.burst) - b.availableTokens
	if missing > 1e-6 {
		return seconds(missing / b.rate), false
	}
	b.availableTokens -= tokens
	return 0, true
}

func (b *bucket) give(tokens float64) {
	b.availableTokens = math.Min(b.availableTokens+tokens, b.burst)
}

// seconds converts seconds to a duration, rounded up to a millisecond so that a
// caller that waits for it does not retry too early.
func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour / time.Millisecond)
	return time.Duration(math.Ceil(math.Min(s*1000, longest))) * time.Millisecond
}
