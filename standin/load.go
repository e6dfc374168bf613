package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/driller"
)

// loadFlags are the flags of the load subcommand.
type loadFlags struct {
	driller   driller.Driller
	daemons   string
	customers string
	json      bool
}

func loadCommand() *ffcli.Command {
	var f loadFlags
	d := &f.driller
	flags := flag.NewFlagSet("standin load", flag.ContinueOnError)
	flags.StringVar(&f.daemons, "daemons", "127.0.0.1:7200", "IP addresses and ports of daemons that are queried for addresses, separated by commas")
	flags.StringVar(&f.customers, "customers", "", "customers as name:key:weight, separated by commas")
	flags.StringVar(&d.Model.Name, "model", "scribe", "name of the model")
	flags.StringVar(&d.Model.Version, "version", "1", "version of the model, to compute the expected answers")
	flags.IntVar(&d.Model.Layers, "layers", 24, "number of layers of the model, to compute the expected answers")
	flags.StringVar(&d.Adapter, "adapter", "", "adapter of the model; none if empty")
	flags.Float64Var(&d.Rate, "rate", 10, "requests per second, with Poisson arrivals")
	flags.DurationVar(&d.Duration, "duration", 10*time.Second, "time during which requests are sent, at most 1h")
	flags.DurationVar(&d.WarmUp, "warm", 0, "warm-up at the start of the duration, excluded from the report")
	flags.IntVar(&d.MaxRequests, "count", 100_000, "maximum number of requests, at most 1000000")
	flags.IntVar(&d.PromptTokens, "prompt", 64, "number of tokens of a prompt")
	flags.IntVar(&d.CompletionTokens, "answer", 32, "number of tokens of an answer")
	flags.Float64Var(&d.StreamedShare, "streamed", 0.5, "fraction of the requests with streamed answers")
	flags.DurationVar(&d.Deadline, "deadline", 10*time.Second, "deadline of a request from its arrival")
	flags.IntVar(&d.MaxResends, "resend", 0, "maximum number of retries of a request after a broken connection")
	flags.IntVar(&d.Callers, "callers", 30, "number of callers; each fetches and caches the addresses of daemons on its own")
	flags.IntVar(&d.MaxInFlight, "inflight", 4096, "maximum number of requests in flight; further ones are skipped")
	flags.Uint64Var(&d.Seed, "seed", 1, "random seed of arrivals and prompts")
	flags.BoolVar(&f.json, "json", false, "write the report as JSON")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "standin load [flags]",
		ShortHelp:  "Sends completions at a given rate and checks the answers.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("STANDIN")},
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx) },
	}
}

func (f *loadFlags) run(ctx context.Context) error {
	if err := f.parse(); err != nil {
		return err
	}
	var report *driller.Report
	var err error
	if report, err = f.driller.Run(ctx); err != nil {
		return err
	}
	if f.json {
		err = errors.WithStack(json.NewEncoder(os.Stdout).Encode(report))
	} else {
		err = errors.WithStack(report.WriteText(os.Stdout))
	}
	if err == nil && report.All.Wrong > 0 {
		return errors.Errorf("%d answers differ from the expected text", report.All.Wrong)
	}
	return err
}

func (f *loadFlags) parse() error {
	for _, text := range strings.Split(f.daemons, ",") {
		var address netip.AddrPort
		var err error
		if address, err = netip.ParseAddrPort(text); err != nil {
			return errors.Errorf("daemons: %q is not an IP address and port", text)
		}
		f.driller.SeedAddresses = append(f.driller.SeedAddresses, address)
	}
	if f.customers == "" {
		return nil // Run reports missing customers
	}
	for _, text := range strings.Split(f.customers, ",") {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return errors.Errorf("customers: %q is not of the form name:key:weight", text)
		}
		var weight float64
		var err error
		if weight, err = strconv.ParseFloat(parts[2], 64); err != nil {
			return errors.Errorf("customers: weight %q is not a number", parts[2])
		}
		f.driller.Customers = append(f.driller.Customers, driller.Customer{Name: parts[0], Key: parts[1], Weight: weight})
	}
	return nil
}
