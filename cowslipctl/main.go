// Command cowslipctl is the command-line tool for operators of cowslipproxy.
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

// commands returns the subcommands.
func commands() []*ffcli.Command {
	return []*ffcli.Command{
		checkCommand(),
		drainCommand(),
		dumpCommand(),
		explainCommand(),
		liftCommand(),
		publishCommand(),
		showCommand(),
		versionCommand(),
	}
}

func main() {
	root := &ffcli.Command{
		Name:        "cowslipctl",
		ShortUsage:  "cowslipctl <subcommand> [flags]",
		ShortHelp:   "Checks, publishes and inspects the configuration and the daemons.",
		Subcommands: commands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.Parse(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "cowslipctl:", err)
		}
		os.Exit(exitUsage)
	}
	if err := root.Run(ctx); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "cowslipctl:", err)
		}
		os.Exit(exitCode(err))
	}
}
