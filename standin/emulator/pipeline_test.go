package emulator_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

var model = cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 6, Window: 1000, Effect: cowslipproxy.EffectRepeat, Replicas: 2}

// pipeline is a driver with stand-in engines on loopback. It implements
// cowslipproxy.ChainChooser and cowslipproxy.StepObserver.
type pipeline struct {
	t            *testing.T
	driver       driver.Driver
	engines      map[string]*emulator.Engine
	clients      map[string]*runner.Engine
	names        []string // engines in the order of addEngine
	mu           sync.Mutex
	lostRequests []string // requests in flight on an engine when its connection broke
	down         map[string]bool
	prefillTime  time.Duration // expected prefill time of each stage
	timeout      time.Duration // of a step
	prefillPace  time.Duration // compute time of one layer for one prompt token
	held         time.Duration // time after a crash for which other suspects hold the engines
	crashedAt    time.Time
}

func newPipeline(t *testing.T) *pipeline {
	p := &pipeline{t: t, engines: map[string]*emulator.Engine{}, clients: map[string]*runner.Engine{}, down: map[string]bool{}, timeout: 500 * time.Millisecond}
	registry, logger := metrics.NewRegistry(), slog.New(slog.DiscardHandler)
	p.driver = driver.Driver{
		Chooser:  p,
		Observer: p,
		Engine: func(name string) (cowslipproxy.Engine, bool) {
			client, ok := p.clients[name]
			return client, ok
		},
		Checker: &checker.Checker{Metrics: registry, Logger: logger},
		Clock:   time.Now,
		Logger:  logger,
		Metrics: registry,
	}
	t.Cleanup(func() { require.Zero(t, p.driver.Checker.Violations()) })
	return p
}

// addEngine starts an engine and connects the driver to it.
func (p *pipeline) addEngine(name string, first, end int) *emulator.Engine {
	engine := &emulator.Engine{Model: model, Range: cowslipproxy.LayerRange{First: first, End: end},
		Pace: 50 * time.Microsecond, PrefillTime: p.prefillPace, MaxBatch: 8, CacheCapacity: 10_000, PrefixCacheSize: 100, ReportInterval: 10 * time.Millisecond}
	engine.Init()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(p.t, err)
	server := grpc.NewServer()
	runner.Register(server, engine.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(cancel)
	p.t.Cleanup(server.Stop)
	go func() { _ = server.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	go func() {
		<-engine.Crashed()
		server.Stop()
	}()
	connected := make(chan struct{}, 16)
	client := &runner.Engine{
		VM:        cowslipproxy.VM{Name: name, Address: netip.MustParseAddrPort(listener.Addr().String())},
		Logger:    p.driver.Logger,
		Metrics:   p.driver.Metrics,
		Clock:     time.Now,
		OnConnect: func(string, time.Time) { connected <- struct{}{} },
		OnDisconnect: func(name string, requests []string, _ time.Time) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.down[name], p.crashedAt = true, time.Now()
			p.lostRequests = append(p.lostRequests, requests...)
		},
		OnConnectionFailure: func(string, time.Time) {},
		OnReport:            func(string, cowslipproxy.Report, time.Time) {},
		OnEvent:             func(string, cowslipproxy.CacheEvent, time.Time) {},
	}
	go func() { _ = client.Run(ctx) }()
	select {
	case <-connected:
	case <-time.After(10 * time.Second):
		require.FailNow(p.t, "engine did not connect")
	}
	p.engines[name], p.clients[name] = engine, client
	p.names = append(p.names, name)
	return engine
}

// Chain implements cowslipproxy.ChainChooser. It returns the first engines, in the
// order of addEngine, that are connected and whose ranges are contiguous.
func (p *pipeline) Chain(_ time.Time, need cowslipproxy.Requirements) ([]cowslipproxy.Stage, error) {
	if p.isHeld() {
		failure := cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "another suspect holds the engines")
		failure.Cause = cowslipproxy.ErrHeld
		return nil, failure
	}
	if chain, ok := p.findChain(need, need.Range.First); ok {
		return chain, nil
	}
	return nil, cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "no chain of connected engines holds the layers %v", need.Range)
}

// findChain returns a chain that begins at the layer next and ends with the required range.
func (p *pipeline) findChain(need cowslipproxy.Requirements, next int) ([]cowslipproxy.Stage, bool) {
	if next == need.Range.End {
		return nil, true
	}
	for _, name := range p.names {
		held := p.engines[name].Range
		if held.First != next || held.End > need.Range.End || slices.Contains(need.Avoid, name) || p.isDown(name) {
			continue
		}
		if rest, ok := p.findChain(need, held.End); ok {
			return append([]cowslipproxy.Stage{{Upstream: name, Range: held, Prefill: p.prefillTime}}, rest...), true
		}
	}
	return nil, false
}

func (p *pipeline) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.crashedAt) < p.held
}

func (p *pipeline) isDown(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down[name]
}

// Begin implements cowslipproxy.ChainChooser.
func (p *pipeline) Begin(string, string) {}

// End implements cowslipproxy.ChainChooser.
func (p *pipeline) End(string, string) {}

// ReleaseHolds implements cowslipproxy.ChainChooser.
func (p *pipeline) ReleaseHolds(string) {}

// Timeout implements cowslipproxy.StepObserver.
func (p *pipeline) Timeout(time.Time, cowslipproxy.Stage, cowslipproxy.Step, int) time.Duration {
	return p.timeout
}

// Began implements cowslipproxy.StepObserver.
func (p *pipeline) Began(time.Time, string, cowslipproxy.Step, int) {}

// Ended implements cowslipproxy.StepObserver.
func (p *pipeline) Ended(time.Time, string, cowslipproxy.Step, cowslipproxy.StepEnd) {}

// complete runs a job and returns the token texts that the caller received.
func (p *pipeline) complete(request, prompt string, count int) ([]string, driver.Usage, error) {
	var texts []string
	usage, err := p.driver.Run(context.Background(), driver.Job{
		Request: request, Model: model, Prompt: prompt, MaxNewTokens: count, Deadline: time.Now().Add(20 * time.Second),
	}, func(token driver.Token) error {
		require.Equal(p.t, len(texts), token.Index)
		texts = append(texts, token.Text)
		return nil
	})
	return texts, usage, err
}

const prompt = "Please write the renewal letter for plot 17 of the Acre Road allotments."

// Guards against a chain whose output differs from that of the complete model.
func TestChainMatchesCompleteModel(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 1)
	p.addEngine("b", 1, 4)
	p.addEngine("c", 4, 6)
	texts, usage, err := p.complete("r1", prompt, 20)
	require.NoError(t, err)
	require.Equal(t, emulator.Completion(model, "", prompt, 20), texts)
	require.Equal(t, driver.Usage{Prompt: 18, Tokens: 20}, usage)
}

// Guards against lost, duplicated and changed tokens when a stage crashes during
// any token, at any position in the chain.
func TestStageCrashDuringToken(t *testing.T) {
	for _, crashing := range []string{"a", "b", "c"} {
		for _, after := range []int{1, 2, 5} {
			p := newPipeline(t)
			p.addEngine("a", 0, 2)
			p.addEngine("b", 2, 4)
			p.addEngine("c", 4, 6)
			p.addEngine("a2", 0, 2)
			p.addEngine("b2", 2, 4)
			p.addEngine("c2", 4, 6)
			p.engines[crashing].SetFaults(emulator.Faults{CrashAtStep: after})
			texts, usage, err := p.complete("r1", prompt, 12)
			require.NoError(t, err)
			require.Equal(t, emulator.Completion(model, "", prompt, 12), texts, "%s crashes at step %d", crashing, after)
			require.Equal(t, 1, usage.Replaced)
			require.Equal(t, []string{"r1"}, p.lostRequests)
		}
	}
}

// Guards against a replacement stage that continues with a stale or incomplete
// context after it has imported an exported KV cache. The stage crashes at various
// distances from the last export.
func TestStageRestoredFromExport(t *testing.T) {
	for _, after := range []int{9, 12, 17, 18, 19, 30} {
		p := newPipeline(t)
		p.driver.ExportPolicy = &driver.ExportPolicy{Interval: 8, Memory: semaphore.NewWeighted(1 << 20)}
		p.prefillTime = time.Second // recomputation is expected to take longer than an import
		p.addEngine("a", 0, 2)
		p.addEngine("b", 2, 4)
		p.addEngine("c", 4, 6)
		p.addEngine("b2", 2, 4)
		p.engines["b"].SetFaults(emulator.Faults{CrashAtStep: after})
		steps := p.engines["a"].Stats().Steps
		texts, usage, err := p.complete("r1", prompt, 40)
		require.NoError(t, err)
		require.Equal(t, emulator.Completion(model, "", prompt, 40), texts, "b crashes at step %d", after)
		require.Equal(t, 1, usage.Replaced)
		if usage.Restored == 1 {
			require.Equal(t, int64(40), p.engines["a"].Stats().Steps-steps, "stages before the restored one must run each token once")
		}
		require.True(t, usage.Restored == 1 || after < 12, "no restore after the crash at step %d", after)
		require.True(t, p.driver.ExportPolicy.Memory.TryAcquire(1<<20), "memory of the exports was not freed")
	}
}

// Guards against a request that fails after two stages crash one after the other
// and only engines with different ranges remain.
func TestTwoCrashesChangeRanges(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 3)
	p.addEngine("b", 3, 6)
	p.addEngine("c", 0, 2)
	p.addEngine("d", 2, 4)
	p.addEngine("e", 4, 6)
	p.engines["b"].SetFaults(emulator.Faults{CrashAtStep: 4})
	p.engines["d"].SetFaults(emulator.Faults{CrashAtStep: 3})
	p.addEngine("d2", 2, 4)
	texts, usage, err := p.complete("r1", prompt, 12)
	require.NoError(t, err)
	require.Equal(t, emulator.Completion(model, "", prompt, 12), texts)
	require.Equal(t, 2, usage.Replaced)
}

// Guards against passing a reply to the caller that is a duplicate or belongs to another
// request or attempt.
func TestMismatchedAndDuplicateRepliesDropped(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 3).SetFaults(emulator.Faults{DuplicateReplies: true, MismatchedReplies: true})
	p.addEngine("b", 3, 6).SetFaults(emulator.Faults{DuplicateReplies: true, MismatchedReplies: true})
	var group sync.WaitGroup
	for _, request := range []string{"r1", "r2", "r3", "r4"} {
		group.Go(func() {
			requestPrompt := prompt + request
			texts, _, err := p.complete(request, requestPrompt, 10)
			require.NoError(t, err)
			require.Equal(t, emulator.Completion(model, "", requestPrompt, 10), texts)
		})
	}
	group.Wait()
	dropped := metrics.GetOrRegisterCounter(reporter.MetricRepliesDropped, p.driver.Metrics).Count()
	require.GreaterOrEqual(t, dropped, int64(4*10*2*2))
}

// Guards against a completion that hangs on a stalled engine whose connection is
// still open.
func TestStalledStageReplaced(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 3)
	p.addEngine("b", 3, 6)
	p.addEngine("a2", 0, 3)
	timer := time.AfterFunc(30*time.Millisecond, func() { p.engines["a"].SetFaults(emulator.Faults{Stall: true}) })
	defer timer.Stop()
	texts, _, err := p.complete("r1", prompt, 300)
	require.NoError(t, err)
	require.Equal(t, emulator.Completion(model, "", prompt, 300), texts)
}

// Guards against reporting the outcome refused for a request that an engine may have
// started, and the outcome unknown for one that provably did not run.
func TestFailureOutcome(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 3)
	var failure *cowslipproxy.Failure
	_, _, err := p.complete("r1", prompt, 3)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, cowslipproxy.OutcomeRefused, failure.Outcome)
	require.Zero(t, p.engines["a"].Stats().Steps)

	p.addEngine("b", 3, 6).SetFaults(emulator.Faults{CrashAtStep: 1})
	_, _, err = p.complete("r2", prompt, 3)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, cowslipproxy.OutcomeUnknown, failure.Outcome)
	require.Equal(t, cowslipproxy.ReasonNoChain, failure.Reason)
}

// Guards against contexts that remain on engines after their request has ended.
func TestContextsFreed(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 6)
	_, _, err := p.complete("r1", prompt, 3)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.engines["a"].Stats() == emulator.Stats{Steps: 3} }, 5*time.Second, time.Millisecond)
}

// Guards against an engine that stays in use forever after its network path fails
// silently: the connection does not break, but no load reports arrive.
func TestSilentEngineDisconnected(t *testing.T) {
	p := newPipeline(t)
	p.addEngine("a", 0, 6)
	require.False(t, p.isDown("a"))
	p.engines["a"].SetFaults(emulator.Faults{Silent: true})
	require.Eventually(t, func() bool { return p.isDown("a") }, 10*time.Second, 10*time.Millisecond)
}

// Guards against requests that fail because their retries overload the only engine of a range.
func TestRetriesDoNotOverloadOnlyEngine(t *testing.T) {
	p := newPipeline(t)
	p.timeout, p.prefillPace = 200*time.Millisecond, 400*time.Microsecond
	p.addEngine("a", 0, 6)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			own := strconv.Itoa(i) + " " + prompt
			texts, usage, err := p.complete("r"+strconv.Itoa(i), own, 5)
			assert.NoError(t, err)
			assert.Equal(t, emulator.Completion(model, "", own, 5), texts)
			assert.Zero(t, usage.Replaced, "the only engine counts as replaced by itself")
		})
	}
	group.Wait()
}

// Guards against requests that fail because other suspects still hold the last engine of a range.
func TestCrashedStageWaitsForHeldEngines(t *testing.T) {
	p := newPipeline(t)
	p.held = 6 * time.Second
	p.addEngine("a", 0, 3)
	p.addEngine("b", 3, 6).SetFaults(emulator.Faults{CrashAtStep: 4})
	p.addEngine("b2", 3, 6)
	texts, usage, err := p.complete("r1", prompt, 12)
	require.NoError(t, err)
	require.Equal(t, emulator.Completion(model, "", prompt, 12), texts)
	require.Equal(t, 1, usage.Replaced)
}
