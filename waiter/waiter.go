// Package waiter waits for a time that a context may cut short.
package waiter

import (
	"context"
	"time"
)

// Wait waits and reports whether the whole time passed before the context ended.
func Wait(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
