package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/cowslipd/relay"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/platform"
)

// settingsEnv is the environment variable with the settings file of a daemon that the test
// binary runs instead of tests, so that a test can kill a daemon.
const settingsEnv = "COWSLIP_TEST_RELAY"

func TestMain(m *testing.M) {
	file := os.Getenv(settingsEnv)
	if file == "" {
		os.Exit(m.Run())
	}
	settings, err := loader.LoadRelay(file)
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		err = (&relay.Daemon{
			Settings: settings, Platform: platform.Open(settings.Store, relay.Transport(true), relay.Transport(false)),
			Clock: time.Now, Logger: logger(), Metrics: metrics.NewRegistry(),
		}).Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// startProcess starts a daemon in a process of its own, and returns a function that kills it.
func (d *deployment) startProcess() (node *daemon, kill func()) {
	settings := d.settings()
	settings.Seeds = append(d.seeds, settings.Peers)
	d.seeds = settings.Seeds
	data, err := json.Marshal(settings)
	require.NoError(d.t, err)
	file := filepath.Join(d.t.TempDir(), "settings.yaml")
	require.NoError(d.t, os.WriteFile(file, data, 0o600))
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsEnv+"="+file)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	require.NoError(d.t, command.Start())
	node = &daemon{settings: settings, stop: func() { _ = command.Process.Signal(syscall.SIGTERM) }, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() { node.done <- command.Wait(); close(ended) }()
	kill = func() { _ = command.Process.Kill(); <-ended } // an error means that it has ended
	d.t.Cleanup(kill)
	d.daemons = append(d.daemons, node)
	return node, kill
}
