package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/loader"
)

// placeholder matches what the platform fills in.
var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// filledIn holds valid values of the placeholders in deploy/relay.yaml.
var filledIn = map[string]string{
	"node": "front-a-1", "zone": "a", "seeds": `["10.0.0.1:4"]`, "bootstrap": "true",
	"listen.front": "10.0.0.1:1", "listen.ready": "10.0.0.1:2", "listen.directory": "10.0.0.1:3", "listen.control": "10.0.0.1:4",
	"platform.address": "10.0.0.2:1",
	"bounds.grace_s":   "8", "bounds.budget_window_s": "10", "bounds.budget_min_retries": "424", "bounds.retry_budget_ratio": "0.2",
	"limits.link_mbps": "700.0", "limits.memory_mb": "206", "limits.max_fds": "8192",
}

// loadFilledIn loads the template of the deployment's settings with one value replaced.
func loadFilledIn(t *testing.T, name, value string) (loader.RelaySettings, error) {
	template, err := os.ReadFile("../deploy/relay.yaml")
	require.NoError(t, err)
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
		field := placeholder.FindStringSubmatch(found)[1]
		require.Contains(t, filledIn, field)
		if field == name {
			return value
		}
		return filledIn[field]
	})
	file := filepath.Join(t.TempDir(), "relay.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return loader.LoadRelay(file)
}

// Guards against a deployment that never starts because one of its numbers is a
// fraction, zero, very small or very large: small deployments divide their bounds.
func TestFilledInNumbersAreAccepted(t *testing.T) {
	for name := range filledIn {
		if !strings.HasPrefix(name, "bounds.") && !strings.HasPrefix(name, "limits.") {
			continue
		}
		for _, value := range []string{"0", "0.0", "1", "1e-05", "0.00001", "40.73684210526316", "1e+20", "100000000000000000000", "9007199254740993"} {
			settings, err := loadFilledIn(t, name, value)
			require.NoError(t, err, "%s: %s", name, value)
			require.GreaterOrEqual(t, settings.RetryWindow(), time.Second, "%s: %s", name, value)
			require.GreaterOrEqual(t, time.Duration(settings.Grace), time.Duration(0), "%s: %s", name, value)
			require.GreaterOrEqual(t, settings.MemoryBytes(), int64(16<<20), "%s: %s", name, value)
			require.LessOrEqual(t, settings.MemoryBytes(), int64(1<<50), "%s: %s", name, value)
			require.GreaterOrEqual(t, settings.Sockets(1<<40), 64, "%s: %s", name, value)
			require.LessOrEqual(t, settings.Sockets(1<<40), 1<<20, "%s: %s", name, value)
		}
		for _, value := range []string{"-1", "x", ".nan", "-.inf", "[1]"} {
			_, err := loadFilledIn(t, name, value)
			require.Error(t, err, "%s: %s", name, value)
		}
	}
}

// Guards against fractions that are cut off where they count.
func TestFilledInNumbersKeepFractions(t *testing.T) {
	settings, err := loadFilledIn(t, "bounds.budget_min_retries", "40.73684210526316")
	require.NoError(t, err)
	require.InDelta(t, 40.73684210526316, settings.Floor, 0)
	settings, err = loadFilledIn(t, "bounds.grace_s", "8.25")
	require.NoError(t, err)
	require.Equal(t, 8250*time.Millisecond, time.Duration(settings.Grace))
	settings, err = loadFilledIn(t, "limits.memory_mb", "136.5")
	require.NoError(t, err)
	require.Equal(t, int64(136.5*(1<<20)), settings.MemoryBytes())
	for value, want := range map[string]int64{"0": 128, "4": 16} {
		settings, err = loadFilledIn(t, "limits.memory_mb", value)
		require.NoError(t, err)
		require.Equal(t, want<<20, settings.MemoryBytes(), fmt.Sprint("memory ", value))
	}
}

// Guards against more sockets than the VM or the operating system allows, and against none.
func TestSocketsKeepDescriptorLimits(t *testing.T) {
	for value, want := range map[string]int{"0": 2670, "2870": 2670, "10250": 10050, "3000.9": 2800, "100": 64} {
		settings, err := loadFilledIn(t, "limits.max_fds", value)
		require.NoError(t, err)
		require.Equal(t, want, settings.Sockets(1<<40), "descriptors %s", value)
		require.Equal(t, min(want, 1800), settings.Sockets(2000), "descriptors %s", value)
	}
	defaults := loader.RelayDefaults()
	require.Equal(t, 2670, defaults.Sockets(1<<40))
}
