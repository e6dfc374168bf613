package waiter_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// Guards against waits that continue after their context ended, or that return
// early although it has not ended.
func TestWait(t *testing.T) {
	start := time.Now()
	require.True(t, waiter.Wait(context.Background(), 10*time.Millisecond))
	require.GreaterOrEqual(t, time.Since(start), 10*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	require.False(t, waiter.Wait(ctx, time.Minute))
}

// Guards against polling that continues after the condition holds or after the
// context ended.
func TestUntil(t *testing.T) {
	calls := 0
	require.True(t, waiter.Until(context.Background(), time.Millisecond, func() bool { calls++; return calls == 3 }))
	require.Equal(t, 3, calls)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.False(t, waiter.Until(ctx, time.Millisecond, func() bool { return false }))
	require.True(t, waiter.Until(ctx, time.Minute, func() bool { return true }), "a condition that holds already must not wait")
}
