// Command standin runs stand-ins for the systems that cowslipproxy talks to, the
// load tool and the measurements.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// commands returns the subcommands. Each is defined in a file of its own.
func commands() []*ffcli.Command {
	return []*ffcli.Command{
		demoCommand(),
		engineCommand(),
		listCommand(),
		loadCommand(),
		logCommand(),
		measureCommand(),
		platformCommand(),
		serviceCommand(),
		slopesCommand(),
		weightsCommand(),
	}
}

func main() {
	root := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <subcommand> [flags]",
		ShortHelp:   "Runs stand-ins for the platform and the upstreams.",
		Subcommands: commands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
