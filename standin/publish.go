package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

func publishCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin publish", flag.ContinueOnError)
	log := flags.String("log", "127.0.0.1:7100", "IP number and port of the log")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "standin publish [flags] FILE",
		ShortHelp:  "Publishes a configuration, for deployments of stand-ins.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Errorf("found %d files, accepted is one", len(args))
			}
			configuration, err := readConfiguration(args[0])
			if err != nil {
				return err
			}
			address, err := netip.ParseAddrPort(*log)
			if err != nil {
				return errors.Errorf("log: found %q, accepted is an IP number and port", *log)
			}
			return publish(ctx, &follower.Client{Address: address}, configuration)
		},
	}
}

// readConfiguration reads a configuration from a JSON file.
func readConfiguration(file string) (cowslipproxy.Configuration, error) {
	var configuration cowslipproxy.Configuration
	data, err := os.ReadFile(file)
	if err != nil {
		return configuration, errors.WithStack(err)
	}
	return configuration, errors.Wrap(decoder.StrictJSON(data, &configuration), file)
}

// publish publishes a configuration and prints what became of each scope.
func publish(ctx context.Context, log cowslipproxy.Log, configuration cowslipproxy.Configuration) error {
	results, err := (&follower.Publisher{Log: log}).Publish(ctx, configuration)
	if err != nil {
		return err
	}
	for _, result := range results {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return errors.WithStack(err)
		}
		if result.Verdict != resolver.VerdictAccepted {
			return errors.Errorf("%s: %s: %s", result.Scope, result.Verdict, result.Reason)
		}
	}
	return nil
}
