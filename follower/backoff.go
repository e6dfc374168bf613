package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// Bounds of the pause between attempts. The upper one lets a change that was
// published while the log was down come into force within 2 s of its return.
const (
	leastPause = 50 * time.Millisecond
	mostPause  = time.Second
)

// Random returns a random duration from 0 up to but not including n. Nil means
// the runtime's random numbers; tests set one with a fixed seed.
type Random func(n time.Duration) time.Duration

func (r Random) below(n time.Duration) time.Duration {
	if r == nil {
		return rand.N(n)
	}
	return r(n)
}

// backoff spaces attempts exponentially, with jitter so that daemons don't all
// come back at the same moment.
type backoff struct {
	pause  time.Duration
	random Random
}

// wait pauses before the next attempt. It returns false when ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	b.pause = min(max(2*b.pause, leastPause), mostPause)
	return waiter.Wait(ctx, b.pause/2+b.random.below(b.pause/2))
}

func (b *backoff) reset() { b.pause = 0 }
