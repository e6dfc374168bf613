package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// stage is a stage of a running chain.
type stage struct {
	cowslipproxy.Stage
	attempt        int  // attempt number of the context that the engine holds
	withoutContext bool // the engine holds no context yet
}

// run is the state of one job.
type run struct {
	driver        *Driver
	job           Job
	stages        []stage
	attempt       int // latest attempt number of any stage
	generated     []int
	avoid         []string        // upstreams that failed this job
	usedUpstreams map[string]bool // upstreams that may hold contexts of this job
	timeouts      map[string]int  // consecutive steps of this job that timed out, by upstream
	dispatched    bool            // an upstream may have started a step
	recoveries    int             // attempts to replace a stage or to recompute its context
	suspectTokens int             // tokens that the request must still generate as a suspect; 0 if it is no suspect
	usage         Usage
	resume        resumption
	exportState   exportState
}

// resumption is the point from which a pass resumes. The stages before it have run
// the token already.
type resumption struct {
	index     int                       // stage to resume from
	state     []byte                    // activations that the stage gets as input
	completed []cowslipproxy.LayerRange // layers that have run the token
}

// errContextLost is the error of a step whose engine no longer holds the
// request's context.
var errContextLost = errors.Wrapf(cowslipproxy.ErrNotStarted, "fault %s", cowslipproxy.FaultContext)

// stageError is the error of a stage's step.
type stageError struct {
	index int
	err   error
}

func (e *stageError) Error() string { return e.err.Error() }
func (e *stageError) Unwrap() error { return e.err }

// plan chooses a chain for the whole model. It waits while other suspects hold the
// engines that the job needs.
func (r *run) plan(ctx context.Context) error {
	whole := cowslipproxy.LayerRange{First: 0, End: r.job.Model.Layers}
	for {
		chosen, err := r.driver.Chooser.Chain(r.driver.Clock(), r.requirements(whole, nil))
		if err == nil {
			r.setStages(withoutContext(chosen))
			return nil
		}
		if !errors.Is(err, cowslipproxy.ErrHeld) || sleep(ctx, maxRetryDelay) != nil {
			return err
		}
	}
}

// setStages replaces the current chain and registers the request on the new one's
// upstreams.
func (r *run) setStages(stages []stage) {
	for _, s := range stages {
		r.driver.Chooser.Begin(s.Upstream, r.job.Request)
	}
	for _, s := range r.stages {
		r.driver.Chooser.End(s.Upstream, r.job.Request)
	}
	r.stages = stages
}

// generateToken generates one token and replaces stages that fail.
func (r *run) generateToken(ctx context.Context, token int) (cowslipproxy.Reply, error) {
	for {
		r.collectExports()
		reply, err := r.runPass(ctx, token)
		if err == nil {
			r.countSurvivedToken()
			r.startExports(ctx, token)
			return reply, nil
		}
		var failed *stageError
		if ctx.Err() != nil || !errors.As(err, &failed) {
			return reply, err
		}
		if err := r.replace(ctx, failed); err != nil {
			return reply, err
		}
	}
}

// countSurvivedToken counts a token that a suspect generated. A request that crashes
// its upstreams does so at the same token each time. Once it has passed this token,
// other suspects may use its upstreams.
func (r *run) countSurvivedToken() {
	if r.suspectTokens == 0 {
		return
	}
	if r.suspectTokens--; r.suspectTokens == 0 {
		r.driver.Chooser.ReleaseHolds(r.job.Request)
		if r.driver.OnSurvived != nil {
			r.driver.OnSurvived(r.job)
		}
	}
}

// runPass runs each layer once for one token. Stages up to the last one without a
// context are prefilled with all positions under a new attempt number; the stages
// after it run a decode step for one position.
func (r *run) runPass(ctx context.Context, token int) (cowslipproxy.Reply, error) {
	start, state, completed := r.resume.index, r.resume.state, r.resume.completed
	r.resume = resumption{}
	last := r.lastWithoutContext()
	if last >= 0 {
		r.attempt++
	}
	var reply cowslipproxy.Reply
	for i := start; i < len(r.stages); i++ {
		if i <= last {
			r.stages[i].attempt = r.attempt
		}
		step := r.step(i, token, i <= last, i == last && token > 0, state)
		var err error
		if reply, err = r.runStep(ctx, &r.stages[i], step); err != nil {
			r.resume = resumption{index: i, state: state, completed: completed}
			return reply, &stageError{index: i, err: err}
		}
		r.stages[i].withoutContext = false
		r.recordStep(&r.stages[i], step)
		state, completed = reply.State, append(completed, reply.Range)
	}
	return reply, r.driver.Checker.Layers(ctx, r.job.Request, completed, r.job.Model.Layers)
}

// lastWithoutContext returns the index of the last stage without a context, or -1.
func (r *run) lastWithoutContext() int {
	for i := len(r.stages) - 1; i >= 0; i-- {
		if r.stages[i].withoutContext {
			return i
		}
	}
	return -1
}

// step returns the step of the i-th stage for a token.
func (r *run) step(i, token int, prefill, lastOnly bool, state []byte) cowslipproxy.Step {
	step := cowslipproxy.Step{
		StepID: cowslipproxy.StepID{
			Request: r.job.Request,
			Attempt: r.stages[i].attempt,
			Token:   token,
			Range:   r.stages[i].Range,
		},
		Kind:     cowslipproxy.StepDecode,
		Model:    r.job.Model.Name,
		Version:  r.job.Model.Version,
		Adapter:  r.job.Adapter,
		Priority: r.job.Priority,
		TimeLeft: r.job.Deadline.Sub(r.driver.Clock()),
	}
	if prefill {
		step.Kind, step.LastOnly = cowslipproxy.StepPrefill, lastOnly
	}
	if i > 0 {
		step.State = state
		return step
	}
	if prefill {
		step.Prompt, step.Generated = r.job.Prompt, r.generated
		return step
	}
	step.Generated = r.generated[len(r.generated)-1:]
	return step
}

// runStep runs a step on the engine of its stage.
func (r *run) runStep(ctx context.Context, s *stage, step cowslipproxy.Step) (cowslipproxy.Reply, error) {
	d := r.driver
	engine, ok := d.Engine(s.Upstream)
	if !ok {
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "engine %s is not connected", s.Upstream)
	}
	tokens := 1
	if step.Kind == cowslipproxy.StepPrefill {
		tokens = r.length()
	}
	start := d.Clock()
	stepCtx, cancel := context.WithTimeout(ctx, r.timeout(start, s, step, tokens))
	defer cancel()
	r.usedUpstreams[s.Upstream] = true
	d.Observer.Began(start, s.Upstream, step, tokens)
	reply, err := engine.Do(stepCtx, step)
	if err == nil {
		err = r.checkReply(ctx, step, reply)
	}
	r.recordTimeout(ctx, s.Upstream, err)
	now := d.Clock()
	end := cowslipproxy.StepEnd{Tokens: tokens, Duration: now.Sub(start), Reply: reply, Err: err}
	if ctx.Err() == nil || err == nil {
		d.Observer.Ended(now, s.Upstream, step, end)
	} else {
		d.Observer.Ended(now, s.Upstream, step, cowslipproxy.StepEnd{Tokens: tokens, Err: context.Canceled})
	}
	if !errors.Is(err, cowslipproxy.ErrNotStarted) {
		r.dispatched = true
	}
	return reply, err
}

// timeout returns the time after which a step counts as failed. It doubles with each step of
// the job that timed out on the same engine: that engine may be the only one for its layers,
// and has the earlier steps in its queue.
func (r *run) timeout(now time.Time, s *stage, step cowslipproxy.Step, tokens int) time.Duration {
	timeout := r.driver.Observer.Timeout(now, s.Stage, step, tokens)
	return max(timeout, min(timeout<<min(r.timeouts[s.Upstream], maxTimeoutDoublings), maxRetryTimeout))
}

// recordTimeout counts a step that timed out. A reply ends the count of its engine.
func (r *run) recordTimeout(ctx context.Context, upstream string, err error) {
	if err == nil {
		delete(r.timeouts, upstream)
	} else if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		r.timeouts[upstream]++
		reporter.Count(r.driver.Metrics, reporter.MetricStepTimeouts)
	}
}

// length returns the number of positions of a prefill: the prompt's tokens, estimated
// until the first stage has reported them, and the generated tokens.
func (r *run) length() int {
	const bytesPerToken = 4
	if r.usage.Prompt > 0 {
		return r.usage.Prompt + len(r.generated)
	}
	return len(r.job.Prompt)/bytesPerToken + 1 + len(r.generated)
}

// checkReply returns an error if a reply doesn't match its step or reports a fault. It
// records the token counts of the prompt.
func (r *run) checkReply(ctx context.Context, step cowslipproxy.Step, reply cowslipproxy.Reply) error {
	if err := r.driver.Checker.Reply(ctx, step.StepID, reply.StepID); err != nil {
		return err
	}
	switch reply.Fault {
	case cowslipproxy.FaultNone:
	case cowslipproxy.FaultContext:
		return errors.WithStack(errContextLost)
	case cowslipproxy.FaultFull, cowslipproxy.FaultLeaving, cowslipproxy.FaultModel:
		return errors.Wrapf(cowslipproxy.ErrNotStarted, "fault %s", reply.Fault)
	default:
		return errors.Errorf("fault %s", reply.Fault)
	}
	if reply.Prompt > 0 {
		r.usage.Prompt = reply.Prompt
	}
	r.usage.Cached = max(r.usage.Cached, reply.Cached)
	return nil
}

// release frees the exports, the holds and the contexts of the job on all engines.
func (r *run) release() {
	r.driver.Chooser.ReleaseHolds(r.job.Request)
	r.releaseExports()
	r.setStages(nil)
	for name := range r.usedUpstreams {
		if engine, ok := r.driver.Engine(name); ok {
			engine.Cancel(r.job.Request)
		}
	}
}

// failure returns the failure of a job that ended with an error.
func (r *run) failure(ctx context.Context, err error) *cowslipproxy.Failure {
	reason, retry, message := cowslipproxy.ReasonUpstreamFailed, time.Second, err.Error()
	var cause *cowslipproxy.Failure
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason, retry = cowslipproxy.ReasonDeadline, 0
	case ctx.Err() != nil:
		reason, retry = cowslipproxy.ReasonCancelled, 0
	case errors.As(err, &cause):
		reason, retry, message = cause.Reason, cause.RetryAfter, cause.Message
	}
	outcome := cowslipproxy.OutcomeRefused
	if r.dispatched {
		outcome = cowslipproxy.OutcomeUnknown
	}
	return &cowslipproxy.Failure{Outcome: outcome, Reason: reason, Message: message, RetryAfter: retry}
}
