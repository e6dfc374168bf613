package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/loader"
)

// asDaemon makes the test program run an entry daemon, so that a test can kill
// and pause one.
const asDaemon = "COWSLIP_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(asDaemon) == "" {
		os.Exit(m.Run())
	}
	settings, err := loader.Load(os.Args[1:])
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		one := &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}
		err = one.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// relay passes TCP connections on, and holds or breaks them on demand.
type relay struct {
	at     netip.AddrPort
	target netip.AddrPort

	mu    sync.Mutex
	held  chan struct{} // closed when the bytes may pass again; nil while they pass
	cut   bool
	conns map[net.Conn]bool
}

func newRelay(t *testing.T, target netip.AddrPort) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{at: netip.MustParseAddrPort(listener.Addr().String()), target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close(); r.resume(); r.setCut(true) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r
}

func (r *relay) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	defer to.Close()
	r.mu.Lock()
	cut := r.cut
	r.conns[from], r.conns[to] = true, true
	r.mu.Unlock()
	if cut {
		return
	}
	ended := make(chan struct{}, 2)
	go func() { r.copy(to, from); ended <- struct{}{} }()
	go func() { r.copy(from, to); ended <- struct{}{} }()
	<-ended
}

func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		held := r.held
		r.mu.Unlock()
		if held != nil {
			<-held
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// hold keeps back all bytes until resume is called.
func (r *relay) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil {
		r.held = make(chan struct{})
	}
}

func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		close(r.held)
		r.held = nil
	}
}

// setCut breaks all connections and refuses new ones, or ends that.
func (r *relay) setCut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	if !on {
		return
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = map[net.Conn]bool{}
}

// process starts a daemon of its own process, whose link to the log can be
// held or cut.
func (d *deployment) process(name string) *daemon {
	settings := d.settings(name)
	one := &daemon{name: name, ended: make(chan error, 1), logLink: newRelay(d.t, d.logAt)}
	settings.Log = one.logLink.at
	one.at = settings
	command := exec.Command(os.Args[0],
		"-name", name, "-centre", settings.Centre, "-callers", settings.Callers.String(), "-peers", settings.Peers.String(),
		"-operator", settings.Operator.String(), "-log", settings.Log.String(), "-list", settings.List.String(), "-lifetime", "1s")
	command.Env = append(os.Environ(), asDaemon+"=1")
	command.Stderr = os.Stderr
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: settings.Centre, State: cowslipproxy.VMLive})
	require.NoError(d.t, command.Start())
	one.process = command.Process
	one.stop = func() { _ = one.process.Signal(syscall.SIGTERM) }
	done := make(chan struct{})
	go func() { one.ended <- command.Wait(); close(done) }()
	d.t.Cleanup(func() { one.kill(); <-done })
	d.mu.Lock()
	d.daemons = append(d.daemons, one)
	d.mu.Unlock()
	return one
}

// kill ends a daemon's process without a planned stop.
func (one *daemon) kill() { _ = one.process.Kill() }

// dump returns a daemon's state, false while it doesn't answer.
func (one *daemon) dump() (router.Dump, bool) {
	var dump router.Dump
	response, err := http.Get("http://" + one.at.Operator.String() + "/v1/dump")
	if err != nil {
		return dump, false
	}
	defer response.Body.Close()
	return dump, json.NewDecoder(response.Body).Decode(&dump) == nil
}

// order sends an operator's order to a daemon.
func (d *deployment) order(one *daemon, method, path string, body any) {
	data, err := json.Marshal(body)
	require.NoError(d.t, err)
	request, err := http.NewRequest(method, "http://"+one.at.Operator.String()+path, bytes.NewReader(data))
	require.NoError(d.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body) // only shown
	require.Less(d.t, response.StatusCode, 300, "%s", text)
}

// check compares what callers were told with the accounts of the upstreams:
// refused requests left no trace, and no daemon saw a violation.
func (d *deployment) check(daemons ...*daemon) {
	d.mu.Lock()
	refused := append([]string(nil), d.refused...)
	d.mu.Unlock()
	effects := map[string]int{}
	for _, effect := range d.account.Effects() {
		effects[effect.Request]++
	}
	for _, request := range refused {
		require.NotEmpty(d.t, request)
		require.Zero(d.t, effects[request], "refused request %s had an effect", request)
		for name, engine := range d.engines {
			require.Zero(d.t, engine.Ran(request), "refused request %s ran on %s", request, name)
		}
	}
	for _, one := range daemons {
		dump, ok := one.dump()
		require.True(d.t, ok, "%s doesn't answer operators", one.name)
		require.Zero(d.t, dump.Violations, "violations on %s", one.name)
		require.Zero(d.t, dump.Claims.Violations, "claim violations on %s", one.name)
	}
}

// incarnations returns the incarnations of the daemons in an address answer.
func (d *deployment) incarnations(one *daemon, count int) map[netip.AddrPort]string {
	var found map[netip.AddrPort]string
	require.Eventually(d.t, func() bool {
		found = map[netip.AddrPort]string{}
		response, err := d.call(one, http.MethodGet, "/v1/addresses", "", nil, "")
		if err != nil {
			return false
		}
		var answer cowslipproxy.Addresses
		require.NoError(d.t, json.Unmarshal(response.body, &answer))
		for _, address := range answer.Addresses {
			found[address.Address] = address.Incarnation
		}
		return len(found) >= count
	}, waitLimit, 50*time.Millisecond)
	return found
}
