package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cowslipproxy/cowslipproxy/standin/weigher"
)

func weightsCommand() *ffcli.Command {
	var store weigher.Store
	flags := flag.NewFlagSet("standin weights", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7400", "IP address and port to listen on")
	flags.Float64Var(&store.Rate, "rate", 1e9, "rate that is available for loads, in bytes per second")
	flags.Int64Var(&store.LayerSize, "layer", 100_000_000, "size of one layer in bytes")
	return &ffcli.Command{
		Name:       "weights",
		ShortUsage: "standin weights [flags]",
		ShortHelp:  "Runs a store of model weights.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return serveHTTP(ctx, *listen, store.Handler()) },
	}
}
