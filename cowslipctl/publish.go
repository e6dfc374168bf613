package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

func publishCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl publish", flag.ContinueOnError)
	log := newLogFlags(flags)
	prune := flags.Bool("prune", false, "if FILE has no bases: delete items in effect that are not in FILE")
	return &ffcli.Command{
		Name:       "publish",
		ShortUsage: "cowslipctl publish --log ADDRESS [flags] FILE",
		ShortHelp:  "Publishes a configuration file to the log.",
		LongHelp: "Appends each customer, model and service of FILE that differs from the one in\n" +
			"effect, and reports its verdict: accepted, conflict, invalid or unknown yet.\n" +
			"A change is accepted if its base is the version in effect. The bases are those\n" +
			"in FILE, as printed by \"cowslipctl show\", or else the current versions in the\n" +
			"log. An item that has a base in FILE but is missing from FILE is deleted.\n" +
			"Publishing the same file again is safe, also after \"unknown yet\".\n\n" +
			"Exit codes: 0 all accepted, 3 conflict, 4 unknown yet, 2 usage, 1 other.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			var client *follower.Client
			var err error
			if client, err = log.client(); err != nil {
				return err
			}
			publisher := &follower.Publisher{Log: client, Timeout: *log.timeout, Prune: *prune}
			return publish(ctx, os.Stdout, publisher, args, *log.json)
		},
	}
}

func publish(ctx context.Context, w io.Writer, publisher *follower.Publisher, args []string, asJSON bool) error {
	var configuration cowslipproxy.Configuration
	var err error
	if configuration, err = readConfiguration(args); err != nil {
		return err
	}
	var results []follower.Result
	if results, err = publisher.Publish(ctx, configuration); err != nil {
		return err
	}
	if asJSON {
		err = printJSON(w, results)
	} else {
		err = printResults(w, results)
	}
	if err != nil {
		return err
	}
	return publishError(results)
}

func printResults(w io.Writer, results []follower.Result) error {
	for _, result := range results {
		line := fmt.Sprintf("%s: %s", result.Scope, result.Verdict)
		if result.ID == "" {
			line += " (already in effect)"
		}
		if result.Reason != "" {
			line += ": " + result.Reason
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// publishError returns the error for the most severe verdict: rejected changes take
// precedence over changes without a verdict, since publishing the same file again doesn't
// resolve a rejection.
func publishError(results []follower.Result) error {
	counts := map[resolver.Verdict]int{}
	for _, result := range results {
		counts[result.Verdict]++
	}
	switch {
	case counts[resolver.VerdictInvalid] > 0:
		return errors.Errorf("%d changes are invalid", counts[resolver.VerdictInvalid])
	case counts[resolver.VerdictConflict] > 0:
		return exitError{exitConflict, errors.Errorf("%d changes conflict with other published changes; compare with \"cowslipctl show\"", counts[resolver.VerdictConflict])}
	case counts[resolver.VerdictUnknown] > 0:
		return exitError{exitUnknown, errors.Errorf("%d changes have no verdict yet; publish the same file again", counts[resolver.VerdictUnknown])}
	default:
		return nil
	}
}
