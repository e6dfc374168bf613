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

// direct drives the engines without an entry daemon: no HTTP, no admission, and
// engines that take turns. It is the baseline, and implements
// cowslipproxy.ChainChooser and cowslipproxy.StepObserver.
type direct struct {
	driver  driver.Driver
	engines map[string]*runner.Engine
	turn    atomic.Uint64
	order   []int // of the engines of a range
}

// fastest uses the fastest engines only, evenly lets all engines take the same
// number of turns, bySpeed lets them take turns in proportion to their set speeds.
var (
	fastest = []int{0}
	evenly  = []int{0, 1, 2, 3}
	bySpeed = []int{0, 1, 2, 0, 1, 3, 0, 1, 2, 0, 1, 3, 0, 1, 2, 0, 1, 2, 3}
)

func (d *deployment) direct() (*direct, error) {
	logger, registry := slog.New(slog.DiscardHandler), metrics.NewRegistry()
	r := &direct{order: fastest, engines: map[string]*runner.Engine{}}
	up := make(chan struct{}, len(d.vms))
	for _, vm := range d.vms {
		e := &runner.Engine{
			VM: vm, Logger: logger, Metrics: registry, Clock: time.Now,
			OnUp:     func(string, time.Time) { up <- struct{}{} },
			OnDown:   func(string, []string, time.Time) {},
			OnFail:   func(string, time.Time) {},
			OnReport: func(string, cowslipproxy.Report, time.Time) {},
			OnEvent:  func(string, cowslipproxy.CacheEvent, time.Time) {},
		}
		r.engines[vm.Name] = e
		go func() { _ = e.Run(d.ctx) }() // ends with the deployment
	}
	for range d.vms {
		select {
		case <-up:
		case <-time.After(readyTime):
			return nil, errors.New("an engine gives no connection")
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
func (r *direct) Chain(_ time.Time, need cowslipproxy.Need) ([]cowslipproxy.Stage, error) {
	turn, half := r.order[r.turn.Add(1)%uint64(len(r.order))], model.Layers/2
	return []cowslipproxy.Stage{
		{Upstream: fmt.Sprint("a", turn), Range: cowslipproxy.LayerRange{First: 0, End: half}},
		{Upstream: fmt.Sprint("b", turn), Range: cowslipproxy.LayerRange{First: half, End: need.Range.End}},
	}, nil
}

// Begin implements cowslipproxy.ChainChooser.
func (r *direct) Begin(string, string) {}

// End implements cowslipproxy.ChainChooser.
func (r *direct) End(string, string) {}

// Clear implements cowslipproxy.ChainChooser.
func (r *direct) Clear(string) {}

// Timeout implements cowslipproxy.StepObserver.
func (r *direct) Timeout(time.Time, cowslipproxy.Stage, cowslipproxy.Step, int) time.Duration {
	return time.Minute
}

// Began implements cowslipproxy.StepObserver.
func (r *direct) Began(time.Time, string, cowslipproxy.Step, int) {}

// Ended implements cowslipproxy.StepObserver.
func (r *direct) Ended(time.Time, string, cowslipproxy.Step, cowslipproxy.StepEnd) {}

func (r *direct) run(ctx context.Context, id, prompt string, count int, limit time.Time) (time.Duration, error) {
	began := time.Now()
	_, err := r.driver.Run(ctx, driver.Job{Request: id, Model: model, Prompt: prompt, Max: count, Deadline: limit}, func(driver.Token) error { return nil })
	return time.Since(began), err
}

// throughput sends Poisson arrivals at a part of the bound and returns the
// tokens per second of whole answers, and of those in time.
func (r *direct) throughput(ctx context.Context, rate float64, warm, duration time.Duration) (whole, timely float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var done, inTime atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	var at time.Duration
	for i := 0; ctx.Err() == nil; i++ {
		if at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)); at > duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		arrived := at
		group.Go(func() {
			prompt := (fmt.Sprintf("direct %d ", i) + strings.Repeat("tell of crisps. ", promptTokens))[:promptTokens*4]
			_, err := r.run(ctx, fmt.Sprint("direct-", i), prompt, answerTokens, began.Add(arrived+4*deadline))
			ended := time.Since(began)
			if err != nil || ended < warm || ended > duration {
				return
			}
			done.Add(answerTokens)
			if ended-arrived <= deadline {
				inTime.Add(answerTokens)
			}
		})
	}
	group.Wait()
	seconds := (duration - warm).Seconds()
	return float64(done.Load()) / seconds, float64(inTime.Load()) / seconds
}
