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

// explanation is a daemon's answer to the question what it would decide.
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
	var question operator.Question
	flags.StringVar(&question.Customer, "customer", "", "name of the customer (required)")
	flags.StringVar(&question.Model, "model", "", "name of the model, or model:adapter; this or --service is required")
	flags.StringVar(&question.Service, "service", "", "name of the plain service")
	flags.StringVar(&question.Method, "method", http.MethodGet, "method of a call to a service")
	flags.StringVar(&question.Path, "path", "/", "path of a call to a service")
	flags.StringVar(&question.Prompt, "prompt", "", "prompt of a request to a model")
	flags.IntVar(&question.Max, "max", 256, "most tokens of the answer")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cowslipctl explain --operator ADDRESS --customer NAME (--model NAME | --service NAME) [flags]",
		ShortHelp:  "Prints what a daemon would decide for a request, and why.",
		LongHelp: "Asks one daemon what it would decide now, without running the request: the\n" +
			"configuration, the customer's class and share, the effect, and the chain or the\n" +
			"upstream. For a model it lists each candidate with its costs and what became of\n" +
			"it: chosen, dearer, outside (of this daemon's subset), avoided, unusable\n" +
			"(ejected), leaving or misfit.\n\n" +
			"Exit codes: 0 decided, 1 refused or other error, 2 usage.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("COWSLIP")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("found %d arguments, accepted is none", len(args))
			}
			if question.Customer == "" {
				return usageError("customer: found nothing, accepted is a name")
			}
			if (question.Model == "") == (question.Service == "") {
				return usageError("found model %q and service %q, accepted is one of them", question.Model, question.Service)
			}
			var d daemon
			var err error
			if d, err = target.daemon(); err != nil {
				return err
			}
			return explain(ctx, os.Stdout, d, question, *asJSON)
		},
	}
}

func explain(ctx context.Context, w io.Writer, d daemon, question operator.Question, asJSON bool) error {
	var data []byte
	var err error
	if data, err = d.call(ctx, http.MethodPost, "/v1/explain", question); err != nil {
		return asKnown(err)
	}
	var answer explanation
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrap(err, "answer")
	}
	if asJSON {
		err = printRaw(w, data)
	} else {
		err = answer.print(w)
	}
	if err != nil {
		return err
	}
	if answer.Chain != nil && answer.Chain.Failure != "" {
		return errors.Errorf("the request would be refused: %s", answer.Chain.Failure)
	}
	return nil
}

// asKnown drops the exit code of a change without an answer: a question changes nothing.
func asKnown(err error) error {
	var coded codeError
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
