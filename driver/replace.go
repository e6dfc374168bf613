package driver

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	maxRecoveries   = 32                    // per job: stage replacements and recomputations of a lost context
	maxRecoveryWait = 5 * time.Second       // maximum wait for engines that hold the missing layers, or for a permit
	minRetryDelay   = 20 * time.Millisecond // delay before the first retry; it doubles with each retry
	maxRetryDelay   = 200 * time.Millisecond

	// maxRetryTimeout bounds the timeout of a step on an engine on which steps of the job timed
	// out before.
	maxRetryTimeout     = 2 * time.Second
	maxTimeoutDoublings = 4

	// quarantineWait is the maximum wait for a quarantine to be lifted. This happens if
	// records of other daemons show that another request caused the crashes.
	quarantineWait = 500 * time.Millisecond

	survivedTokens = 3 // tokens after which a request is no longer a suspect: the one at which an upstream crashed, and two more
)

// replace replaces a failed stage with other engines, or has its context recomputed
// if the engine only lost the context.
func (r *run) replace(ctx context.Context, failed *stageError) error {
	d := r.driver
	r.recoveries++
	if r.recoveries > maxRecoveries {
		return errors.Wrapf(failed.err, "gave up after %d replacements", maxRecoveries)
	}
	failedStage := r.stages[failed.index]
	if errors.Is(failed.err, errContextLost) && !failedStage.withoutContext {
		// The engine works; only the context must be recomputed.
		r.stages[failed.index].withoutContext, r.resume = true, resumption{}
		return nil
	}
	r.avoid = append(r.avoid, failedStage.Upstream)
	if err := r.permit(ctx); err != nil {
		return err
	}
	var stages []stage
	var err error
	if stages, err = r.substitute(ctx, failed.index); err != nil {
		return err
	}
	substitute := stages[min(failed.index, len(stages)-1)]
	r.setStages(stages)
	r.prepareResumption(ctx, failedStage, failed.index)
	event, counter := reporter.EventStageRetried, reporter.MetricStagesRetried
	if substitute.Upstream != failedStage.Upstream {
		r.usage.Replaced++
		event, counter = reporter.EventStageReplaced, reporter.MetricStagesReplaced
	}
	reporter.Count(d.Metrics, counter)
	event.Log(ctx, d.Logger,
		slog.String("request", r.job.Request),
		slog.String("engine", failedStage.Upstream),
		slog.String("substitute", substitute.Upstream),
		slog.Int("token", len(r.generated)),
		slog.Any("error", failed.err))
	return nil
}

// begin returns an error if the job may not run. Otherwise it chooses the job's chain.
func (r *run) begin(ctx context.Context) error {
	d := r.driver
	if d.Permit != nil {
		suspect, refusal := d.Permit(d.Clock(), r.job)
		if refusal != nil {
			return refusal
		}
		if suspect {
			r.suspectTokens = r.job.MaxNewTokens + 1 // stays a suspect to its end, since the token at which an upstream crashed is unknown
		}
	}
	return r.plan(ctx)
}

// permit waits until the job may be sent to an engine again. It waits for at most
// maxRecoveryWait, or for quarantineWait if the refusal lasts longer than
// maxRecoveryWait. A suspect has to wait until the other daemons know of it.
func (r *run) permit(ctx context.Context) error {
	d := r.driver
	if d.Permit == nil {
		return nil
	}
	start := d.Clock()
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		suspect, failure := d.Permit(d.Clock(), r.job)
		if failure == nil {
			if suspect {
				r.suspectTokens = survivedTokens
			}
			return nil
		}
		limit := maxRecoveryWait
		if failure.RetryAfter > maxRecoveryWait {
			limit = quarantineWait
		}
		if d.Clock().Sub(start) > limit {
			return failure
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// prepareResumption decides where the next pass starts. It resumes at the failed
// stage for the first token, since the input of that stage covers all positions, and
// for a later token if the substitute's context was restored from an export.
// Otherwise all stages up to the substitute are recomputed.
func (r *run) prepareResumption(ctx context.Context, failed stage, index int) {
	token := len(r.generated)
	if token == 0 || r.restore(ctx, failed, index, token) {
		return
	}
	r.resume = resumption{}
}

// substitute returns the chain with the failed stage replaced, or a new chain if no
// engines hold exactly its layers. If there is neither, it retries for up to
// maxRecoveryWait, since ejections end and engines reconnect. It does not retry if no
// upstream can have started a step, since the job can then be refused. While other suspects
// hold the engines, it waits until the job's deadline: each of them generates only a few
// tokens alone.
func (r *run) substitute(ctx context.Context, index int) ([]stage, error) {
	d := r.driver
	start := d.Clock()
	avoid := r.avoid
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		chosen, err := d.Chooser.Chain(d.Clock(), r.requirements(r.stages[index].Range, avoid))
		if err == nil {
			stages := append([]stage(nil), r.stages[:index]...)
			stages = append(stages, withoutContext(chosen)...)
			return append(stages, r.stages[index+1:]...), nil
		}
		whole := cowslipproxy.LayerRange{First: 0, End: r.job.Model.Layers}
		if chosen, err = d.Chooser.Chain(d.Clock(), r.requirements(whole, avoid)); err == nil {
			r.resume = resumption{} // no stage of the new chain has run a step
			return withoutContext(chosen), nil
		}
		if !errors.Is(err, cowslipproxy.ErrHeld) && (!r.dispatched || d.Clock().Sub(start) > maxRecoveryWait) {
			return nil, err
		}
		avoid = nil // an engine that failed this job before may be the only one left
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// requirements returns the requirements of the job for a range of the model's layers.
func (r *run) requirements(layers cowslipproxy.LayerRange, avoid []string) cowslipproxy.Requirements {
	return cowslipproxy.Requirements{
		Model:    r.job.Model.Name,
		Version:  r.job.Model.Version,
		Adapter:  r.job.Adapter,
		Range:    layers,
		Prefixes: r.job.Prefixes,
		Tokens:   r.length(),
		Output:   r.job.MaxNewTokens - len(r.generated),
		Avoid:    avoid,
		Request:  r.job.Request,
		Suspect:  r.suspectTokens > 0,
	}
}

func withoutContext(chosen []cowslipproxy.Stage) []stage {
	stages := make([]stage, len(chosen))
	for i, s := range chosen {
		stages[i] = stage{Stage: s, withoutContext: true}
	}
	return stages
}
