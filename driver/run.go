package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// stage is one link of a running chain.
type stage struct {
	cowslipproxy.Stage
	attempt int  // attempt under which the engine holds the context
	fresh   bool // the engine holds no context yet
}

// run is the state of one job.
type run struct {
	driver     *Driver
	job        Job
	stages     []stage
	attempt    int // newest attempt of any stage
	given      []int
	avoid      []string        // engines that failed this job
	used       map[string]bool // engines that may hold contexts of this job
	dispatched bool            // an engine may have started a step
	recoveries int
	suspect    int // tokens to go until the request shares upstreams with suspects again; 0 if it is none
	usage      Usage
	resume     resumption
	keeper     keeper
}

// resumption lets a pass start behind the stages that ran the token already.
type resumption struct {
	index int    // stage to start from
	state []byte // its input
	ran   []cowslipproxy.LayerRange
}

// errContextLost is the error of a step whose engine no longer holds the
// request's context.
var errContextLost = errors.Wrapf(cowslipproxy.ErrNotStarted, "fault %s", cowslipproxy.FaultContext)

// stageError is the error of the step of one stage.
type stageError struct {
	index int
	err   error
}

func (e *stageError) Error() string { return e.err.Error() }
func (e *stageError) Unwrap() error { return e.err }

// plan chooses a chain for the whole model.
func (r *run) plan() error {
	whole := cowslipproxy.LayerRange{First: 0, End: r.job.Model.Layers}
	var chosen []cowslipproxy.Stage
	var err error
	if chosen, err = r.driver.Chooser.Chain(r.driver.Clock(), r.need(whole, nil)); err != nil {
		return err
	}
	r.adopt(fresh(chosen))
	return nil
}

// adopt makes a chain the current one and counts the request on its engines.
func (r *run) adopt(stages []stage) {
	for _, s := range stages {
		r.driver.Chooser.Begin(s.Upstream, r.job.Request)
	}
	for _, s := range r.stages {
		r.driver.Chooser.End(s.Upstream, r.job.Request)
	}
	r.stages = stages
}

// token produces one token, and replaces stages that fail on the way.
func (r *run) token(ctx context.Context, index int) (cowslipproxy.Reply, error) {
	for {
		r.collect()
		reply, err := r.pass(ctx, index)
		if err == nil {
			r.survive()
			r.save(ctx, index)
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

// survive counts a token that a suspect produced. A request that crashes its
// upstreams does so at the same token again, so that one which got past it need
// not keep other suspects off its upstreams.
func (r *run) survive() {
	if r.suspect == 0 {
		return
	}
	if r.suspect--; r.suspect == 0 {
		r.driver.Chooser.Clear(r.job.Request)
		if r.driver.Survived != nil {
			r.driver.Survived(r.job)
		}
	}
}

// pass runs each layer once for one token. Stages up to the last one without a
// context are prefilled with all positions under a new attempt; the stages after
// it take one position.
func (r *run) pass(ctx context.Context, index int) (cowslipproxy.Reply, error) {
	start, state, ran := r.resume.index, r.resume.state, r.resume.ran
	r.resume = resumption{}
	last := r.lastFresh()
	if last >= 0 {
		r.attempt++
	}
	var reply cowslipproxy.Reply
	for i := start; i < len(r.stages); i++ {
		if i <= last {
			r.stages[i].attempt = r.attempt
		}
		step := r.step(i, index, i <= last, i == last && index > 0, state)
		var err error
		if reply, err = r.do(ctx, &r.stages[i], step); err != nil {
			r.resume = resumption{index: i, state: state, ran: ran}
			return reply, &stageError{index: i, err: err}
		}
		r.stages[i].fresh = false
		r.keep(&r.stages[i], step)
		state, ran = reply.State, append(ran, reply.Range)
	}
	return reply, r.driver.Checker.Layers(ctx, r.job.Request, ran, r.job.Model.Layers)
}

func (r *run) lastFresh() int {
	for i := len(r.stages) - 1; i >= 0; i-- {
		if r.stages[i].fresh {
			return i
		}
	}
	return -1
}

// step builds the step of a stage for a token.
func (r *run) step(i, index int, prefill, tail bool, state []byte) cowslipproxy.Step {
	step := cowslipproxy.Step{
		StepID: cowslipproxy.StepID{
			Request: r.job.Request,
			Attempt: r.stages[i].attempt,
			Token:   index,
			Range:   r.stages[i].Range,
		},
		Kind:     cowslipproxy.StepDecode,
		Model:    r.job.Model.Name,
		Version:  r.job.Model.Version,
		Adapter:  r.job.Adapter,
		Priority: r.job.Priority,
		Left:     r.job.Deadline.Sub(r.driver.Clock()),
	}
	if prefill {
		step.Kind, step.Tail = cowslipproxy.StepPrefill, tail
	}
	if i > 0 {
		step.State = state
		return step
	}
	if prefill {
		step.Prompt, step.Given = r.job.Prompt, r.given
		return step
	}
	step.Given = r.given[len(r.given)-1:]
	return step
}

// do runs a step on its stage's engine.
func (r *run) do(ctx context.Context, s *stage, step cowslipproxy.Step) (cowslipproxy.Reply, error) {
	d := r.driver
	engine, ok := d.Engine(s.Upstream)
	if !ok {
		return cowslipproxy.Reply{}, errors.Wrapf(cowslipproxy.ErrNotStarted, "engine %s is gone", s.Upstream)
	}
	tokens := 1
	if step.Kind == cowslipproxy.StepPrefill {
		tokens = r.length()
	}
	began := d.Clock()
	timed, cancel := context.WithTimeout(ctx, d.Observer.Timeout(began, s.Stage, step, tokens))
	defer cancel()
	r.used[s.Upstream] = true
	d.Observer.Began(began, s.Upstream, step, tokens)
	reply, err := engine.Do(timed, step)
	if err == nil {
		err = r.accept(ctx, step, reply)
	}
	now := d.Clock()
	end := cowslipproxy.StepEnd{Tokens: tokens, Took: now.Sub(began), Reply: reply, Err: err}
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

// length estimates how many positions a prefill runs.
func (r *run) length() int {
	const bytesPerToken = 4 // until the first stage reported the prompt's length
	if r.usage.Prompt > 0 {
		return r.usage.Prompt + len(r.given)
	}
	return len(r.job.Prompt)/bytesPerToken + 1 + len(r.given)
}

// accept checks a reply and turns its fault into an error.
func (r *run) accept(ctx context.Context, step cowslipproxy.Step, reply cowslipproxy.Reply) error {
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

// release frees the contexts on all engines that may hold some.
func (r *run) release() {
	r.driver.Chooser.Clear(r.job.Request)
	r.drop()
	r.adopt(nil)
	for name := range r.used {
		if engine, ok := r.driver.Engine(name); ok {
			engine.Cancel(r.job.Request)
		}
	}
}

// failure tells the caller how much is known of a job that failed.
func (r *run) failure(ctx context.Context, err error) *cowslipproxy.Failure {
	reason, retry, message := cowslipproxy.ReasonUpstreamFailed, time.Second, err.Error()
	var known *cowslipproxy.Failure
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason, retry = cowslipproxy.ReasonDeadline, 0
	case ctx.Err() != nil:
		reason, retry = cowslipproxy.ReasonCancelled, 0
	case errors.As(err, &known):
		reason, retry, message = known.Reason, known.RetryAfter, known.Message
	}
	outcome := cowslipproxy.OutcomeRefused
	if r.dispatched {
		outcome = cowslipproxy.OutcomeUnknown
	}
	return &cowslipproxy.Failure{Outcome: outcome, Reason: reason, Message: message, RetryAfter: retry}
}
