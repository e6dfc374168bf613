package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "cowslipctl check FILE",
		ShortHelp:  "Checks a configuration file.",
		LongHelp: "Reads the configuration in FILE, or from standard input when FILE is -, and\n" +
			"reports the first field that is wrong, what was found and what is accepted.\n" +
			"Needs no connection.",
		FlagSet: flag.NewFlagSet("cowslipctl check", flag.ContinueOnError),
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(_ context.Context, args []string) error {
			var configuration cowslipproxy.Configuration
			var err error
			if configuration, err = readConfiguration(args); err != nil {
				return err
			}
			_, err = fmt.Fprintf(os.Stdout, "ok: %d customers, %d models, %d services\n",
				len(configuration.Customers), len(configuration.Models), len(configuration.Services))
			return err
		},
	}
}
