package emulator

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// maxTimerDelay is the largest timer delay that the next batch compensates for.
const maxTimerDelay = 5 * time.Millisecond

// job is a step in the engine's queue.
type job struct {
	step       cowslipproxy.Step
	owner      any // gRPC stream that sent the step
	enqueuedAt time.Time
	sendReply  func(cowslipproxy.Reply)
}

// enqueue adds a step to the queue.
func (e *Engine) enqueue(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, j)
	e.wakeScheduler()
}

// Run executes batches until ctx ends or the engine crashes.
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
		if !e.runBatch(ctx, batch) {
			return nil
		}
	}
}

// nextBatch removes the steps of the next batch from the queue, ordered by priority
// and then by arrival. A batch has at most one prefill beside the decodes, as in
// engines with chunked prefill, so that a long prompt delays only one batch.
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
		if len(batch) == e.MaxBatch || (prefill && prefills == 1) {
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

// runBatch computes a batch, waits for the compute time of the accelerator and sends
// the replies. It reports false if the engine has stopped.
func (e *Engine) runBatch(ctx context.Context, batch []*job) bool {
	replies := make([]cowslipproxy.Reply, len(batch))
	var computeTime time.Duration
	e.mu.Lock()
	decodes := 0
	for i, j := range batch {
		if e.shouldCrash(j.step) {
			e.mu.Unlock()
			e.crash()
			return false
		}
		var cost time.Duration
		replies[i], cost = e.runStep(j)
		if j.step.Kind == cowslipproxy.StepDecode {
			decodes++
			continue
		}
		computeTime += cost
	}
	if decodes > 0 {
		factor := 1 + e.BatchOverhead*float64(decodes-1)
		computeTime += time.Duration(float64(e.applySlowdown(e.Pace)) * float64(e.Range.Len()) * factor)
	}
	end := e.nextBatchEnd(computeTime)
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
		replies[i].ComputeTime = computeTime
		j.sendReply(replies[i])
	}
	return true
}

// nextBatchEnd returns the end of a batch that takes the given time. Of two
// back-to-back batches, the second starts at the planned end of the first: a timer
// that fires late would otherwise make the accelerator slower than configured. The
// caller must hold the mutex.
func (e *Engine) nextBatchEnd(computeTime time.Duration) time.Time {
	start := time.Now()
	if e.backlogged && start.Sub(e.batchEnd) < maxTimerDelay {
		start = e.batchEnd
	}
	e.batchEnd = start.Add(computeTime)
	e.backlogged = len(e.queue) > 0
	return e.batchEnd
}

// shouldCrash reports whether a step crashes the engine, and counts the step for the
// CrashAtStep fault. The caller must hold the mutex.
func (e *Engine) shouldCrash(step cowslipproxy.Step) bool {
	if e.faults.CrashText != "" && strings.Contains(step.Prompt, e.faults.CrashText) {
		return true
	}
	if e.faults.CrashAtStep == 0 {
		return false
	}
	e.faults.CrashAtStep--
	return e.faults.CrashAtStep == 0 && (e.sharedCrash == nil || e.sharedCrash.CompareAndSwap(false, true))
}

// runStep computes a step and returns its reply and, for a prefill, the compute
// time. The caller must hold the mutex.
func (e *Engine) runStep(j *job) (cowslipproxy.Reply, time.Duration) {
	reply := cowslipproxy.Reply{StepID: j.step.StepID}
	if reply.Fault = e.validateStep(j.step); reply.Fault != cowslipproxy.FaultNone {
		return reply, 0
	}
	e.stepsRun++
	if e.CountSteps {
		e.requestSteps[j.step.Request]++
	}
	key := contextKey{request: j.step.Request, attempt: j.step.Attempt}
	if j.step.Kind == cowslipproxy.StepDecode {
		var outputs []uint64
		if outputs, reply.Fault = e.decode(j.step, e.contexts[key]); reply.Fault == cowslipproxy.FaultNone {
			e.usedTokens++
			e.setOutput(&reply, outputs, false)
		}
		return reply, 0
	}
	var outputs []uint64
	var seq *sequence
	if outputs, seq, reply.Fault = e.prefill(j.step, j.owner); reply.Fault != cowslipproxy.FaultNone {
		return reply, 0
	}
	if old := e.contexts[key]; old != nil {
		e.usedTokens -= old.Positions
	}
	e.contexts[key] = seq
	e.usedTokens += seq.Positions
	reply.Prompt = len(tokenize(j.step.Prompt))
	reply.Cached = e.prefixes.insert(j.step)
	e.setOutput(&reply, outputs, j.step.LastOnly)
	uncached := max(1, seq.Positions-reply.Cached)
	return reply, e.applySlowdown(e.PrefillTime) * time.Duration(e.Range.Len()*uncached)
}

// validateStep returns the fault with which the engine rejects a step, or FaultNone if
// the step can start. The caller must hold the mutex.
func (e *Engine) validateStep(step cowslipproxy.Step) cowslipproxy.Fault {
	if e.role != cowslipproxy.RoleServe || step.Model != e.Model.Name || step.Version != e.Model.Version || step.Range != e.Range || !e.hasAdapter(step.Adapter) {
		return cowslipproxy.FaultModel
	}
	if e.faults.FailSteps && step.Token > 1 {
		return cowslipproxy.FaultInternal
	}
	if step.Kind == cowslipproxy.StepDecode {
		return cowslipproxy.FaultNone
	}
	if e.leaving {
		return cowslipproxy.FaultLeaving
	}
	if e.usedTokens >= e.CacheCapacity {
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

// setOutput adds the outputs to the reply: a sampled token from the last stage,
// activations from all others. With lastOnly, only the newest activation is added.
func (e *Engine) setOutput(reply *cowslipproxy.Reply, outputs []uint64, lastOnly bool) {
	newest := outputs[len(outputs)-1]
	if e.Range.End == e.Model.Layers {
		reply.NextToken = sample(newest)
		reply.Text = tokenText(reply.NextToken)
		return
	}
	if lastOnly {
		outputs = outputs[len(outputs)-1:]
	}
	reply.State = encodeActivations(outputs)
}

// freeContexts removes the contexts for which match returns true.
func (e *Engine) freeContexts(match func(contextKey, *sequence) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, seq := range e.contexts {
		if match(key, seq) {
			e.usedTokens -= seq.Positions
			delete(e.contexts, key)
		}
	}
}
