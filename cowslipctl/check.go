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
		LongHelp: "Reads the configuration from FILE, or from standard input if FILE is -, and\n" +
			"reports the first invalid field with its value and the accepted values.\n" +
			"Works offline.",
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
