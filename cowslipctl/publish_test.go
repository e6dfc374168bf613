package main_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/appender"
)

const configuration = "models:\n- {name: scribe, version: '1', layers: 9, window: 100, effect: repeat, replicas: 1}\n"

// program is a compiled cowslipctl and the log that it connects to.
type program struct {
	t      *testing.T
	path   string
	log    *appender.Server
	server *httptest.Server
	// readOnly makes the log refuse appends.
	readOnly atomic.Bool
}

// ServeHTTP implements http.Handler.
func (p *program) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && p.readOnly.Load() {
		http.Error(w, "read only", http.StatusServiceUnavailable)
		return
	}
	p.log.ServeHTTP(w, r)
}

func build(t *testing.T) *program {
	p := &program{t: t, path: filepath.Join(t.TempDir(), "cowslipctl"), log: &appender.Server{}}
	out, err := exec.Command("go", "build", "-o", p.path, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

// run runs the program and returns its exit code and output.
func (p *program) run(input string, args ...string) (int, string) {
	ctx, cancel := context.WithTimeout(p.t.Context(), 30*time.Second)
	defer cancel()
	command := exec.CommandContext(ctx, p.path, args...)
	command.Stdin = strings.NewReader(input)
	command.Env = append(os.Environ(), "COWSLIP_LOG="+strings.TrimPrefix(p.server.URL, "http://"))
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	require.NoError(p.t, err)
	return 0, string(out)
}

// Guards against exit codes that report the wrong verdict to a script.
func TestExitCodes(t *testing.T) {
	p := build(t)
	for _, c := range []struct {
		input string
		args  []string
		code  int
		want  string
	}{
		{configuration, []string{"check", "-"}, 0, "ok: 0 customers, 1 models, 0 services"},
		{"models: [{name: Scribe}]", []string{"check", "-"}, 1, "models[0].name: \"Scribe\" is not a name"},
		{"", []string{"check"}, 2, "arguments: 0 given, but one FILE"},
		{"", []string{"publish", "--nothing"}, 2, "nothing"},
		{configuration, []string{"publish", "--log", "localhost", "-"}, 2, "log: \"localhost\" is not an IP address and port"},
		{configuration, []string{"publish", "-"}, 0, "model/scribe: accepted"},
		{configuration, []string{"publish", "-"}, 0, "already in effect"},
		{"bases: {}\n" + strings.Replace(configuration, "9", "8", 1), []string{"publish", "-"}, 3, "model/scribe: conflict"},
		{strings.Replace(configuration, "9", "8", 1), []string{"publish", "-"}, 0, "model/scribe: accepted"},
		{"bases: {model/scribe: 0}\n" + strings.Replace(configuration, "9", "7", 1), []string{"publish", "-"}, 3, "model/scribe: conflict"},
		{"bases: {model/scribe: 2}\n", []string{"publish", "--json", "-"}, 0, `"verdict": "accepted"`},
		{"", []string{"show"}, 0, "model/scribe: 3"},
		{"", []string{"version"}, 0, "cowslipctl"},
	} {
		code, out := p.run(c.input, c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.want)
	}
	p.readOnly.Store(true)
	code, out := p.run(configuration, "publish", "--timeout", "2s", "-")
	require.Equal(t, 4, code, out)
	require.Contains(t, out, "model/scribe: unknown yet")
	p.log.SetSettings(appender.Settings{Down: true})
	code, out = p.run(configuration, "publish", "-")
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "nothing was appended")
}
