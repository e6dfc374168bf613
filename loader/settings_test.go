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
		{validSettings + "wiat: 3s\n", nil, []string{`wiat: found unknown field "wiat"`, "accepted are body, callers,", " wait"}},
		{validSettings + "wait: 3s\n", nil, []string{"wait: found twice", "on line 9", "accepted is once"}},
		{validSettings + "streams: four\n", nil, []string{`streams: found "four", accepted is a whole number`}},
		{validSettings + "streams: 1.5\n", nil, []string{"streams: found 1.5, accepted is a whole number"}},
		{validSettings + "grace: 10\n", nil, []string{`grace: found "10", accepted is a duration`}},
		{validSettings + "floor: [0.1]\n", nil, []string{"floor: found a list, accepted is a number"}},
		{strings.Replace(validSettings, "10.0.0.5:7100", "log.example", 1), nil, []string{`log: found "log.example", accepted is an IP number and port`}},
		{strings.Replace(validSettings, "10.0.0.13:7002", "10.0.0.13", 1), nil, []string{`seeds[1]: found "10.0.0.13", accepted is an IP number and port`}},
		{validSettings + "streams: 0\n", nil, []string{"streams: found 0, accepted is at least 1"}},
		{validSettings + "floor: 0.6\n", nil, []string{"floor: found 0.6, accepted is at most 0.5"}},
		{validSettings + "level: loud\n", nil, []string{`level: found "loud", accepted is one of debug info warn error`}},
		{validSettings + "lifetime: -1s\n", nil, []string{"lifetime: found -1s, accepted is more than 0s"}},
		{strings.Replace(validSettings, "20s", "2h", 1), nil, []string{"wait: found 2h0m0s, accepted is at most 1h0m0s"}},
		{strings.Replace(validSettings, "entry-1", "Entry_1", 1), nil, []string{`name: found "Entry_1", accepted is a name of small letters`}},
		{strings.Replace(validSettings, "centre: oyo-a\n", "", 1), nil, []string{"centre: found nothing, accepted is a value"}},
		{strings.Replace(validSettings, "list: 10.0.0.6:7300\n", "", 1), nil, []string{"list: found nothing, accepted is a value"}},
		{validSettings, []string{"--wait", "soon"}, []string{`wait: found "soon", accepted is a duration`}},
		{validSettings, []string{"--streams", "x"}, []string{`streams: found "x", accepted is a whole number`}},
		{validSettings, []string{"--floor", "x"}, []string{`floor: found "x", accepted is a number`}},
		{validSettings, []string{"--log", "x"}, []string{`log: found "x", accepted is an IP number and port`}},
		{validSettings, []string{"--seeds", "10.0.0.1:1,x"}, []string{`seeds: found "10.0.0.1:1,x", accepted are IP numbers and ports`}},
		{validSettings, []string{"--body", "1"}, []string{"body: found 1, accepted is at least 1024"}},
		{validSettings, []string{"more"}, []string{`found argument "more", accepted are flags`}},
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
	require.ErrorContains(t, err, `streams: found "none", accepted is a whole number`)
	_, err = load(t, validSettings, "--streams", "8")
	require.NoError(t, err, "a flag must override an invalid value in the environment")
}
