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

func hashed(key string) []string {
	sum := sha256.Sum256([]byte(key))
	return []string{hex.EncodeToString(sum[:])}
}

func configuration() cowslipproxy.Configuration {
	return cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{
			{Name: "officers", Keys: hashed(officerKey), Class: cowslipproxy.ClassCritical, Rate: 1e6, Burst: 1e6},
			{Name: "clerks", Keys: hashed(clerkKey), Class: cowslipproxy.ClassNormal, Rate: 1e6, Burst: 1e6},
		},
		Models: []cowslipproxy.Model{scribe},
		Services: []cowslipproxy.Service{{
			Name: "ledger", Effect: cowslipproxy.EffectRepeat, Timeout: cowslipproxy.Duration(5 * time.Second),
			Rules: []cowslipproxy.Rule{{Method: "POST", Path: "/fees", Effect: cowslipproxy.EffectOnce}},
		}},
	}
}

// deployment is a log, a list, upstreams and entry daemons on loopback.
type deployment struct {
	t       *testing.T
	log     *appender.Server
	list    *registrar.Registrar
	logAt   netip.AddrPort
	listAt  netip.AddrPort
	engines map[string]*emulator.Engine
	ledgers []*server.Server
	account *server.Account
	daemons []*daemon
	mu      sync.Mutex // guards calls of answered
	refused []string   // ids of the requests whose callers were told that they did not run
}

type daemon struct {
	name    string
	router  *router.Router
	at      loader.Settings
	stop    context.CancelFunc
	ended   chan error
	metrics metrics.Registry
	process *os.Process // nil for a daemon in this process
	logLink *relay
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, log: &appender.Server{}, list: &registrar.Registrar{}, engines: map[string]*emulator.Engine{}, account: &server.Account{}}
	d.logAt = d.serve(d.log)
	d.listAt = d.serve(d.list.Handler())
	return d
}

func (d *deployment) serve(handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	d.t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (d *deployment) engine(name string, first, end int) *emulator.Engine {
	return d.serveEngine(name, &emulator.Engine{Model: scribe, Range: cowslipproxy.LayerRange{First: first, End: end}, Kind: "small",
		Pace: 100 * time.Microsecond, Share: 0.05, Batch: 16, Memory: 100_000, Prefixes: 100, Lag: 50 * time.Millisecond,
		Room: 3, Fenced: len(d.engines)%2 == 0, Link: 20 * time.Microsecond, Trace: true})
}

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

// chains starts two engines for each half of the model.
func (d *deployment) chains() {
	for _, name := range []string{"a1", "a2"} {
		d.engine(name, 0, 3)
	}
	for _, name := range []string{"b1", "b2"} {
		d.engine(name, 3, 6)
	}
}

func (d *deployment) ledger(name string) *server.Server {
	s := &server.Server{Name: name, Account: d.account}
	d.ledgers = append(d.ledgers, s)
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMService, Service: "ledger", Address: d.serve(s), Centre: "oyo-a", State: cowslipproxy.VMLive})
	return s
}

// nextPort is the port that freeAddress tries next. The ports lie below those
// that the system gives to connections, so that none is taken between the
// choice and the daemon's start.
var nextPort atomic.Uint32

func freeAddress(t *testing.T) netip.AddrPort {
	const first, count = 12_000, 18_000
	nextPort.CompareAndSwap(0, uint32(os.Getpid())*64)
	for range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(first+nextPort.Add(1)%count))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.Fail(t, "no port is free")
	return netip.AddrPort{}
}

func (d *deployment) settings(name string) loader.Settings {
	settings := loader.Usual()
	settings.Name, settings.Centre = name, "oyo-a"
	settings.Callers, settings.Peers, settings.Operator = freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)
	settings.Log, settings.List = d.logAt, d.listAt
	settings.Lifetime = cowslipproxy.Duration(time.Second)
	return settings
}

func (d *deployment) daemon(name string) *daemon { return d.start(d.settings(name)) }

func (d *deployment) start(settings loader.Settings) *daemon {
	name := settings.Name
	one := &daemon{name: name, at: settings, ended: make(chan error, 1), metrics: metrics.NewRegistry()}
	one.router = &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: one.metrics}
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: "oyo-a", State: cowslipproxy.VMLive})
	var ctx context.Context
	ctx, one.stop = context.WithCancel(context.Background())
	go func() { one.ended <- one.router.Run(ctx) }()
	d.t.Cleanup(one.stop)
	d.mu.Lock()
	d.daemons = append(d.daemons, one)
	d.mu.Unlock()
	return one
}

func (d *deployment) publish() { d.publishThis(configuration()) }

func (d *deployment) publishThis(configuration cowslipproxy.Configuration) {
	publisher := &follower.Publisher{Log: d.log}
	_, err := publisher.Publish(context.Background(), configuration)
	require.NoError(d.t, err)
}

// ready waits until a daemon has the configuration and can serve the model.
func (d *deployment) ready(daemons ...*daemon) {
	for _, one := range daemons {
		var last string
		ready := func() bool {
			response, _ := d.complete(one, officerKey, "ready?", 1)
			if response == nil || response.StatusCode != http.StatusOK {
				if response != nil {
					last = string(response.body)
				}
				return false
			}
			if len(d.ledgers) == 0 {
				return true
			}
			response, err := d.call(one, http.MethodGet, "/v1/services/ledger/tenancies/1", officerKey, nil, "")
			return err == nil && response.StatusCode == http.StatusOK
		}
		began := time.Now()
		for !ready() {
			require.Less(d.t, time.Since(began), waitLimit, "%s is not ready: %s", one.name, last)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// reply is an answer that was read whole.
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

func (d *deployment) call(one *daemon, method, path, key string, header map[string]string, body string) (*reply, error) {
	request, err := http.NewRequest(method, "http://"+one.at.Callers.String()+path, bytes.NewBufferString(body))
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

// complete asks for a whole completion and returns its text.
func (d *deployment) complete(one *daemon, key, prompt string, count int) (*reply, string) {
	body := fmt.Sprintf(`{"model":"scribe","prompt":%q,"max_tokens":%d}`, prompt, count)
	response, err := d.call(one, http.MethodPost, "/v1/completions", key, nil, body)
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

func expected(prompt string, count int) string {
	text := ""
	for _, part := range emulator.Answer(scribe, "", prompt, count) {
		text += part
	}
	return text
}

// each runs a function for the numbers below count, some at a time.
func each(count, atOnce int, run func(i int)) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range atOnce {
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

// address returns where the list says that a VM is.
func (d *deployment) address(name string) netip.AddrPort {
	response, err := http.Get("http://" + d.listAt.String() + "/v1/vms")
	require.NoError(d.t, err)
	defer response.Body.Close()
	var answer struct{ VMs []cowslipproxy.VM }
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&answer))
	for _, vm := range answer.VMs {
		if vm.Name == name {
			return vm.Address
		}
	}
	require.Fail(d.t, "the list doesn't show "+name)
	return netip.AddrPort{}
}

// killOne crashes the first of two engines that runs so many steps.
func (d *deployment) killOne(after int, one, other string) {
	fuse := new(atomic.Bool)
	d.engines[one].CrashOne(after, fuse)
	d.engines[other].CrashOne(after, fuse)
}

// crashed returns how many engines have crashed.
func (d *deployment) crashed() int {
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

// acquainted waits until each daemon names all of them in its address answers,
// and returns their incarnations by name.
func (d *deployment) acquainted(daemons ...*daemon) map[string]string {
	incarnations := map[string]string{}
	for _, one := range daemons {
		require.Eventually(d.t, func() bool {
			response, err := d.call(one, http.MethodGet, "/v1/addresses", "", nil, "")
			var answer cowslipproxy.Addresses
			if err != nil || json.Unmarshal(response.body, &answer) != nil {
				return false
			}
			for _, other := range daemons {
				for _, address := range answer.Addresses {
					if address.Address == other.at.Callers {
						incarnations[other.name] = address.Incarnation
					}
				}
			}
			return len(answer.Addresses) == len(daemons)
		}, waitLimit, 20*time.Millisecond, "%s doesn't know the others", one.name)
	}
	return incarnations
}
