package follower

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the pause between attempts. The upper one lets a change that was
// published while the log was down come into force within 2 s of its return.
const (
	leastPause = 50 * time.Millisecond
	mostPause  = time.Second
)

// backoff spaces attempts exponentially, with jitter so that daemons don't all
// come back at the same moment.
type backoff struct {
	pause time.Duration
}

// wait pauses before the next attempt. It returns false when ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	b.pause = min(max(2*b.pause, leastPause), mostPause)
	return sleep(ctx, b.pause/2+rand.N(b.pause/2))
}

func (b *backoff) reset() { b.pause = 0 }

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
