package cowslipproxy_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
)

// Guards against chains with a gap or an overlap being accepted.
func TestCheckTiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(2, 100).Draw(t, "layers")
		cut := rapid.IntRange(1, layers-1).Draw(t, "cut")
		shift := rapid.IntRange(-1, 1).Draw(t, "shift")
		ranges := []cowslipproxy.LayerRange{{First: 0, End: cut}, {First: cut + shift, End: layers}}
		require.Equal(t, shift == 0, cowslipproxy.CheckTiling(ranges, layers) == nil)
	})
}
