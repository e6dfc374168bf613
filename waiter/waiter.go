// Package waiter waits for a time, or for a condition, until a context ends.
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

// Until asks for a condition again and again, and reports whether it held before
// the context ended.
func Until(ctx context.Context, period time.Duration, holds func() bool) bool {
	for !holds() {
		if !Wait(ctx, period) {
			return false
		}
	}
	return true
}
