package waiter_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// Guards against waits that outlast their context, or that end early without it.
func TestWait(t *testing.T) {
	begin := time.Now()
	require.True(t, waiter.Wait(context.Background(), 10*time.Millisecond))
	require.GreaterOrEqual(t, time.Since(begin), 10*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	require.False(t, waiter.Wait(ctx, time.Minute))
}

// Guards against a wait that goes on once its condition holds, or that outlasts
// its context.
func TestUntil(t *testing.T) {
	asked := 0
	require.True(t, waiter.Until(context.Background(), time.Millisecond, func() bool { asked++; return asked == 3 }))
	require.Equal(t, 3, asked)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.False(t, waiter.Until(ctx, time.Millisecond, func() bool { return false }))
	require.True(t, waiter.Until(ctx, time.Minute, func() bool { return true }), "a condition that holds needs no wait")
}
