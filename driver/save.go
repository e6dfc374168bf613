package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/cowslipproxy/cowslipproxy"
)

// Saving says when the contexts of a job are exported, so that a stage that
// fails need not be recomputed from the prompt. Its fields are set before the
// first job.
type Saving struct {
	Every int                 // tokens between two exports
	Above time.Duration       // expected time of a recomputation from which on contexts are exported
	Room  *semaphore.Weighted // bytes of exported contexts that all jobs may hold
}

// saved is an exported context of one stage.
type saved struct {
	cache cowslipproxy.Cache
	took  time.Duration // time of the export, by which the time of the import is estimated
}

// export is the result of exporting a stage's context.
type export struct {
	stage stage
	saved saved
	err   error
}

// keeper holds what a job needs to restore its stages from exports.
type keeper struct {
	exports  chan export
	running  int
	newest   int                            // token after which the newest exports began
	contexts map[string]saved               // by engine
	steps    map[string][]cowslipproxy.Step // by engine: the decode steps after the export
	held     int64                          // bytes taken from the room
}

const (
	exportTimeout = 5 * time.Second
	maxSteps      = 4 // times Every: bounds the steps that are kept while exports fail
)

// keep notes a decode step that a stage ran.
func (r *run) keep(s *stage, step cowslipproxy.Step) {
	if r.driver.Saving == nil || r.keeper.newest == 0 || step.Kind != cowslipproxy.StepDecode {
		return
	}
	steps := append(r.keeper.steps[s.Upstream], step)
	if most := maxSteps * r.driver.Saving.Every; len(steps) > most {
		steps = steps[len(steps)-most:]
	}
	r.keeper.steps[s.Upstream] = steps
}

// save begins to export the stages' contexts when that is due.
func (r *run) save(ctx context.Context, index int) {
	policy := r.driver.Saving
	if policy == nil || r.keeper.running > 0 || index-r.keeper.newest < policy.Every {
		return
	}
	if r.recomputation(len(r.stages)-1) < policy.Above {
		return
	}
	if r.keeper.exports == nil {
		r.keeper.exports = make(chan export, 2*maxRecoveries)
		r.keeper.contexts = map[string]saved{}
		r.keeper.steps = map[string][]cowslipproxy.Step{}
	}
	r.keeper.newest = index
	for _, s := range r.stages {
		if engine, ok := r.driver.Engine(s.Upstream); ok {
			r.keeper.running++
			go r.export(ctx, engine, s, r.keeper.exports)
		}
	}
}

// export reads only what was handed to it, since the job goes on meanwhile.
func (r *run) export(ctx context.Context, engine cowslipproxy.Engine, s stage, exports chan<- export) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	id := cowslipproxy.StepID{Request: r.job.Request, Attempt: s.attempt, Range: s.Range}
	began := r.driver.Clock()
	cache, err := engine.Export(ctx, id)
	ended := export{stage: s, saved: saved{cache: cache, took: r.driver.Clock().Sub(began)}, err: err}
	select {
	case exports <- ended:
	case <-ctx.Done(): // the job has ended, so nothing collects the export
	}
}

// collect takes in the exports that ended.
func (r *run) collect() {
	for r.keeper.running > 0 {
		select {
		case ended := <-r.keeper.exports:
			r.keeper.running--
			r.store(ended)
		default:
			return
		}
	}
}

func (r *run) store(ended export) {
	name, size := ended.stage.Upstream, int64(len(ended.saved.cache.Data))
	old := int64(len(r.keeper.contexts[name].cache.Data))
	if ended.err != nil || !r.driver.Saving.Room.TryAcquire(size) {
		return
	}
	r.driver.Saving.Room.Release(old)
	r.keeper.held += size - old
	r.keeper.contexts[name] = ended.saved
	steps := r.keeper.steps[name]
	for len(steps) > 0 && steps[0].Token <= ended.saved.cache.Token {
		steps = steps[1:]
	}
	r.keeper.steps[name] = steps
}

// drop frees the exports' memory.
func (r *run) drop() {
	if r.keeper.held > 0 {
		r.driver.Saving.Room.Release(r.keeper.held)
		r.keeper.held = 0
	}
}

// recomputation is the expected time to compute the context of a stage again
// from the prompt, through the stages before it.
func (r *run) recomputation(index int) time.Duration {
	var expected time.Duration
	for _, s := range r.stages[:index+1] {
		expected += s.Prefill
	}
	return expected
}

// restore gives a substitute the context of the stage that failed, from its
// export and the steps after it. It reports whether the substitute can go on
// with the token of the given index.
func (r *run) restore(ctx context.Context, lost stage, index, token int) bool {
	context, ok := r.keeper.contexts[lost.Upstream]
	if !ok || index >= len(r.stages) || r.stages[index].Range != lost.Range {
		return false
	}
	s := &r.stages[index]
	steps := r.keeper.steps[lost.Upstream]
	missing := token - 1 - context.cache.Token
	if missing < 0 || len(steps) < missing || missing > 0 && steps[0].Token != context.cache.Token+1 {
		return false
	}
	if expected := context.took + time.Duration(missing)*s.Decode; expected > r.recomputation(index) {
		return false
	}
	return r.load(ctx, s, context.cache, steps[:missing]) == nil
}

// load imports a context and runs the steps after it. The steps' outputs were
// used already.
func (r *run) load(ctx context.Context, s *stage, cache cowslipproxy.Cache, steps []cowslipproxy.Step) error {
	engine, ok := r.driver.Engine(s.Upstream)
	if !ok {
		return errors.Errorf("engine %s is gone", s.Upstream)
	}
	r.attempt++
	s.attempt = r.attempt
	cache.Attempt = r.attempt
	r.used[s.Upstream] = true
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	if err := engine.Import(ctx, cache); err != nil {
		return err
	}
	for _, step := range steps {
		step.Attempt = r.attempt
		if _, err := r.do(ctx, s, step); err != nil {
			return err
		}
	}
	s.fresh = false
	r.usage.Restored++
	return nil
}
