package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/loader"
)

const validSettings = `name: entry-1
centre: oyo-a
callers: 10.0.0.11:7001
peers: 10.0.0.11:7002
operator: 10.0.0.11:7003
log: 10.0.0.5:7100
list: 10.0.0.6:7300
seeds: ["10.0.0.12:7002", "10.0.0.13:7002"]
wait: 20s
`

func load(t *testing.T, text string, args ...string) (loader.Settings, error) {
	name := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return loader.Load(append([]string{"--settings", name}, args...))
}

// Guards against errors without the name of the invalid setting, the value found and
// the values accepted.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		text string
		args []string
		want []string
	}{
		{validSettings + "wiat: 3s\n", nil, []string{`wiat: unknown field "wiat"`, "is not one of body, callers,", " wait"}},
		{validSettings + "wait: 3s\n", nil, []string{"wait: duplicate key", "on line 9", "keys must be unique"}},
		{validSettings + "streams: four\n", nil, []string{`streams: "four" is not a whole number`}},
		{validSettings + "streams: 1.5\n", nil, []string{"streams: 1.5 is not a whole number"}},
		{validSettings + "grace: 10\n", nil, []string{`grace: "10" is not a duration`}},
		{validSettings + "floor: [0.1]\n", nil, []string{"floor: a list is not a number"}},
		{strings.Replace(validSettings, "10.0.0.5:7100", "log.example", 1), nil, []string{`log: "log.example" is not an IP address and port`}},
		{strings.Replace(validSettings, "10.0.0.13:7002", "10.0.0.13", 1), nil, []string{`seeds[1]: "10.0.0.13" is not an IP address and port`}},
		{validSettings + "streams: 0\n", nil, []string{"streams: 0 is not at least 1"}},
		{validSettings + "floor: 0.6\n", nil, []string{"floor: 0.6 is not at most 0.5"}},
		{validSettings + "level: loud\n", nil, []string{`level: "loud" is not one of debug info warn error`}},
		{validSettings + "lifetime: -1s\n", nil, []string{"lifetime: -1s is not more than 0s"}},
		{strings.Replace(validSettings, "20s", "2h", 1), nil, []string{"wait: 2h0m0s is not at most 1h0m0s"}},
		{strings.Replace(validSettings, "entry-1", "Entry_1", 1), nil, []string{`name: "Entry_1" is not a name of lowercase letters`}},
		{strings.Replace(validSettings, "centre: oyo-a\n", "", 1), nil, []string{"centre: an empty value is not allowed"}},
		{strings.Replace(validSettings, "list: 10.0.0.6:7300\n", "", 1), nil, []string{"list: an empty value is not allowed"}},
		{validSettings, []string{"--wait", "soon"}, []string{`wait: "soon" is not a duration`}},
		{validSettings, []string{"--streams", "x"}, []string{`streams: "x" is not a whole number`}},
		{validSettings, []string{"--floor", "x"}, []string{`floor: "x" is not a number`}},
		{validSettings, []string{"--log", "x"}, []string{`log: "x" is not an IP address and port`}},
		{validSettings, []string{"--seeds", "10.0.0.1:1,x"}, []string{`seeds: "10.0.0.1:1,x" is not a comma-separated list of IP addresses and ports`}},
		{validSettings, []string{"--body", "1"}, []string{"body: 1 is not at least 1024"}},
		{validSettings, []string{"more"}, []string{`argument "more" is not a flag`}},
		{validSettings, []string{"--wiat", "3s"}, []string{"wiat"}},
	} {
		_, err := load(t, c.text, c.args...)
		for _, want := range c.want {
			require.ErrorContains(t, err, want, "%s %v", c.text, c.args)
		}
	}
	_, err := loader.Load([]string{"--settings", "nowhere.yaml"})
	require.ErrorContains(t, err, "nowhere.yaml")
}

// Guards against a source that overrides one of higher precedence: flags take
// precedence over the environment, and the environment over the file.
func TestSourcePrecedence(t *testing.T) {
	settings, err := load(t, validSettings)
	require.NoError(t, err)
	require.Equal(t, cowslipproxy.Duration(20*time.Second), settings.Wait)
	require.Len(t, settings.Seeds, 2)
	require.Equal(t, loader.Defaults().Grace, settings.Grace)
	t.Setenv("COWSLIPD_WAIT", "30s")
	t.Setenv("COWSLIPD_SEEDS", "10.0.0.14:7002")
	settings, err = load(t, validSettings)
	require.NoError(t, err)
	require.Equal(t, cowslipproxy.Duration(30*time.Second), settings.Wait)
	require.Len(t, settings.Seeds, 1)
	settings, err = load(t, validSettings, "--wait", "40s")
	require.NoError(t, err)
	require.Equal(t, cowslipproxy.Duration(40*time.Second), settings.Wait)
	t.Setenv("COWSLIPD_STREAMS", "none")
	_, err = load(t, validSettings)
	require.ErrorContains(t, err, `streams: "none" is not a whole number`)
	_, err = load(t, validSettings, "--streams", "8")
	require.NoError(t, err, "a flag must override an invalid value in the environment")
}
