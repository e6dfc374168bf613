package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/pooler"
	"github.com/cowslipproxy/cowslipproxy/resolver"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const (
	reportInterval    = 200 * time.Millisecond // interval between the load reports of an engine
	streamingTime     = 3 * time.Second
	concurrentStreams = 64
	responseTokens    = 200
	bearerKey         = "slopes-key"
)

// dialCounted returns a dial function that counts the traffic under a role.
func dialCounted(m *meter, role string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return m.dial(ctx, address, func(string) string { return role })
	}
}

// engineGroup holds engine stand-ins in this process that together hold a model.
type engineGroup struct {
	meter *meter
	vms   []cowslipproxy.VM
	stop  []func()
}

func dataModel(layers int) cowslipproxy.Model {
	return cowslipproxy.Model{Name: "scribe", Version: "1", Layers: layers, Window: 100_000, Effect: cowslipproxy.EffectRepeat, Replicas: 1}
}

// startEngines starts engines that hold the model, split into one range of layers per stage.
func startEngines(ctx context.Context, count, stages int) (*engineGroup, error) {
	started := &engineGroup{meter: newMeter()}
	for i := range count {
		engine := &emulator.Engine{
			Model: dataModel(stages), Range: cowslipproxy.LayerRange{First: i % stages, End: i%stages + 1}, Kind: "small",
			Pace: 100 * time.Microsecond, BatchOverhead: 0.001, MaxBatch: 256, CacheCapacity: 10_000_000, PrefixCacheSize: 1000, ReportInterval: reportInterval,
		}
		engine.Init()
		var listener net.Listener
		var err error
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, errors.WithStack(err)
		}
		server := grpc.NewServer()
		runner.Register(server, engine.Handler())
		ctx, cancel := context.WithCancel(ctx)
		counted := &countedListener{Listener: listener, meter: started.meter, role: "engine"}
		go runLabelled("engine", func() { _ = engine.Run(ctx) })
		go runLabelled("engine", func() { _ = server.Serve(counted) })
		started.stop = append(started.stop, func() { cancel(); server.Stop() })
		vm := engineVM(i)
		vm.Address = netip.MustParseAddrPort(listener.Addr().String())
		started.vms = append(started.vms, vm)
	}
	return started, nil
}

func (e *engineGroup) close() {
	for _, stop := range e.stop {
		stop()
	}
}

// measureConnections measures connections to engines that send reports and run no requests.
func measureConnections(ctx context.Context) (*table, error) {
	result := &table{
		Name: "Connections to engines",
		Note: fmt.Sprintf("One `pooler` with engines that report every %v and run nothing. `B/s each` excludes and `wire B/s each` includes TCP and IP headers. "+
			"Memory, goroutines and processor time cover both ends, which run in this process.", reportInterval),
		Columns: []string{"engines", "B/s each", "wire B/s each", "% core each", "KB each", "goroutines each"},
	}
	for _, count := range []int{10, 100, 300} {
		if err := measureConnection(ctx, count, result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func measureConnection(ctx context.Context, count int, result *table) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var e *engineGroup
	var err error
	if e, err = startEngines(ctx, count, 10); err != nil {
		return err
	}
	defer e.close()
	before, goroutines := memoryInUse(), runtime.NumGoroutine()
	logger := slog.New(slog.DiscardHandler)
	pool := &pooler.Pool{Name: "entry-1", Centre: "centre-1", Clock: time.Now, Logger: logger, Metrics: metrics.NewRegistry(), Checker: &checker.Checker{Metrics: metrics.NewRegistry(), Logger: logger}}
	pool.Prepare()
	pool.List(lister.List{VMs: e.vms, Taken: time.Now()})
	ended := make(chan error, 1)
	go func() { ended <- pool.Run(ctx) }()
	if err = sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	heldMemory, extraGoroutines := memoryInUse()-before, runtime.NumGoroutine()-goroutines
	from, cpuBefore, started := e.meter.total("engine"), processorTime(), time.Now()
	if err = sleep(ctx, 4*time.Second); err != nil {
		return err
	}
	used, engineSeconds := e.meter.total("engine").minus(from), time.Since(started).Seconds()*float64(count)
	result.addRow(count, float64(used.Bytes)/engineSeconds, float64(used.wireBytes())/engineSeconds, 100*(processorTime()-cpuBefore).Seconds()/engineSeconds, heldMemory/float64(count)/1000, float64(extraGoroutines)/float64(count))
	cancel()
	return <-ended
}

// measureData measures responses that one daemon streams from engines.
func measureData(ctx context.Context) (*table, error) {
	result := &table{
		Name: "Data path of one daemon",
		Note: fmt.Sprintf("%d concurrent streamed answers of %d tokens, activations of 64 bytes. Processor time is that of this process: the daemon, its callers and the engine stand-ins, "+
			"so it is an upper bound for the daemon. Bytes are those between daemon and engines, without TCP and IP headers.", concurrentStreams, responseTokens),
		Columns: []string{"stages", "tokens/s", "processor us per token", "processor us per step", "engine B per step", "cores used"},
	}
	for _, stages := range []int{1, 4, 8} {
		if err := measureStages(ctx, stages, result); err != nil {
			return nil, errors.Wrapf(err, "%d stages", stages)
		}
	}
	return result, nil
}

func measureStages(ctx context.Context, stages int, result *table) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var e *engineGroup
	var err error
	if e, err = startEngines(ctx, stages, stages); err != nil {
		return err
	}
	defer e.close()
	var f *fleet
	if f, err = newFleet(); err != nil {
		return err
	}
	defer f.close()
	defer cancel()
	if err = f.publishConfiguration(ctx, stages); err != nil {
		return err
	}
	for _, vm := range e.vms {
		f.list.Put(vm)
	}
	if err = f.startDaemon(ctx, 1); err != nil {
		return err
	}
	if _, err = f.waitInEffect(ctx, 1); err != nil {
		return err
	}
	if err = sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	var tokens, failed atomic.Int64
	stop := f.startLoad(ctx, &tokens, &failed)
	if err = sleep(ctx, time.Second); err != nil {
		return err
	}
	count, cpuBefore, from, started := tokens.Load(), processorTime(), e.meter.total("engine"), time.Now()
	if err = sleep(ctx, streamingTime); err != nil {
		return err
	}
	received, cpuUsed, used := float64(tokens.Load()-count), processorTime()-cpuBefore, e.meter.total("engine").minus(from)
	elapsed := time.Since(started).Seconds()
	stop()
	if received == 0 || failed.Load() > concurrentStreams {
		return errors.Errorf("%d requests failed, %.0f tokens received", failed.Load(), received)
	}
	steps := received * float64(stages)
	result.addRow(stages, received/elapsed, cpuUsed.Seconds()*1e6/received, cpuUsed.Seconds()*1e6/steps, float64(used.Bytes)/steps, cpuUsed.Seconds()/elapsed)
	return nil
}

// startLoad requests streams from the first daemon until the returned function is called.
func (f *fleet) startLoad(ctx context.Context, tokens, failed *atomic.Int64) (stop func()) {
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for i := range concurrentStreams {
		group.Go(func() {
			runLabelled("caller", func() {
				for ctx.Err() == nil {
					if err := requestStream(ctx, f.settings[0].Callers, i, tokens); err != nil && ctx.Err() == nil {
						failed.Add(1)
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		})
	}
	return func() { cancel(); group.Wait() }
}

func (f *fleet) publishConfiguration(ctx context.Context, stages int) error {
	published := customer(0)
	published.Keys, published.Rate, published.Burst, published.Class = []string{hashKey(bearerKey)}, 1e9, 1e9, cowslipproxy.ClassCritical
	for scope, value := range map[string]any{cowslipproxy.ScopeCustomer + published.Name: published, cowslipproxy.ScopeModel + "scribe": dataModel(stages)} {
		var body []byte
		var err error
		if body, err = resolver.Encode(value); err != nil {
			return err
		}
		var data []byte
		if data, err = resolver.Encode(resolver.Change{Kind: resolver.KindChange, ID: scope, Scope: scope, Body: body}); err != nil {
			return err
		}
		if _, err = f.log.Append(ctx, cowslipproxy.StreamConfig, data); err != nil {
			return err
		}
	}
	return nil
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// requestStream sends a request for one streamed response and counts its tokens.
func requestStream(ctx context.Context, address netip.AddrPort, number int, tokens *atomic.Int64) error {
	body := fmt.Sprintf(`{"model":"scribe","prompt":"letter %d","max_tokens":%d,"stream":true}`, number, responseTokens)
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/completions", strings.NewReader(body)); err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+bearerKey)
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, 1000)) // the text only explains the status
		return errors.Errorf("unexpected status %s: %s", response.Status, data)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		tokens.Add(int64(strings.Count(string(buffer[:n]), "data: {")))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}
