package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/binder"
)

// process is a daemon in a process of its own.
type process struct {
	*exec.Cmd
	t        *testing.T
	settings string // path of the settings file
	log      string // path of its output
	ended    chan error
}

// addresses returns loopback addresses at which nothing listens.
func addresses(t *testing.T, count int) (free []any) {
	for range count {
		address, err := binder.FreeAddress()
		require.NoError(t, err)
		free = append(free, address)
	}
	return free
}

// build builds the daemon and returns its path.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "cowslipd")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// start starts a daemon with the settings and arguments.
func start(t *testing.T, program, settings string, arguments ...string) *process {
	dir := t.TempDir()
	p := &process{t: t, settings: filepath.Join(dir, "settings.yaml"), log: filepath.Join(dir, "log"), ended: make(chan error, 1)}
	require.NoError(t, os.WriteFile(p.settings, []byte(settings), 0o600))
	file, err := os.Create(p.log)
	require.NoError(t, err)
	defer file.Close()
	p.Cmd = exec.Command(program, append(arguments, "-settings", p.settings)...)
	p.Stdout, p.Stderr = file, file
	require.NoError(t, p.Start())
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() }) // an error means that it has ended
	p.await("daemon started")
	return p
}

func (p *process) await(text string) {
	for begin := time.Now(); !strings.Contains(p.output(), text); time.Sleep(5 * time.Millisecond) {
		require.Less(p.t, time.Since(begin), 20*time.Second, "%s is not in %s", text, p.output())
	}
}

func (p *process) output() string {
	data, err := os.ReadFile(p.log)
	require.NoError(p.t, err)
	return string(data)
}

// stop sends SIGTERM and then other signals, and returns the duration of the stop, which must be
// a planned one.
func (p *process) stop(further ...syscall.Signal) time.Duration {
	begin := time.Now()
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	p.await(`"leaving"`)
	for _, s := range further {
		require.NoError(p.t, p.Process.Signal(s))
		time.Sleep(20 * time.Millisecond) // signals of the same kind that arrive together count as one
	}
	require.NoError(p.t, <-p.ended, p.output())
	require.Contains(p.t, p.output(), `"ended"`)
	return time.Since(begin)
}

var laterSignals = map[string][]syscall.Signal{
	"term":  {syscall.SIGTERM},
	"hup":   {syscall.SIGHUP},
	"mixed": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
}

// Guards against a relay daemon that ends with a second signal, before its stop is complete.
func TestLaterSignalsDoNotEndStopOfRelay(t *testing.T) {
	program := build(t)
	for name, signals := range laterSignals {
		t.Run(name, func(t *testing.T) {
			p := start(t, program, relaySettings(t), "relay")
			require.Greater(t, p.stop(signals...), 2900*time.Millisecond)
		})
	}
}

// Guards against a SIGHUP during a stop of the relay that shortens the stop, because the settings file names a shorter grace time by then.
func TestHangupDoesNotShortenStopOfRelay(t *testing.T) {
	settings := relaySettings(t)
	p := start(t, build(t), settings, "relay")
	begin := time.Now()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.await(`"leaving"`)
	require.NoError(t, os.WriteFile(p.settings, []byte(strings.Replace(settings, "grace: 8s", "grace: 600ms", 1)), 0o600))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.NoError(t, <-p.ended, p.output())
	require.Greater(t, time.Since(begin), 2900*time.Millisecond, p.output())
}

// relaySettings returns settings with which a stop without requests takes 3 s.
func relaySettings(t *testing.T) string {
	return fmt.Sprintf("name: vm\ncentre: a\nlifetime: 1s\ngrace: 8s\ncallers: %v\nready: %v\ndirectory: %v\npeers: %v\nstore: %v\n", addresses(t, 5)...)
}

// Guards against a daemon without subcommand that ends with a second signal, before its stop is complete.
func TestLaterSignalsDoNotEndStop(t *testing.T) {
	program := build(t)
	for name, signals := range laterSignals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t, program, fmt.Sprintf("name: vm\ncentre: a\nlifetime: 300ms\ncallers: %v\npeers: %v\noperator: %v\nlog: %v\nlist: %v\nweights: %v\n", addresses(t, 6)...))
			require.Greater(t, p.stop(signals...), 5*time.Second)
		})
	}
}
