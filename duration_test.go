package cowslipproxy_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
)

// Guards against daemons that don't start with a time in scientific notation or beyond
// the range of time.Duration, and against times that were never meant.
func TestDurationText(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"8s": 8 * time.Second, "1m30s": 90 * time.Second, "1e-05s": 10 * time.Microsecond, "2.5e+00s": 2500 * time.Millisecond,
		"1e+20s": math.MaxInt64, "100000000000000000000s": math.MaxInt64, "-1e+20s": math.MinInt64,
	} {
		var got cowslipproxy.Duration
		require.NoError(t, got.UnmarshalText([]byte(text)), text)
		require.Equal(t, want, time.Duration(got), text)
	}
	for _, text := range []string{"", "s", "8", "1e5", "nans", "infs", "soon", "1e5m"} {
		var got cowslipproxy.Duration
		require.ErrorContains(t, got.UnmarshalText([]byte(text)), "is not a duration", text)
	}
}
