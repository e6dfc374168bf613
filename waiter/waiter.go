// Package waiter waits for a duration or a condition, or until a context ends.
package waiter

import (
	"context"
	"time"
)

// Wait waits for a duration. It reports false if the context ended first.
func Wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until polls a condition and reports whether it held before the context ended.
func Until(ctx context.Context, period time.Duration, holds func() bool) bool {
	for !holds() {
		if !Wait(ctx, period) {
			return false
		}
	}
	return true
}
