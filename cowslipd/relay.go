package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy/cowslipd/relay"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/platform"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// relayCommand is the subcommand with which the daemon relays HTTP requests unchanged
// instead of serving the API of cowslipproxy.
const relayCommand = "relay"

// heapPercent is the heap limit in percent of the memory setting. The rest is left for
// data in the receive buffers of sockets, which the users' platform counts as memory
// of the process.
const heapPercent = 70

// runRelay runs the relay daemon until a signal stops it.
func runRelay(args []string) error {
	flags := flag.NewFlagSet("cowslipd relay", flag.ContinueOnError)
	file := flags.String("settings", "", "YAML `file` with the settings")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("COWSLIPD")); err != nil {
		return errors.WithStack(err)
	}
	var settings loader.RelaySettings
	var err error
	if settings, err = loader.LoadRelay(*file); err != nil {
		return err
	}
	ctx := untilSignal(os.Interrupt, syscall.SIGTERM)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	debug.SetMemoryLimit(settings.MemoryBytes() * heapPercent / 100)
	logWriter := &reporter.Writer{Out: os.Stdout}
	writerCtx, flush := context.WithCancel(context.Background())
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		logWriter.Run(writerCtx)
	}()
	defer func() {
		flush()
		<-writerDone
	}()
	daemon := &relay.Daemon{
		SettingsFile: *file,
		Hangup:       hangup,
		Settings:     settings,
		Platform:     platform.Open(settings.Store, relay.Transport(true), relay.Transport(false)),
		Clock:        time.Now,
		Logger:       slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: level(settings.Level)})),
		Metrics:      metrics.NewRegistry(),
	}
	return daemon.Run(ctx)
}
