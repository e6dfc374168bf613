package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/limiter"
)

// Guards against holds that end early, never end, or hold another run of the upstream.
func TestHolds(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var holds limiter.Holds
	require.Zero(t, holds.Left(now, "a"))
	holds.Hold(now, "a", 3*time.Second)
	holds.Hold(now.Add(time.Second), "a", time.Second)
	require.Equal(t, time.Second, holds.Left(now.Add(2*time.Second), "a"))
	require.Zero(t, holds.Left(now.Add(3*time.Second), "a"))
	require.Zero(t, holds.Left(now, "b"))
}
