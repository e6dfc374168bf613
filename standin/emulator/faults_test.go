package emulator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

// Guards against a validation tag that panics on every decoded value, so that the
// control endpoint sets no faults. A limit such as 1e9 on an integer does that.
func TestFaultsDecode(t *testing.T) {
	var faults emulator.Faults
	require.NoError(t, decoder.StrictJSON([]byte(`{"after":1,"slow":2.5}`), &faults))
	require.Equal(t, emulator.Faults{CrashAtStep: 1, Slow: 2.5}, faults)
	require.Error(t, decoder.StrictJSON([]byte(`{"after":-1}`), &faults))
	require.Error(t, decoder.StrictJSON([]byte(`{"after":1000000001}`), &faults))
}
