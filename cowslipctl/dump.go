package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// daemonState is the part of a daemon's state that the tables display.
type daemonState struct {
	Name       string    `json:"name"`
	Ready      bool      `json:"ready"`
	Phase      string    `json:"phase"`
	Offset     uint64    `json:"offset"`
	Started    time.Time `json:"started"`
	Centre     string    `json:"centre"`
	Inflight   int64     `json:"inflight"`
	Violations int64     `json:"violations"`
	Customers  []struct {
		Name  string             `json:"name"`
		Class cowslipproxy.Class `json:"class"`
		Rate  float64            `json:"rate"`
		Share float64            `json:"share"`
	} `json:"customers"`
	Members   []cowslipproxy.Member `json:"members"`
	Upstreams struct {
		Engines  []upstreamState `json:"engines"`
		Services []upstreamState `json:"services"`
		Ejector  []struct {
			Name    string    `json:"name"`
			Ejected bool      `json:"ejected"`
			Cause   string    `json:"cause"`
			Until   time.Time `json:"until"`
		} `json:"ejector"`
	} `json:"upstreams"`
	Suspects []struct {
		Fingerprint string `json:"fingerprint"`
		Customer    string `json:"customer"`
		State       string `json:"state"`
	} `json:"suspects"`
}

type upstreamState struct {
	cowslipproxy.VM
	Reason string              `json:"reason"`
	Report cowslipproxy.Report `json:"report"`
}

func dumpCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl dump", flag.ContinueOnError)
	target := newDaemonFlags(flags)
	asJSON := flags.Bool("json", false, "print the complete state as JSON")
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "cowslipctl dump --operator ADDRESS [flags]",
		ShortHelp:  "Prints the state of a daemon.",
		LongHelp: "Prints tables of the daemon, its customers, the entry daemons that it knows, its\n" +
			"upstreams, and the requests suspected of crashing engines. With --json it prints\n" +
			"the complete state, including the models, the list of VMs, measured times and\n" +
			"counts. The output contains no keys and no request content.\n\n" +
			"Exit codes: 0 success, 1 other error, 2 usage.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("arguments: %d given, but none is allowed", len(args))
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			return dump(ctx, os.Stdout, d, *asJSON)
		},
	}
}

func dump(ctx context.Context, w io.Writer, d daemon, asJSON bool) error {
	var data []byte
	var err error
	if data, err = d.call(ctx, http.MethodGet, "/v1/dump", nil); err != nil {
		return err
	}
	if asJSON {
		return printIndented(w, data)
	}
	var state daemonState
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "response")
	}
	return state.print(w)
}

func (s daemonState) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) } // Flush returns the error
	row("daemon\t%s", s.Name)
	row("centre\t%s", s.Centre)
	row("started\t%s", s.Started.Format(time.RFC3339))
	row("ready\t%t, %s", s.Ready, s.Phase)
	row("offset\t%d", s.Offset)
	row("in flight\t%d", s.Inflight)
	row("violations\t%d", s.Violations)
	row("\nCUSTOMER\tCLASS\tRATE\tSHARE")
	for _, customer := range s.Customers {
		row("%s\t%s\t%g\t%.3f", customer.Name, customer.Class, customer.Rate, customer.Share)
	}
	row("\nMEMBER\tCENTRE\tCALLERS\tDOWN\tSTOPPING")
	for _, member := range s.Members {
		row("%s\t%s\t%v\t%t\t%t", member.Key(), member.Centre, member.Caller, member.Down, member.Stopping)
	}
	s.printUpstreams(row)
	row("\nFINGERPRINT\tCUSTOMER\tSTATE")
	for _, suspect := range s.Suspects {
		row("%s\t%s\t%s", suspect.Fingerprint, suspect.Customer, suspect.State)
	}
	return errors.WithStack(table.Flush())
}

func (s daemonState) printUpstreams(row func(format string, args ...any)) {
	ejected := map[string]string{}
	for _, state := range s.Upstreams.Ejector {
		if state.Ejected {
			ejected[state.Name] = state.Cause + " until " + state.Until.Format(time.TimeOnly)
		}
	}
	row("\nUPSTREAM\tCENTRE\tADDRESS\tHOLDS\tNO WORK\tEJECTED")
	for _, engine := range s.Upstreams.Engines {
		row("%s\t%s\t%v\t%s %v\t%s\t%s", engine.Name, engine.Centre, engine.Address, engine.Report.Model, engine.Report.Range, engine.Reason, ejected[engine.Name])
	}
	for _, server := range s.Upstreams.Services {
		row("%s\t%s\t%v\t%s\t%s\t%s", server.Name, server.Centre, server.Address, server.Service, server.Reason, ejected[server.Name])
	}
}
