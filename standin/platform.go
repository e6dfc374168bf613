package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7400", "address on which the store listens")
	key := flags.String("key", "sample-key", "bearer key of the customer in the sample configuration")
	ledgers := flags.Int("ledgers", 2, "number of servers of the plain service")
	engines := flags.Int("engines", 6, "number of engines; three together hold the whole model")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "Runs a small version of the users' platform: store, servers and engines, with a sample configuration.",
		LongHelp: "Daemons of `cowslipd relay` find the platform through the address in their setting `store`. Routes of the host calls.example:\n" +
			"/fees/ (not idempotent), /reads/ (idempotent) and /letters/ (token stream of a model).",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return servePlatform(ctx, *listen, *key, *ledgers, *engines)
		},
	}
}

func servePlatform(ctx context.Context, address, key string, ledgers, engines int) error {
	store := &keeper.Store{}
	var sample []byte
	var err error
	if sample, err = keeper.SampleConfiguration(1, key); err != nil {
		return errors.WithStack(err)
	}
	store.Publish(sample)
	fleet := &worker.Fleet{Store: store}
	defer fleet.Close()
	for i := range ledgers + engines {
		settings := worker.Settings{Service: "ledger", Zone: "a"}
		if i >= ledgers {
			settings = worker.Settings{Service: "scribe", Zone: "a", AcceleratorKind: "small"}
		}
		if _, err := fleet.Start(settings); err != nil {
			return err
		}
	}
	fmt.Println("store of the platform listens on", address)
	return serveHTTP(ctx, address, store.Handler())
}
