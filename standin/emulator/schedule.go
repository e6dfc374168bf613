package emulator

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// maxLate is the lateness of a timer that the next batch makes up for.
const maxLate = 5 * time.Millisecond

// job is a step that waits for a place in a batch.
type job struct {
	step    cowslipproxy.Step
	owner   any
	arrived time.Time
	answer  func(cowslipproxy.Reply)
}

// enqueue adds a step to the queue.
func (e *Engine) enqueue(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, j)
	e.signal()
}

// Run executes batches until the context ends or the engine crashes.
func (e *Engine) Run(ctx context.Context) error {
	for {
		batch := e.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-e.crashed:
				return nil
			case <-e.wake:
				continue
			}
		}
		if !e.execute(ctx, batch) {
			return nil
		}
	}
}

// nextBatch takes the steps of the next batch, by priority and then by age.
// Prefills run one at a time beside the decodes, as engines with chunked
// prefill do, so that a long prompt holds up no more than one batch.
func (e *Engine) nextBatch() []*job {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Stall || e.faults.Silent {
		return nil
	}
	sort.SliceStable(e.queue, func(i, j int) bool {
		return e.queue[i].step.Priority > e.queue[j].step.Priority
	})
	var batch, rest []*job
	prefills := 0
	for _, j := range e.queue {
		prefill := j.step.Kind == cowslipproxy.StepPrefill
		if len(batch) == e.Batch || (prefill && prefills == 1) {
			rest = append(rest, j)
			continue
		}
		if prefill {
			prefills++
		}
		batch = append(batch, j)
	}
	e.queue, e.running = rest, len(batch)
	return batch
}

// execute computes a batch, waits as long as the accelerator would, and answers.
func (e *Engine) execute(ctx context.Context, batch []*job) bool {
	replies := make([]cowslipproxy.Reply, len(batch))
	var spent time.Duration
	e.mu.Lock()
	decodes := 0
	for i, j := range batch {
		if e.crashes(j.step) {
			e.mu.Unlock()
			e.crash()
			return false
		}
		var cost time.Duration
		replies[i], cost = e.compute(j)
		if j.step.Kind == cowslipproxy.StepDecode {
			decodes++
			continue
		}
		spent += cost
	}
	if decodes > 0 {
		factor := 1 + e.Share*float64(decodes-1)
		spent += time.Duration(float64(e.scaled(e.Pace)) * float64(e.Range.Len()) * factor)
	}
	end := e.busyUntil(spent)
	e.mu.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-e.crashed:
		return false
	case <-timer.C:
	}
	e.mu.Lock()
	e.running = 0
	e.mu.Unlock()
	for i, j := range batch {
		replies[i].Spent = spent
		j.answer(replies[i])
	}
	return true
}

// busyUntil returns when a batch ends that takes the given time. A batch that
// follows another at once begins when that one was to end: a timer that fires
// late would otherwise make the accelerator slower than it is set. The caller
// holds the mutex.
func (e *Engine) busyUntil(spent time.Duration) time.Time {
	begin := time.Now()
	if e.pressed && begin.Sub(e.ends) < maxLate {
		begin = e.ends
	}
	e.ends = begin.Add(spent)
	e.pressed = len(e.queue) > 0
	return e.ends
}

// crashes decides whether a step crashes the engine; the caller holds the mutex.
func (e *Engine) crashes(step cowslipproxy.Step) bool {
	if e.faults.Crash != "" && strings.Contains(step.Prompt, e.faults.Crash) {
		return true
	}
	if e.faults.After == 0 {
		return false
	}
	e.faults.After--
	return e.faults.After == 0 && (e.fuse == nil || e.fuse.CompareAndSwap(false, true))
}

// compute runs a step's layers and returns the time that a prefill takes; the
// caller holds the mutex.
func (e *Engine) compute(j *job) (cowslipproxy.Reply, time.Duration) {
	reply := cowslipproxy.Reply{StepID: j.step.StepID}
	if reply.Fault = e.refusal(j.step); reply.Fault != cowslipproxy.FaultNone {
		return reply, 0
	}
	e.ran++
	if e.Trace {
		e.traced[j.step.Request]++
	}
	key := contextKey{request: j.step.Request, attempt: j.step.Attempt}
	if j.step.Kind == cowslipproxy.StepDecode {
		var outputs []uint64
		if outputs, reply.Fault = e.decode(j.step, e.contexts[key]); reply.Fault == cowslipproxy.FaultNone {
			e.used++
			e.finish(&reply, outputs, false)
		}
		return reply, 0
	}
	var outputs []uint64
	var seq *sequence
	if outputs, seq, reply.Fault = e.prefill(j.step, j.owner); reply.Fault != cowslipproxy.FaultNone {
		return reply, 0
	}
	if old := e.contexts[key]; old != nil {
		e.used -= old.Positions
	}
	e.contexts[key] = seq
	e.used += seq.Positions
	reply.Prompt = len(tokens(j.step.Prompt))
	reply.Cached = e.prefixes.use(j.step)
	e.finish(&reply, outputs, j.step.Tail)
	fresh := max(1, seq.Positions-reply.Cached)
	return reply, e.scaled(e.Prefill) * time.Duration(e.Range.Len()*fresh)
}

// refusal returns why a step can't start; the caller holds the mutex.
func (e *Engine) refusal(step cowslipproxy.Step) cowslipproxy.Fault {
	if e.role != cowslipproxy.RoleServe || step.Model != e.Model.Name || step.Version != e.Model.Version || step.Range != e.Range || !e.hasAdapter(step.Adapter) {
		return cowslipproxy.FaultModel
	}
	if e.faults.Wrong && step.Token > 1 {
		return cowslipproxy.FaultInternal
	}
	if step.Kind == cowslipproxy.StepDecode {
		return cowslipproxy.FaultNone
	}
	if e.leaving {
		return cowslipproxy.FaultLeaving
	}
	if e.used >= e.Memory {
		return cowslipproxy.FaultFull
	}
	return cowslipproxy.FaultNone
}

func (e *Engine) hasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, held := range e.Model.Adapters {
		if held == adapter {
			return true
		}
	}
	return false
}

// finish puts the outputs into the reply; the last stage samples a token.
func (e *Engine) finish(reply *cowslipproxy.Reply, outputs []uint64, tail bool) {
	newest := outputs[len(outputs)-1]
	if e.Range.End == e.Model.Layers {
		reply.Next = sample(newest)
		reply.Text = text(reply.Next)
		return
	}
	if tail {
		outputs = outputs[len(outputs)-1:]
	}
	reply.State = pack(outputs)
}

// free drops the contexts that match.
func (e *Engine) free(match func(contextKey, *sequence) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, seq := range e.contexts {
		if match(key, seq) {
			e.used -= seq.Positions
			delete(e.contexts, key)
		}
	}
}
