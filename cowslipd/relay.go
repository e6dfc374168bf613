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

// relayCommand is the first argument with which the daemon relays whole
// requests instead of serving the product's own interface.
const relayCommand = "relay"

const (
	megabyte = 1 << 20 // bytes
	// memoryShare is the part of the memory that the heap may take, in percent.
	// The platform counts received bytes that were not read too.
	memoryShare = 70
)

// runRelay runs the daemon on the users' platform.
func runRelay(args []string) error {
	flags := flag.NewFlagSet("cowslipd relay", flag.ContinueOnError)
	file := flags.String("settings", "", "YAML `file` with the settings")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("COWSLIPD")); err != nil {
		return errors.WithStack(err)
	}
	var settings loader.Relay
	var err error
	if settings, err = loader.LoadRelay(*file); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process
	debug.SetMemoryLimit(settings.Memory * megabyte * memoryShare / 100)
	lines := &reporter.Writer{Out: os.Stdout}
	writing, flush := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(writing)
	}()
	defer func() {
		flush()
		<-written
	}()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	daemon := &relay.Daemon{
		SettingsFile: *file,
		Hangup:       hangup,
		Settings:     settings,
		Platform:     platform.Open(settings.Store, relay.Transport(true), relay.Transport(false)),
		Clock:        time.Now,
		Logger:       slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level(settings.Level)})),
		Metrics:      metrics.NewRegistry(),
	}
	return daemon.Run(ctx)
}
