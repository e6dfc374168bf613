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

// completeAll concurrently sends count distinct prompts that begin with prefix, and
// requires the complete answer to each of them.
func (d *deployment) completeAll(prefix string, count, workers, tokens int, entry func(i int) *daemon) {
	runConcurrently(count, workers, func(i int) {
		prompt := fmt.Sprint(prefix, " letter ", i)
		response, text := d.complete(entry(i), officerKey, prompt, tokens)
		if response == nil {
			d.t.Errorf("no answer to %q", prompt)
			return
		}
		// A request in flight on two engines that crash is quarantined (section
		// 10 of the design), and its outcome is unknown.
		quarantined := d.crashCount() > 1 && response.outcome() == "unknown" && response.reason() == "quarantined"
		if !quarantined && text != expectedText(prompt, tokens) {
			d.t.Errorf("%s %s: %q", response.outcome(), response.reason(), response.body)
		}
	})
}

// Guards against a layer that is skipped, run twice or run on a wrong context when
// stages crash at any token, links become 10 and 100 times slower, and engines join
// while requests run. Each of these errors changes the answer of the emulated engines.
func TestLayersRunOnceWhileStagesCrash(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	for round := range 4 {
		// Both replicas of a half are set to crash at the same step. Only the
		// first one to reach it crashes.
		half := []string{"a", "b"}[random.IntN(2)]
		replicas := []string{fmt.Sprint(half, 2*round+1), fmt.Sprint(half, 2*round+2)}
		d.crashFirstOf(1+random.IntN(200), replicas[0], replicas[1])
		d.engines[fmt.Sprint(map[string]string{"a": "b", "b": "a"}[half], 2*round+1)].SetFaults(emulator.Faults{LinkFactor: []float64{10, 100}[round%2]})
		joined := make(chan struct{})
		time.AfterFunc(30*time.Millisecond, func() {
			defer close(joined)
			d.startEngine(fmt.Sprint("a", 2*round+3), 0, 3)
			d.startEngine(fmt.Sprint("b", 2*round+3), 3, 6)
			d.startEngine(fmt.Sprint("a", 2*round+4), 0, 3)
			d.startEngine(fmt.Sprint("b", 2*round+4), 3, 6)
		})
		d.completeAll(fmt.Sprint("round ", round), 20, 10, 60, func(int) *daemon { return entry })
		<-joined
	}
	require.Positive(t, d.crashCount(), "no stage crashed")
	d.checkInvariants(entry)
}

// Guards against a wrong token, a token of another request, or a wrong refusal when
// stages of both halves crash at the same time. A request in flight on two engines
// that crash is quarantined (section 10 of the design), and its outcome is unknown.
func TestLayersRunOnceWhileTwoStagesCrash(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	for _, name := range []string{"a3", "a4"} {
		d.startEngine(name, 0, 3)
	}
	for _, name := range []string{"b3", "b4"} {
		d.startEngine(name, 3, 6)
	}
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	d.crashFirstOf(40, "a1", "a2")
	d.crashFirstOf(40, "b1", "b2")
	d.completeAll("two", 40, 20, 40, func(int) *daemon { return entry })
	require.Equal(t, 2, d.crashCount())
	d.checkInvariants(entry)
}

// Guards against a request failing because an engine dropped its context, although
// the engine can recompute it.
func TestLayersRunOnceWhenContextsAreLost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	a, b := d.startEngine("a1", 0, 3), d.startEngine("b1", 3, 6)
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	stop := make(chan struct{})
	var lost atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 10 { // below the driver's limit of 32 recoveries per request
			for _, engine := range []*emulator.Engine{a, b} {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				lost.Add(int64(engine.Stats().Contexts))
				engine.SetFaults(emulator.Faults{DropContexts: true})
			}
		}
	}()
	d.completeAll("lost", 20, 5, 60, func(int) *daemon { return entry })
	close(stop)
	<-ended
	require.Positive(t, lost.Load())
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, entry.metrics).Count() }
	require.Zero(t, count(reporter.MetricStagesReplaced), "a working engine was replaced")
	require.LessOrEqual(t, count(reporter.MetricStagesRetried), count(reporter.MetricStepTimeouts), "an engine that lost a context counts as failed")
	d.checkInvariants(entry)
}

// Guards against using a crashed engine for as long as a stale VM list contains it.
func TestLayersRunOnceWhileListIsStale(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	d.list.Set(registrar.Control{Stale: true})
	d.engines["a1"].SetFaults(emulator.Faults{CrashAtStep: 30})
	d.engines["b2"].SetFaults(emulator.Faults{CrashAtStep: 50})
	d.completeAll("stale", 40, 10, 40, func(int) *daemon { return entry })
	require.Positive(t, d.crashCount())
	d.list.Set(registrar.Control{Outage: true})
	d.completeAll("outage", 20, 10, 20, func(int) *daemon { return entry })
	d.checkInvariants(entry)
}

// Guards against wrong answers and loss of service when a stage crashes while an entry
// daemon is killed and the log is unavailable.
func TestLayersRunOnceWhileEntryDaemonIsKilled(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	first, second := d.startProcess("entry-1"), d.startProcess("entry-2")
	d.publish()
	d.awaitReady(first, second)
	settings := d.log.Settings()
	settings.Down = true
	d.log.SetSettings(settings)
	d.crashFirstOf(150, "a1", "a2")
	var broken atomic.Int64
	runConcurrently(60, 12, func(i int) {
		if i == 30 {
			first.kill()
		}
		prompt := fmt.Sprint("inspection ", i)
		response, text := d.complete([]*daemon{first, second}[i%2], officerKey, prompt, 60)
		if response == nil { // a broken connection means outcome unknown, and the caller retries at another daemon
			broken.Add(1)
			response, text = d.complete(second, officerKey, prompt, 60)
		}
		if response == nil || response.StatusCode != http.StatusOK || text != expectedText(prompt, 60) {
			t.Errorf("%d: %v", i, response)
		}
	})
	require.Positive(t, d.crashCount())
	require.Positive(t, broken.Load())
	d.checkInvariants(second)
}
