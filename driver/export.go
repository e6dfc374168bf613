package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/cowslipproxy/cowslipproxy"
)

// ExportPolicy sets when the contexts of a job are exported, so that the context of a
// failed stage need not be recomputed from the prompt. Its fields are set before
// the first job.
type ExportPolicy struct {
	Interval         int                 // tokens between two exports
	MinRecomputeTime time.Duration       // nothing is exported while a context can be recomputed in less time than this
	Memory           *semaphore.Weighted // limit on the bytes of exported contexts of all jobs
}

// exportedContext is the exported context of a stage.
type exportedContext struct {
	cache cowslipproxy.Cache
	took  time.Duration // duration of the export, used as an estimate for the import
}

// export is the result of exporting a stage's context.
type export struct {
	stage           stage
	exportedContext exportedContext
	err             error
}

// exportState holds the exports of a job and the steps that were run after them.
type exportState struct {
	exports   chan export
	pending   int
	lastToken int                            // token after which the latest exports were started
	contexts  map[string]exportedContext     // by upstream
	steps     map[string][]cowslipproxy.Step // by upstream: decode steps after its latest export
	heldBytes int64                          // bytes acquired from ExportPolicy.Memory
}

const (
	exportTimeout    = 5 * time.Second
	maxStepIntervals = 4 // limit on the recorded steps of a stage, in multiples of ExportPolicy.Interval; reached when exports fail
)

// recordStep records a decode step that a stage ran, so that it can be rerun after an
// import of the stage's context.
func (r *run) recordStep(s *stage, step cowslipproxy.Step) {
	if r.driver.ExportPolicy == nil || r.exportState.lastToken == 0 || step.Kind != cowslipproxy.StepDecode {
		return
	}
	steps := append(r.exportState.steps[s.Upstream], step)
	if limit := maxStepIntervals * r.driver.ExportPolicy.Interval; len(steps) > limit {
		steps = steps[len(steps)-limit:]
	}
	r.exportState.steps[s.Upstream] = steps
}

// startExports starts to export the contexts of all stages if an export is due.
func (r *run) startExports(ctx context.Context, token int) {
	policy := r.driver.ExportPolicy
	if policy == nil || r.exportState.pending > 0 || token-r.exportState.lastToken < policy.Interval {
		return
	}
	if r.recomputeTime(len(r.stages)-1) < policy.MinRecomputeTime {
		return
	}
	if r.exportState.exports == nil {
		r.exportState.exports = make(chan export, 2*maxRecoveries)
		r.exportState.contexts = map[string]exportedContext{}
		r.exportState.steps = map[string][]cowslipproxy.Step{}
	}
	r.exportState.lastToken = token
	for _, s := range r.stages {
		if engine, ok := r.driver.Engine(s.Upstream); ok {
			r.exportState.pending++
			go r.export(ctx, engine, s, r.exportState.exports)
		}
	}
}

// export exports the context of a stage. It runs concurrently with the job, so it
// reads only its arguments and fields of the run that don't change.
func (r *run) export(ctx context.Context, engine cowslipproxy.Engine, s stage, exports chan<- export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	id := cowslipproxy.StepID{Request: r.job.Request, Attempt: s.attempt, Range: s.Range}
	start := r.driver.Clock()
	cache, err := engine.Export(ctx, id)
	result := export{stage: s, exportedContext: exportedContext{cache: cache, took: r.driver.Clock().Sub(start)}, err: err}
	select {
	case exports <- result:
	case <-ctx.Done(): // the job has ended or the export timed out
	}
}

// collectExports stores the exports that have finished. It doesn't wait for others.
func (r *run) collectExports() {
	for r.exportState.pending > 0 {
		select {
		case result := <-r.exportState.exports:
			r.exportState.pending--
			r.storeExport(result)
		default:
			return
		}
	}
}

// storeExport replaces the previous export of a stage and drops the steps that the new
// one includes. An export that failed or exceeds the memory limit is discarded.
func (r *run) storeExport(result export) {
	name, size := result.stage.Upstream, int64(len(result.exportedContext.cache.Data))
	oldSize := int64(len(r.exportState.contexts[name].cache.Data))
	if result.err != nil || !r.driver.ExportPolicy.Memory.TryAcquire(size) {
		return
	}
	r.driver.ExportPolicy.Memory.Release(oldSize)
	r.exportState.heldBytes += size - oldSize
	r.exportState.contexts[name] = result.exportedContext
	steps := r.exportState.steps[name]
	for len(steps) > 0 && steps[0].Token <= result.exportedContext.cache.Token {
		steps = steps[1:]
	}
	r.exportState.steps[name] = steps
}

// releaseExports releases the memory of the exports.
func (r *run) releaseExports() {
	if r.exportState.heldBytes > 0 {
		r.driver.ExportPolicy.Memory.Release(r.exportState.heldBytes)
		r.exportState.heldBytes = 0
	}
}

// recomputeTime returns the expected time to recompute the context of a stage from
// the prompt, including the stages before it.
func (r *run) recomputeTime(index int) time.Duration {
	var expected time.Duration
	for _, s := range r.stages[:index+1] {
		expected += s.Prefill
	}
	return expected
}

// restore restores the context of a failed stage on its substitute, from the latest
// export and the decode steps after it. It reports whether the substitute can run its
// step for the given token.
func (r *run) restore(ctx context.Context, failed stage, index, token int) bool {
	exported, ok := r.exportState.contexts[failed.Upstream]
	if !ok || index >= len(r.stages) || r.stages[index].Range != failed.Range {
		return false
	}
	s := &r.stages[index]
	steps := r.exportState.steps[failed.Upstream]
	missing := token - 1 - exported.cache.Token
	if missing < 0 || len(steps) < missing || missing > 0 && steps[0].Token != exported.cache.Token+1 {
		return false
	}
	if expected := exported.took + time.Duration(missing)*s.Decode; expected > r.recomputeTime(index) {
		return false
	}
	return r.importContext(ctx, s, exported.cache, steps[:missing]) == nil
}

// importContext imports a context and reruns the steps after it. The outputs of
// these steps are not needed, since later stages have received them before.
func (r *run) importContext(ctx context.Context, s *stage, cache cowslipproxy.Cache, steps []cowslipproxy.Step) error {
	engine, ok := r.driver.Engine(s.Upstream)
	if !ok {
		return errors.Errorf("engine %s is not connected", s.Upstream)
	}
	r.attempt++
	s.attempt = r.attempt
	cache.Attempt = r.attempt
	r.usedUpstreams[s.Upstream] = true
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	if err := engine.Import(ctx, cache); err != nil {
		return err
	}
	for _, step := range steps {
		step.Attempt = r.attempt
		if _, err := r.runStep(ctx, s, step); err != nil {
			return err
		}
	}
	s.withoutContext = false
	r.usage.Restored++
	return nil
}
