package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// Bounds of the delay between attempts. The upper bound lets a change that was
// published while the log was unavailable take effect within 2 s of its recovery.
const (
	minDelay = 50 * time.Millisecond
	maxDelay = time.Second
)

// Random returns a random duration in [0,n). Nil means the runtime's random numbers;
// tests use a fixed seed.
type Random func(n time.Duration) time.Duration

func (r Random) below(n time.Duration) time.Duration {
	if r == nil {
		return rand.N(n)
	}
	return r(n)
}

// backoff implements exponential backoff with jitter, so that daemons don't all
// reconnect at the same time.
type backoff struct {
	delay  time.Duration
	random Random
}

// wait waits before the next attempt. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	b.delay = min(max(2*b.delay, minDelay), maxDelay)
	return waiter.Wait(ctx, b.delay/2+b.random.below(b.delay/2))
}

func (b *backoff) reset() { b.delay = 0 }
