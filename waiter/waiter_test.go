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
