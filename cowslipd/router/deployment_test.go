package router_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/binder"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

const (
	officerKey = "officer-key"
	clerkKey   = "clerk-key"
	waitLimit  = 20 * time.Second
)

var scribe = cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 6, Window: 10_000, Adapters: []string{"letters"}, Effect: cowslipproxy.EffectRepeat, Replicas: 2}

func keyHashes(key string) []string {
	sum := sha256.Sum256([]byte(key))
	return []string{hex.EncodeToString(sum[:])}
}

func configuration() cowslipproxy.Configuration {
	return cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{
			{Name: "officers", Keys: keyHashes(officerKey), Class: cowslipproxy.ClassCritical, Rate: 1e6, Burst: 1e6},
			{Name: "clerks", Keys: keyHashes(clerkKey), Class: cowslipproxy.ClassNormal, Rate: 1e6, Burst: 1e6},
		},
		Models: []cowslipproxy.Model{scribe},
		Services: []cowslipproxy.Service{{
			Name: "ledger", Effect: cowslipproxy.EffectRepeat, Timeout: cowslipproxy.Duration(5 * time.Second),
			Rules: []cowslipproxy.Rule{{Method: "POST", Path: "/fees", Effect: cowslipproxy.EffectOnce}},
		}},
	}
}

// deployment consists of a log, a VM list, upstreams and entry daemons on the loopback
// interface.
type deployment struct {
	t           *testing.T
	log         *appender.Server
	list        *registrar.Registrar
	logAddress  netip.AddrPort
	listAddress netip.AddrPort
	engines     map[string]*emulator.Engine
	ledgers     []*server.Server
	effectLog   *server.EffectLog
	daemons     []*daemon
	mu          sync.Mutex // guards engines, daemons and refused
	refused     []string   // ids of the requests that were answered as refused
}

type daemon struct {
	name     string
	router   *router.Router
	listen   loader.Settings // includes the addresses that it listens on
	stop     context.CancelFunc
	exited   chan error
	metrics  metrics.Registry
	process  *os.Process // nil if the daemon runs in the test process
	logProxy *tcpProxy
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, log: &appender.Server{}, list: &registrar.Registrar{}, engines: map[string]*emulator.Engine{}, effectLog: &server.EffectLog{}}
	d.logAddress = d.serve(d.log)
	d.listAddress = d.serve(d.list.Handler())
	return d
}

// serve starts an HTTP server for the handler and returns its address.
func (d *deployment) serve(handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	d.t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startEngine starts an emulated engine that holds a range of layers.
func (d *deployment) startEngine(name string, first, end int) *emulator.Engine {
	return d.serveEngine(name, &emulator.Engine{Model: scribe, Range: cowslipproxy.LayerRange{First: first, End: end}, Kind: "small",
		Pace: 100 * time.Microsecond, BatchOverhead: 0.05, MaxBatch: 16, CacheCapacity: 100_000, PrefixCacheSize: 100, ReportInterval: 50 * time.Millisecond,
		MaxLayers: 3, EnforceFencing: len(d.engines)%2 == 0, LinkLatency: 20 * time.Microsecond, CountSteps: true})
}

// serveEngine starts an engine and adds it to the VM list.
func (d *deployment) serveEngine(name string, engine *emulator.Engine) *emulator.Engine {
	engine.Init()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	serving := grpc.NewServer()
	runner.Register(serving, engine.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(func() { cancel(); serving.Stop() })
	go func() { _ = serving.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	go func() { <-engine.Crashed(); serving.Stop() }()
	d.mu.Lock()
	d.engines[name] = engine
	d.mu.Unlock()
	address := netip.MustParseAddrPort(listener.Addr().String())
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEngine, Address: address, Centre: "oyo-a", State: cowslipproxy.VMLive})
	return engine
}

// startEngines starts two engines for each half of the model's layers.
func (d *deployment) startEngines() {
	for _, name := range []string{"a1", "a2"} {
		d.startEngine(name, 0, 3)
	}
	for _, name := range []string{"b1", "b2"} {
		d.startEngine(name, 3, 6)
	}
}

func (d *deployment) startLedger(name string) *server.Server {
	s := &server.Server{Name: name, EffectLog: d.effectLog}
	d.ledgers = append(d.ledgers, s)
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMService, Service: "ledger", Address: d.serve(s), Centre: "oyo-a", State: cowslipproxy.VMLive})
	return s
}

func freeAddress(t *testing.T) netip.AddrPort {
	address, err := binder.FreeAddress()
	require.NoError(t, err)
	return address
}

func (d *deployment) settings(name string) loader.Settings {
	settings := loader.Defaults()
	settings.Name, settings.Centre = name, "oyo-a"
	settings.Callers, settings.Peers, settings.Operator = freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)
	settings.Log, settings.List = d.logAddress, d.listAddress
	settings.Lifetime = cowslipproxy.Duration(time.Second)
	return settings
}

// startDaemon starts a daemon in the test process.
func (d *deployment) startDaemon(name string) *daemon { return d.startDaemonWith(d.settings(name)) }

// startDaemonWith starts a daemon with the given settings in the test process.
func (d *deployment) startDaemonWith(settings loader.Settings) *daemon {
	name := settings.Name
	entry := &daemon{name: name, listen: settings, exited: make(chan error, 1), metrics: metrics.NewRegistry()}
	entry.router = &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: entry.metrics}
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: "oyo-a", State: cowslipproxy.VMLive})
	var ctx context.Context
	ctx, entry.stop = context.WithCancel(context.Background())
	go func() { entry.exited <- entry.router.Run(ctx) }()
	d.t.Cleanup(entry.stop)
	d.mu.Lock()
	d.daemons = append(d.daemons, entry)
	d.mu.Unlock()
	return entry
}

func (d *deployment) publish() { d.publishConfiguration(configuration()) }

func (d *deployment) publishConfiguration(configuration cowslipproxy.Configuration) {
	publisher := &follower.Publisher{Log: d.log}
	_, err := publisher.Publish(context.Background(), configuration)
	require.NoError(d.t, err)
}

// awaitReady waits until the daemons have a configuration and can serve the model and the
// ledger, if there is one.
func (d *deployment) awaitReady(daemons ...*daemon) {
	for _, entry := range daemons {
		var last string
		ready := func() bool {
			response, _ := d.complete(entry, officerKey, "ready?", 1)
			if response == nil || response.StatusCode != http.StatusOK {
				if response != nil {
					last = string(response.body)
				}
				return false
			}
			if len(d.ledgers) == 0 {
				return true
			}
			response, err := d.call(entry, http.MethodGet, "/v1/services/ledger/tenancies/1", officerKey, nil, "")
			return err == nil && response.StatusCode == http.StatusOK
		}
		start := time.Now()
		for !ready() {
			require.Less(d.t, time.Since(start), waitLimit, "%s is not ready: %s", entry.name, last)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// reply is a response with its complete body.
type reply struct {
	*http.Response
	body []byte
}

func (r *reply) String() string {
	if r == nil {
		return "no answer"
	}
	return fmt.Sprint(r.StatusCode, " ", r.outcome(), " ", r.reason(), " ", string(r.body))
}

func (r *reply) outcome() string { return r.Header.Get("Cowslip-Outcome") }
func (r *reply) reason() string  { return r.Header.Get("Cowslip-Reason") }

func (d *deployment) call(entry *daemon, method, path, key string, header map[string]string, body string) (*reply, error) {
	request, err := http.NewRequest(method, "http://"+entry.listen.Callers.String()+path, bytes.NewBufferString(body))
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if response.Header.Get("Cowslip-Outcome") == "refused" {
		d.mu.Lock()
		d.refused = append(d.refused, response.Header.Get("Cowslip-Request"))
		d.mu.Unlock()
	}
	return &reply{Response: response, body: data}, err
}

// complete requests a completion without streaming and returns its text.
func (d *deployment) complete(entry *daemon, key, prompt string, count int) (*reply, string) {
	body := fmt.Sprintf(`{"model":"scribe","prompt":%q,"max_tokens":%d}`, prompt, count)
	response, err := d.call(entry, http.MethodPost, "/v1/completions", key, nil, body)
	if err != nil {
		return nil, ""
	}
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(response.body, &answer) != nil || len(answer.Choices) == 0 {
		return response, ""
	}
	return response, answer.Choices[0].Text
}

func expectedText(prompt string, count int) string {
	text := ""
	for _, part := range emulator.Completion(scribe, "", prompt, count) {
		text += part
	}
	return text
}

// runConcurrently calls run with each number below count from several goroutines.
func runConcurrently(count, workers int, run func(i int)) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range workers {
		group.Go(func() {
			for i := range numbers {
				run(i)
			}
		})
	}
	for i := range count {
		numbers <- i
	}
	close(numbers)
	group.Wait()
}

// address returns the address of a VM in the VM list.
func (d *deployment) address(name string) netip.AddrPort {
	response, err := http.Get("http://" + d.listAddress.String() + "/v1/vms")
	require.NoError(d.t, err)
	defer response.Body.Close()
	var answer struct{ VMs []cowslipproxy.VM }
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&answer))
	for _, vm := range answer.VMs {
		if vm.Name == name {
			return vm.Address
		}
	}
	require.Fail(d.t, "VM list does not contain "+name)
	return netip.AddrPort{}
}

// crashFirstOf crashes whichever of two engines first has run the given number of steps.
func (d *deployment) crashFirstOf(after int, name, other string) {
	crashed := new(atomic.Bool)
	d.engines[name].CrashOne(after, crashed)
	d.engines[other].CrashOne(after, crashed)
}

// crashCount returns the number of engines that have crashed.
func (d *deployment) crashCount() int {
	count := 0
	for _, engine := range d.engines {
		select {
		case <-engine.Crashed():
			count++
		default:
		}
	}
	return count
}

// awaitMembership waits until the address responses of each daemon name all daemons, and
// returns their incarnations by daemon name.
func (d *deployment) awaitMembership(daemons ...*daemon) map[string]string {
	incarnations := map[string]string{}
	for _, entry := range daemons {
		require.Eventually(d.t, func() bool {
			response, err := d.call(entry, http.MethodGet, "/v1/addresses", "", nil, "")
			var answer cowslipproxy.Addresses
			if err != nil || json.Unmarshal(response.body, &answer) != nil {
				return false
			}
			for _, other := range daemons {
				for _, address := range answer.Addresses {
					if address.Address == other.listen.Callers {
						incarnations[other.name] = address.Incarnation
					}
				}
			}
			return len(answer.Addresses) == len(daemons)
		}, waitLimit, 20*time.Millisecond, "%s does not know all other daemons", entry.name)
	}
	return incarnations
}
