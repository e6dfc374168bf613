package driver

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	maxRecoveries = 32                    // replacements for one job
	recoveryWait  = 5 * time.Second       // longest wait for an engine that holds the missing layers
	recoveryPoll  = 20 * time.Millisecond // first wait between two looks; it doubles
	recoveryMax   = 200 * time.Millisecond

	// A quarantine may be lifted at once, when the other daemons' records show
	// that another request explains the crashes.
	quarantineWait = 500 * time.Millisecond

	survivedTokens = 3 // the token at which an upstream crashed, and two more
)

// replace puts other engines in the place of a stage that failed.
func (r *run) replace(ctx context.Context, failed *stageError) error {
	d := r.driver
	r.recoveries++
	if r.recoveries > maxRecoveries {
		return errors.Wrapf(failed.err, "gave up after %d replacements", maxRecoveries)
	}
	lost := r.stages[failed.index]
	if errors.Is(failed.err, errContextLost) && !lost.fresh {
		// The engine works; only the context has to be computed again.
		r.stages[failed.index].fresh, r.resume = true, resumption{}
		return nil
	}
	r.avoid = append(r.avoid, lost.Upstream)
	if err := r.permit(ctx); err != nil {
		return err
	}
	var stages []stage
	var err error
	if stages, err = r.substitute(ctx, failed.index); err != nil {
		return err
	}
	substitute := stages[min(failed.index, len(stages)-1)]
	r.adopt(stages)
	r.prepare(ctx, lost, failed.index)
	r.usage.Replaced++
	metrics.GetOrRegisterCounter(reporter.MetricStagesReplaced, d.Metrics).Inc(1)
	reporter.EventStageReplaced.Log(ctx, d.Logger,
		slog.String("request", r.job.Request),
		slog.String("engine", lost.Upstream),
		slog.String("substitute", substitute.Upstream),
		slog.Int("token", len(r.given)),
		slog.Any("error", failed.err))
	return nil
}

// begin asks whether the job may run at all, and chooses its chain.
func (r *run) begin() error {
	d := r.driver
	if d.Permit != nil {
		suspect, refusal := d.Permit(d.Clock(), r.job)
		if refusal != nil {
			return refusal
		}
		if suspect {
			r.suspect = r.job.Max + 1 // it isn't known at which token an upstream crashed
		}
	}
	return r.plan()
}

// permit asks whether the job may be sent to an engine again. A suspect waits
// while the other daemons are told of it.
func (r *run) permit(ctx context.Context) error {
	d := r.driver
	if d.Permit == nil {
		return nil
	}
	began := d.Clock()
	for pause := recoveryPoll; ; pause = min(2*pause, recoveryMax) {
		suspect, failure := d.Permit(d.Clock(), r.job)
		if failure == nil {
			if suspect {
				r.suspect = survivedTokens
			}
			return nil
		}
		limit := recoveryWait
		if failure.RetryAfter > recoveryWait {
			limit = quarantineWait
		}
		if d.Clock().Sub(began) > limit {
			return failure
		}
		if err := rest(ctx, pause); err != nil {
			return err
		}
	}
}

func rest(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// prepare decides where the next pass starts. The first token goes on behind
// the stages that ran it, since the failed stage's input holds all positions,
// and so does a token for which the substitute got the context of an export.
// Otherwise all stages up to the substitute are computed again.
func (r *run) prepare(ctx context.Context, lost stage, index int) {
	token := len(r.given)
	if token == 0 || r.restore(ctx, lost, index, token) {
		return
	}
	r.resume = resumption{}
}

// substitute returns the chain with the failed stage replaced, or a new chain
// where no engine holds just its layers. While there is neither it waits, since
// ejections end and engines come back.
func (r *run) substitute(ctx context.Context, index int) ([]stage, error) {
	d := r.driver
	began := d.Clock()
	avoid := r.avoid
	for pause := recoveryPoll; ; pause = min(2*pause, recoveryMax) {
		chosen, err := d.Chooser.Chain(d.Clock(), r.need(r.stages[index].Range, avoid))
		if err == nil {
			stages := append([]stage(nil), r.stages[:index]...)
			stages = append(stages, fresh(chosen)...)
			return append(stages, r.stages[index+1:]...), nil
		}
		whole := cowslipproxy.LayerRange{First: 0, End: r.job.Model.Layers}
		if chosen, err = d.Chooser.Chain(d.Clock(), r.need(whole, avoid)); err == nil {
			r.resume = resumption{} // no stage of the new chain ran anything yet
			return fresh(chosen), nil
		}
		if !r.dispatched || d.Clock().Sub(began) > recoveryWait {
			return nil, err
		}
		avoid = nil // an engine that failed this job once may be the only one left
		if err := rest(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// need describes a range of the model's layers to the chooser.
func (r *run) need(layers cowslipproxy.LayerRange, avoid []string) cowslipproxy.Need {
	return cowslipproxy.Need{
		Model:    r.job.Model.Name,
		Version:  r.job.Model.Version,
		Adapter:  r.job.Adapter,
		Range:    layers,
		Prefixes: r.job.Prefixes,
		Tokens:   r.length(),
		Output:   r.job.Max - len(r.given),
		Avoid:    avoid,
		Request:  r.job.Request,
		Suspect:  r.suspect > 0,
	}
}

func fresh(chosen []cowslipproxy.Stage) []stage {
	stages := make([]stage, len(chosen))
	for i, s := range chosen {
		stages[i] = stage{Stage: s, fresh: true}
	}
	return stages
}
