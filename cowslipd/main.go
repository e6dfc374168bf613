// Command cowslipd is the entry daemon of cowslipproxy.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/loader"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == relayCommand {
		if err := runRelay(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "cowslipd relay:", err)
			os.Exit(exitFailed)
		}
		return
	}
	settings, err := loader.Load(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cowslipd: settings:", err)
		os.Exit(exitUsage)
	}
	// SIGHUP is caught too, since it would terminate the process during a planned stop.
	ctx := untilSignal(os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	daemon := &router.Router{
		Settings: settings,
		Clock:    time.Now,
		Logger:   slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level(settings.Level)})),
		Metrics:  metrics.NewRegistry(),
	}
	if err := daemon.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cowslipd:", err)
		os.Exit(exitFailed)
	}
}

func level(name string) slog.Level {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo // not reached: loader.Load rejects unknown names
	}
	return parsed
}
