package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

// answers sends distinct prompts at once and requires the whole answer of each.
func (d *deployment) answers(name string, count, atOnce, tokens int, one func(i int) *daemon) {
	each(count, atOnce, func(i int) {
		prompt := fmt.Sprint(name, " letter ", i)
		response, text := d.complete(one(i), officerKey, prompt, tokens)
		if response == nil {
			d.t.Errorf("no answer to %q", prompt)
			return
		}
		// A request in flight on two engines that crash is quarantined (section
		// 10 of the design), which is told as unknown.
		quarantined := d.crashed() > 1 && response.outcome() == "unknown" && response.reason() == "quarantined"
		if !quarantined && text != expected(prompt, tokens) {
			d.t.Errorf("%s %s: %q", response.outcome(), response.reason(), response.body)
		}
	})
}

// Guards against a layer that is left out, doubled or run on a wrong context,
// which changes the stand-ins' answer, when stages die at any token, links get
// 10 and 100 times slower, and engines join while requests run.
func TestLayersRunOnceWhileStagesDie(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	d := newDeployment(t)
	d.chains()
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	for round := range 4 {
		// The two holders of a half get the same order, and the one that
		// crashes first spares the other.
		half := []string{"a", "b"}[random.IntN(2)]
		holders := []string{fmt.Sprint(half, 2*round+1), fmt.Sprint(half, 2*round+2)}
		d.killOne(1+random.IntN(200), holders[0], holders[1])
		d.engines[fmt.Sprint(map[string]string{"a": "b", "b": "a"}[half], 2*round+1)].SetFaults(emulator.Faults{Link: []float64{10, 100}[round%2]})
		joined := make(chan struct{})
		time.AfterFunc(30*time.Millisecond, func() {
			defer close(joined)
			d.engine(fmt.Sprint("a", 2*round+3), 0, 3)
			d.engine(fmt.Sprint("b", 2*round+3), 3, 6)
			d.engine(fmt.Sprint("a", 2*round+4), 0, 3)
			d.engine(fmt.Sprint("b", 2*round+4), 3, 6)
		})
		d.answers(fmt.Sprint("round ", round), 20, 10, 60, func(int) *daemon { return one })
		<-joined
	}
	require.Positive(t, d.crashed(), "no stage died")
	d.check(one)
}

// Guards against a wrong or another's token, and a false refusal, when stages of
// both halves die in the same instant. A request in flight on two engines that
// crash is quarantined (section 10 of the design), which is told as unknown.
func TestLayersRunOnceWhileTwoStagesDie(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	for _, name := range []string{"a3", "a4"} {
		d.engine(name, 0, 3)
	}
	for _, name := range []string{"b3", "b4"} {
		d.engine(name, 3, 6)
	}
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	d.killOne(40, "a1", "a2")
	d.killOne(40, "b1", "b2")
	d.answers("two", 40, 20, 40, func(int) *daemon { return one })
	require.Equal(t, 2, d.crashed())
	d.check(one)
}

// Guards against a request that fails because an engine dropped its context,
// although the engine can compute it again.
func TestLayersRunOnceWhenContextsAreLost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	a, b := d.engine("a1", 0, 3), d.engine("b1", 3, 6)
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	stop := make(chan struct{})
	var lost atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 10 { // below the 32 recoveries that the driver allows a request
			for _, engine := range []*emulator.Engine{a, b} {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				lost.Add(int64(engine.Account().Contexts))
				engine.SetFaults(emulator.Faults{Forget: true})
			}
		}
	}()
	d.answers("lost", 20, 5, 60, func(int) *daemon { return one })
	close(stop)
	<-ended
	require.Positive(t, lost.Load())
	require.Zero(t, metrics.GetOrRegisterCounter(reporter.MetricStagesReplaced, one.metrics).Count(), "an engine that works was replaced")
	d.check(one)
}

// Guards against an engine that is gone being used for as long as a stale list
// shows it.
func TestLayersRunOnceWhileTheListIsStale(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	d.list.Set(registrar.Control{Stale: true})
	d.engines["a1"].SetFaults(emulator.Faults{After: 30})
	d.engines["b2"].SetFaults(emulator.Faults{After: 50})
	d.answers("stale", 40, 10, 40, func(int) *daemon { return one })
	require.Positive(t, d.crashed())
	d.list.Set(registrar.Control{Outage: true})
	d.answers("outage", 20, 10, 20, func(int) *daemon { return one })
	d.check(one)
}

// Guards against wrong answers and lost service when a stage dies while an
// entry daemon is killed, and against a stage that dies while the log is out.
func TestLayersRunOnceWhileEntryDies(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	first, second := d.process("entry-1"), d.process("entry-2")
	d.publish()
	d.ready(first, second)
	faults := d.log.Faults()
	faults.Down = true
	d.log.SetFaults(faults)
	d.killOne(150, "a1", "a2")
	var broken atomic.Int64
	each(60, 12, func(i int) {
		if i == 30 {
			first.kill()
		}
		prompt := fmt.Sprint("inspection ", i)
		response, text := d.complete([]*daemon{first, second}[i%2], officerKey, prompt, 60)
		if response == nil { // a broken connection reads as unknown, and the caller asks again elsewhere
			broken.Add(1)
			response, text = d.complete(second, officerKey, prompt, 60)
		}
		if response == nil || response.StatusCode != http.StatusOK || text != expected(prompt, 60) {
			t.Errorf("%d: %v", i, response)
		}
	})
	require.Positive(t, d.crashed())
	require.Positive(t, broken.Load())
	d.check(second)
}
