// Package driver runs one request through a chain of engines, and replaces
// stages that fail on the way.
package driver

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Job is one request to a model.
type Job struct {
	Request  string
	Customer string
	Model    cowslipproxy.Model
	Adapter  string
	Prompt   string
	Max      int // most tokens to generate
	Priority int
	Deadline time.Time
	Prefixes []uint64
}

// Token is one token of an answer.
type Token struct {
	Index int
	ID    int
	Text  string
}

// Usage counts what a job used.
type Usage struct {
	Prompt   int // tokens
	Tokens   int // tokens generated
	Cached   int // prompt tokens that prefix caches saved
	Replaced int // stages replaced
	Restored int // of these, stages whose context came from an export
}

// Permit decides whether a job may be sent to an engine again, and whether it is
// suspected to crash its upstreams.
type Permit func(now time.Time, job Job) (suspect bool, refusal *cowslipproxy.Failure)

// Driver runs jobs. Its exported fields are set before the first job.
type Driver struct {
	Chooser  cowslipproxy.ChainChooser
	Observer cowslipproxy.StepObserver
	Engine   func(name string) (cowslipproxy.Engine, bool)
	Permit   Permit        // may be nil
	Survived func(job Job) // a suspect got past the token at which an upstream crashed; may be nil
	Saving   *Saving       // nil if contexts are never exported
	Checker  *checker.Checker
	Clock    func() time.Time
	Logger   *slog.Logger
	Metrics  metrics.Registry
}

// Run runs a job and hands each token to emit, in order. An error is a
// *cowslipproxy.Failure.
func (d *Driver) Run(ctx context.Context, job Job, emit func(Token) error) (Usage, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := &run{driver: d, job: job, used: map[string]bool{}}
	defer r.release()
	if err := r.begin(); err != nil {
		return r.usage, r.failure(ctx, err)
	}
	tokens := metrics.GetOrRegisterCounter(reporter.MetricTokens, d.Metrics)
	for index := range job.Max {
		var reply cowslipproxy.Reply
		var err error
		if reply, err = r.token(ctx, index); err != nil {
			return r.usage, r.failure(ctx, err)
		}
		r.given = append(r.given, reply.Next)
		r.usage.Tokens++
		tokens.Inc(1)
		if err := emit(Token{Index: index, ID: reply.Next, Text: reply.Text}); err != nil {
			return r.usage, cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "the caller went away: %v", err)
		}
		if reply.Last {
			break
		}
	}
	return r.usage, nil
}
