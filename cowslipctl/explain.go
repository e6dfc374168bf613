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

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/operator"
)

// explanation is a daemon's explanation of a routing decision.
type explanation struct {
	Offset   uint64 `json:"offset"`
	Customer struct {
		Name  string             `json:"name"`
		Class cowslipproxy.Class `json:"class"`
		Rate  float64            `json:"rate"`
		Share float64            `json:"share"`
	} `json:"customer"`
	Priority int                  `json:"priority"`
	Effect   cowslipproxy.Effect  `json:"effect"`
	Tokens   int                  `json:"tokens"`
	Chain    *chooser.Explanation `json:"chain"`
	Upstream string               `json:"upstream"`
}

func explainCommand() *ffcli.Command {
	flags := flag.NewFlagSet("cowslipctl explain", flag.ContinueOnError)
	target := newDaemonFlags(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	var request operator.ExplainRequest
	flags.StringVar(&request.Customer, "customer", "", "name of the customer (required)")
	flags.StringVar(&request.Model, "model", "", "name of the model, or model:adapter; either this or --service is required")
	flags.StringVar(&request.Service, "service", "", "name of the plain service")
	flags.StringVar(&request.Method, "method", http.MethodGet, "method of a call to a service")
	flags.StringVar(&request.Path, "path", "/", "path of a call to a service")
	flags.StringVar(&request.Prompt, "prompt", "", "prompt of a request to a model")
	flags.IntVar(&request.Max, "max", 256, "maximum number of tokens to generate")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cowslipctl explain --operator ADDRESS --customer NAME (--model NAME | --service NAME) [flags]",
		ShortHelp:  "Explains how a daemon would route a request.",
		LongHelp: "Prints the routing decision that a daemon would make now, without running the\n" +
			"request: the offset of the configuration, the customer's class and share, the\n" +
			"effect, and the chain or the upstream. For a model it lists each candidate with\n" +
			"its costs and verdict: chosen, dearer (higher cost), outside (of this daemon's\n" +
			"subset), avoided, unusable (ejected), leaving or misfit.\n\n" +
			"Exit codes: 0 success, 1 refused or other error, 2 usage.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("arguments: %d given, but none is allowed", len(args))
			}
			if request.Customer == "" {
				return usageError("customer: missing; a name is required")
			}
			if (request.Model == "") == (request.Service == "") {
				return usageError("model %q and service %q given, but exactly one is required", request.Model, request.Service)
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			return explain(ctx, os.Stdout, d, request, *asJSON)
		},
	}
}

func explain(ctx context.Context, w io.Writer, d daemon, request operator.ExplainRequest, asJSON bool) error {
	var data []byte
	var err error
	if data, err = d.call(ctx, http.MethodPost, "/v1/explain", request); err != nil {
		return withoutExitCode(err)
	}
	var result explanation
	if err := json.Unmarshal(data, &result); err != nil {
		return errors.Wrap(err, "response")
	}
	if asJSON {
		err = printIndented(w, data)
	} else {
		err = result.print(w)
	}
	if err != nil {
		return err
	}
	if result.Chain != nil && result.Chain.Failure != "" {
		return errors.Errorf("the request would be refused: %s", result.Chain.Failure)
	}
	return nil
}

// withoutExitCode returns the error without its exit code. The only exit code that call
// sets is exitUnknown, which doesn't apply, since explain changes nothing.
func withoutExitCode(err error) error {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.error
	}
	return err
}

func (e explanation) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) } // Flush returns the error
	row("offset\t%d", e.Offset)
	row("customer\t%s, %s, share %.3f of %g tokens/s", e.Customer.Name, e.Customer.Class, e.Customer.Share, e.Customer.Rate)
	row("priority\t%d", e.Priority)
	row("effect\t%s", e.Effect)
	if e.Chain == nil {
		row("upstream\t%s", e.Upstream)
		return errors.WithStack(table.Flush())
	}
	row("tokens\t%d", e.Tokens)
	if e.Chain.Chain != nil {
		for i, stage := range e.Chain.Chain.Stages {
			row("stage %d\t%s %v", i, stage.Upstream, stage.Range)
		}
	}
	row("\nCANDIDATE\tRANGE\tVERDICT\tCOST\tPREFILL\tDECODE\tLINK\tWAIT\tLOAD\tCACHED")
	for _, c := range e.Chain.Candidates {
		row("%s\t%v\t%s\t%v\t%v\t%v\t%v\t%v\t%.1f\t%d", c.Name, c.Range, c.Verdict, c.Cost, c.Prefill, c.Decode, c.Link, c.Wait, c.Load, c.Cached)
	}
	return errors.WithStack(table.Flush())
}
