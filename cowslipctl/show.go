package main

import (
	"context"
	"flag"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

func showCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl show", flag.ContinueOnError)
	log := newLogFlags(flags)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "cowslipctl show --log ADDRESS [flags]",
		ShortHelp:  "Prints the configuration in effect.",
		LongHelp: "Prints the accepted configuration from the log, with the version of each item\n" +
			"under bases. Edit the output and publish it: changes that others publish in the\n" +
			"meantime are then reported as conflicts instead of being overwritten.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("arguments: %d given, but none is allowed", len(args))
			}
			var client *follower.Client
			var err error
			if client, err = log.client(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *log.timeout)
			defer cancel()
			return show(ctx, client, *log.json)
		},
	}
}

func show(ctx context.Context, log cowslipproxy.Log, asJSON bool) error {
	var r *resolver.Resolver
	var err error
	if r, err = follower.ReadAll(ctx, log); err != nil {
		return err
	}
	configuration := r.ActiveConfiguration().Configuration
	if asJSON {
		return printJSON(os.Stdout, configuration)
	}
	return errors.WithStack(yaml.NewEncoder(os.Stdout, yaml.IndentSequence(true)).Encode(configuration))
}
