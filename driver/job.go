// Package driver runs model requests through chains of engines and replaces stages
// that fail.
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
	Request      string
	Customer     string
	Model        cowslipproxy.Model
	Adapter      string
	Prompt       string
	MaxNewTokens int // maximum number of tokens to generate
	Priority     int
	Deadline     time.Time
	Prefixes     []uint64 // see cowslipproxy.PrefixHashes
}

// Token is one token of an answer.
type Token struct {
	Index int
	ID    int
	Text  string
}

// Usage counts the tokens and replaced stages of a job.
type Usage struct {
	Prompt   int // prompt tokens
	Tokens   int // generated tokens
	Cached   int // prompt tokens found in prefix caches
	Replaced int // replaced stages
	Restored int // replaced stages whose context was restored from an export
}

// Permit decides whether a job may be sent to an engine, and whether it is suspected
// of crashing its upstreams.
type Permit func(now time.Time, job Job) (suspect bool, refusal *cowslipproxy.Failure)

// Driver runs jobs. Its exported fields are set before the first job.
type Driver struct {
	Chooser      cowslipproxy.ChainChooser
	Observer     cowslipproxy.StepObserver
	Engine       func(name string) (cowslipproxy.Engine, bool)
	Permit       Permit        // may be nil
	OnSurvived   func(job Job) // called when a suspect has passed the token at which its upstream crashed; may be nil
	ExportPolicy *ExportPolicy // nil if contexts are never exported
	Checker      *checker.Checker
	Clock        func() time.Time
	Logger       *slog.Logger
	Metrics      metrics.Registry
}

// Run runs a job and calls emit for each token, in order. Errors are of type
// *cowslipproxy.Failure.
func (d *Driver) Run(ctx context.Context, job Job, emit func(Token) error) (Usage, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := &run{driver: d, job: job, usedUpstreams: map[string]bool{}, timeouts: map[string]int{}}
	defer r.release()
	if err := r.begin(ctx); err != nil {
		return r.usage, r.failure(ctx, err)
	}
	tokens := metrics.GetOrRegisterCounter(reporter.MetricTokens, d.Metrics)
	for index := range job.MaxNewTokens {
		var reply cowslipproxy.Reply
		var err error
		if reply, err = r.generateToken(ctx, index); err != nil {
			return r.usage, r.failure(ctx, err)
		}
		r.generated = append(r.generated, reply.NextToken)
		r.usage.Tokens++
		tokens.Inc(1)
		if err := emit(Token{Index: index, ID: reply.NextToken, Text: reply.Text}); err != nil {
			return r.usage, cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "caller disconnected: %v", err)
		}
		if reply.Last {
			break
		}
	}
	return r.usage, nil
}
