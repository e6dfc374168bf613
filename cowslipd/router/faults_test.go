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

// daemonEnv is the environment variable that makes the test binary run an entry daemon,
// so that a test can kill and pause a daemon process.
const daemonEnv = "COWSLIP_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		os.Exit(m.Run())
	}
	settings, err := loader.Load(os.Args[1:])
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		entry := &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}
		err = entry.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// tcpProxy forwards TCP connections and can pause or break them.
type tcpProxy struct {
	listen netip.AddrPort
	target netip.AddrPort

	mu       sync.Mutex
	paused   chan struct{} // closed on resume; nil unless paused
	refusing bool
	conns    map[net.Conn]bool
}

func newTCPProxy(t *testing.T, target netip.AddrPort) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{listen: netip.MustParseAddrPort(listener.Addr().String()), target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close(); p.resume(); p.setRefusing(true) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

func (p *tcpProxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer to.Close()
	p.mu.Lock()
	refusing := p.refusing
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	if refusing {
		return
	}
	ended := make(chan struct{}, 2)
	go func() { p.copy(to, from); ended <- struct{}{} }()
	go func() { p.copy(from, to); ended <- struct{}{} }()
	<-ended
}

func (p *tcpProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		if paused != nil {
			<-paused
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// pause stops forwarding until resume is called.
func (p *tcpProxy) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *tcpProxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// setRefusing closes all connections and refuses new ones if on is true. Otherwise it
// accepts connections again.
func (p *tcpProxy) setRefusing(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = on
	if !on {
		return
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// startProcess starts a daemon in a process of its own. Its connections to the log pass
// through a proxy that can pause or refuse them.
func (d *deployment) startProcess(name string) *daemon {
	settings := d.settings(name)
	entry := &daemon{name: name, exited: make(chan error, 1), logProxy: newTCPProxy(d.t, d.logAddress)}
	settings.Log = entry.logProxy.listen
	entry.listen = settings
	command := exec.Command(os.Args[0],
		"-name", name, "-centre", settings.Centre, "-callers", settings.Callers.String(), "-peers", settings.Peers.String(),
		"-operator", settings.Operator.String(), "-log", settings.Log.String(), "-list", settings.List.String(), "-lifetime", "1s")
	command.Env = append(os.Environ(), daemonEnv+"=1")
	command.Stderr = os.Stderr
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: settings.Centre, State: cowslipproxy.VMLive})
	require.NoError(d.t, command.Start())
	entry.process = command.Process
	entry.stop = func() { _ = entry.process.Signal(syscall.SIGTERM) }
	done := make(chan struct{})
	go func() { entry.exited <- command.Wait(); close(done) }()
	d.t.Cleanup(func() { entry.kill(); <-done })
	d.mu.Lock()
	d.daemons = append(d.daemons, entry)
	d.mu.Unlock()
	return entry
}

// kill kills a daemon's process without a planned stop.
func (entry *daemon) kill() { _ = entry.process.Kill() }

// dump returns a daemon's state, or false if the daemon doesn't answer.
func (entry *daemon) dump() (router.Dump, bool) {
	var dump router.Dump
	response, err := http.Get("http://" + entry.listen.Operator.String() + "/v1/dump")
	if err != nil {
		return dump, false
	}
	defer response.Body.Close()
	return dump, json.NewDecoder(response.Body).Decode(&dump) == nil
}

// sendOperatorRequest sends a request to a daemon's operator API and requires success.
func (d *deployment) sendOperatorRequest(entry *daemon, method, path string, body any) {
	data, err := json.Marshal(body)
	require.NoError(d.t, err)
	request, err := http.NewRequest(method, "http://"+entry.listen.Operator.String()+path, bytes.NewReader(data))
	require.NoError(d.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body) // only used in the failure message
	require.Less(d.t, response.StatusCode, 300, "%s", text)
}

// checkInvariants requires that no refused request ran on an engine or had an effect on
// a service, and that no daemon has counted an invariant violation.
func (d *deployment) checkInvariants(daemons ...*daemon) {
	d.mu.Lock()
	refused := append([]string(nil), d.refused...)
	d.mu.Unlock()
	effects := map[string]int{}
	for _, effect := range d.effectLog.Effects() {
		effects[effect.Request]++
	}
	for _, request := range refused {
		require.NotEmpty(d.t, request)
		require.Zero(d.t, effects[request], "refused request %s had an effect", request)
		for name, engine := range d.engines {
			require.Zero(d.t, engine.StepCount(request), "refused request %s ran on %s", request, name)
		}
	}
	for _, entry := range daemons {
		dump, ok := entry.dump()
		require.True(d.t, ok, "%s does not answer operator requests", entry.name)
		require.Zero(d.t, dump.Violations, "violations on %s", entry.name)
		require.Zero(d.t, dump.Claims.Violations, "claim violations on %s", entry.name)
	}
}

// awaitIncarnations waits until a daemon's address response names at least count
// daemons, and returns their incarnations by address.
func (d *deployment) awaitIncarnations(entry *daemon, count int) map[netip.AddrPort]string {
	var found map[netip.AddrPort]string
	require.Eventually(d.t, func() bool {
		found = map[netip.AddrPort]string{}
		response, err := d.call(entry, http.MethodGet, "/v1/addresses", "", nil, "")
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
