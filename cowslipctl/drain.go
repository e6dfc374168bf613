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
	stop := flags.Bool("daemon", false, "begin a planned stop of the daemon")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "cowslipctl drain --operator ADDRESS [--off] UPSTREAM | cowslipctl drain --operator ADDRESS --daemon",
		ShortHelp:  "Drains an upstream, or begins a planned stop of a daemon.",
		LongHelp: "The daemon at ADDRESS sends no new requests to UPSTREAM; requests in flight\n" +
			"continue. Run the command for each daemon. A drain ends when the daemon restarts.\n" +
			"With --daemon the daemon is removed from the address responses, completes the\n" +
			"requests in flight and exits. This can't be undone.\n\n" +
			"Exit codes: 0 success, 1 other error, 2 usage, 4 no response.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if *stop && (*off || len(args) > 0) {
				return usageError("--daemon given with --off or an argument, but --daemon must be alone")
			}
			if !*stop && len(args) != 1 {
				return usageError("arguments: %d given, but one UPSTREAM, or --daemon, is required", len(args))
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			if *stop {
				return stopDaemon(ctx, d)
			}
			return drainUpstream(ctx, d, operator.DrainRequest{Upstream: args[0], On: !*off})
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

func drainUpstream(ctx context.Context, d daemon, request operator.DrainRequest) error {
	if _, err := d.call(ctx, http.MethodPut, "/v1/drain", request); err != nil {
		return err
	}
	state := "gets no new work from this daemon"
	if !request.On {
		state = "drain ended"
	}
	_, err := fmt.Fprintf(os.Stdout, "%s: %s\n", request.Upstream, state)
	return err
}
