package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cowslipproxy/cowslipproxy/operator"
)

func drainCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl drain", flag.ContinueOnError)
	target := newDaemonFlags(flags)
	off := flags.Bool("off", false, "end the drain of UPSTREAM")
	whole := flags.Bool("daemon", false, "begin a planned stop of the daemon")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "cowslipctl drain --operator ADDRESS [--off] UPSTREAM | cowslipctl drain --operator ADDRESS --daemon",
		ShortHelp:  "Keeps new work off an upstream, or stops a daemon as planned.",
		LongHelp: "UPSTREAM gets no new work from this daemon and keeps the work that it has. Order\n" +
			"it on each daemon; a daemon forgets the order when it restarts.\n" +
			"With --daemon the daemon leaves the address answers, finishes the requests in\n" +
			"flight and exits. That can't be taken back.\n\n" +
			"Exit codes: 0 ordered, 1 other error, 2 usage, 4 no answer.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if *whole && (*off || len(args) > 0) {
				return usageError("found --daemon with --off or an argument, accepted is --daemon alone")
			}
			if !*whole && len(args) != 1 {
				return usageError("found %d arguments, accepted is one UPSTREAM, or --daemon", len(args))
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			if *whole {
				return stopDaemon(ctx, d)
			}
			return drainUpstream(ctx, d, operator.Drain{Upstream: args[0], On: !*off})
		},
	}
}

func stopDaemon(ctx context.Context, d daemon) error {
	if _, err := d.call(ctx, http.MethodPost, "/v1/stop", nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(os.Stdout, "%v: planned stop begun\n", d.address)
	return err
}

func drainUpstream(ctx context.Context, d daemon, order operator.Drain) error {
	if _, err := d.call(ctx, http.MethodPut, "/v1/drain", order); err != nil {
		return err
	}
	state := "gets no new work from this daemon"
	if !order.On {
		state = "drain ended"
	}
	_, err := fmt.Fprintf(os.Stdout, "%s: %s\n", order.Upstream, state)
	return err
}
