package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/runner"
)

// directDriver is the baseline for a deployment: it drives the engines without an entry
// daemon, HTTP and admission, and selects engines in a fixed cyclic order. It implements
// cowslipproxy.ChainChooser and cowslipproxy.StepObserver.
type directDriver struct {
	driver     driver.Driver
	engines    map[string]*runner.Engine
	chainCount atomic.Uint64
	turnOrder  []int // indexes of the engines of a range, repeated in a cycle
}

// Turn orders: fastestOnly uses only the fastest engines, roundRobin uses all engines
// equally often, and weighted uses them in proportion to their configured speeds.
var (
	fastestOnly = []int{0}
	roundRobin  = []int{0, 1, 2, 3}
	weighted    = []int{0, 1, 2, 0, 1, 3, 0, 1, 2, 0, 1, 3, 0, 1, 2, 0, 1, 2, 3}
)

// directDriver returns a directDriver that is connected to the engines of the deployment.
func (d *deployment) directDriver() (*directDriver, error) {
	logger, registry := slog.New(slog.DiscardHandler), metrics.NewRegistry()
	r := &directDriver{turnOrder: fastestOnly, engines: map[string]*runner.Engine{}}
	connected := make(chan struct{}, len(d.vms))
	for _, vm := range d.vms {
		e := &runner.Engine{
			VM: vm, Logger: logger, Metrics: registry, Clock: time.Now,
			OnConnect:           func(string, time.Time) { connected <- struct{}{} },
			OnDisconnect:        func(string, []string, time.Time) {},
			OnConnectionFailure: func(string, time.Time) {},
			OnReport:            func(string, cowslipproxy.Report, time.Time) {},
			OnEvent:             func(string, cowslipproxy.CacheEvent, time.Time) {},
		}
		r.engines[vm.Name] = e
		go func() { _ = e.Run(d.ctx) }() // ends with the deployment
	}
	for range d.vms {
		select {
		case <-connected:
		case <-time.After(readyTimeout):
			return nil, errors.New("not all engines connected before the timeout")
		}
	}
	r.driver = driver.Driver{
		Chooser: r, Observer: r, Checker: &checker.Checker{Metrics: registry, Logger: logger},
		Clock: time.Now, Logger: logger, Metrics: registry,
		Engine: func(name string) (cowslipproxy.Engine, bool) { e, ok := r.engines[name]; return e, ok },
	}
	return r, nil
}

// Chain implements cowslipproxy.ChainChooser.
func (r *directDriver) Chain(_ time.Time, need cowslipproxy.Requirements) ([]cowslipproxy.Stage, error) {
	index, half := r.turnOrder[r.chainCount.Add(1)%uint64(len(r.turnOrder))], model.Layers/2
	return []cowslipproxy.Stage{
		{Upstream: fmt.Sprint("a", index), Range: cowslipproxy.LayerRange{First: 0, End: half}},
		{Upstream: fmt.Sprint("b", index), Range: cowslipproxy.LayerRange{First: half, End: need.Range.End}},
	}, nil
}

// Begin implements cowslipproxy.ChainChooser.
func (r *directDriver) Begin(string, string) {}

// End implements cowslipproxy.ChainChooser.
func (r *directDriver) End(string, string) {}

// ReleaseHolds implements cowslipproxy.ChainChooser.
func (r *directDriver) ReleaseHolds(string) {}

// Timeout implements cowslipproxy.StepObserver.
func (r *directDriver) Timeout(time.Time, cowslipproxy.Stage, cowslipproxy.Step, int) time.Duration {
	return time.Minute
}

// Began implements cowslipproxy.StepObserver.
func (r *directDriver) Began(time.Time, string, cowslipproxy.Step, int) {}

// Ended implements cowslipproxy.StepObserver.
func (r *directDriver) Ended(time.Time, string, cowslipproxy.Step, cowslipproxy.StepEnd) {}

// run completes a prompt and returns the latency.
func (r *directDriver) run(ctx context.Context, id, prompt string, count int, deadline time.Time) (time.Duration, error) {
	start := time.Now()
	_, err := r.driver.Run(ctx, driver.Job{Request: id, Model: model, Prompt: prompt, MaxNewTokens: count, Deadline: deadline}, func(driver.Token) error { return nil })
	return time.Since(start), err
}

// throughput sends requests with Poisson arrivals and returns the tokens per second of
// completed responses, and of those before the deadline.
func (r *directDriver) throughput(ctx context.Context, rate float64, warmUp, duration time.Duration) (completed, goodput float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var completedTokens, inTimeTokens atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	var at time.Duration
	for i := 0; ctx.Err() == nil; i++ {
		if at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)); at > duration {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		arrived := at
		group.Go(func() {
			prompt := (fmt.Sprintf("direct %d ", i) + strings.Repeat("tell of crisps. ", promptTokens))[:promptTokens*4]
			_, err := r.run(ctx, fmt.Sprint("direct-", i), prompt, completionTokens, start.Add(arrived+4*deadline))
			ended := time.Since(start)
			if err != nil || ended < warmUp || ended > duration {
				return
			}
			completedTokens.Add(completionTokens)
			if ended-arrived <= deadline {
				inTimeTokens.Add(completionTokens)
			}
		})
	}
	group.Wait()
	seconds := (duration - warmUp).Seconds()
	return float64(completedTokens.Load()) / seconds, float64(inTimeTokens.Load()) / seconds
}
