package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/cowslipd/relay"
	"github.com/cowslipproxy/cowslipproxy/platform"
	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against new requests to a server that the store has shown as draining for
// longer than drainBound. This applies to servers of whole requests and to all
// engines of a path.
func TestDrainingServersGetNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	ledger := d.fleet.Servers("ledger")[0]
	engine := d.fleet.Servers("scribe")[0]
	ledger.Drain()
	engine.Drain()
	time.Sleep(drainBound)
	after := time.Now()
	for range 10 {
		for _, node := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(node, call{path: feesPath + "1"}).status)
			require.Equal(t, http.StatusOK, d.send(node, call{path: lettersPath + "1", tokens: 1}).status)
		}
	}
	for _, run := range d.fleet.Runs() {
		if run.At.After(after) {
			require.NotEqual(t, ledger.ID, run.Server)
			require.NotContains(t, run.Header.Get("X-Hop-Count"), engine.Address.String())
		}
	}
}

// Guards against removing servers whose entries expired during a store outage.
func TestExpiredEntriesStayInUse(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.SetFault(keeper.FaultReset)
	time.Sleep(2 * time.Second)
	for _, server := range d.fleet.Servers("ledger") {
		d.store.Put("keyed.servers", server.ID, nil) // expired; the next heartbeat restores it
	}
	d.store.SetFault(keeper.FaultNone)
	end := time.Now().Add(drainBound)
	for time.Now().Before(end) {
		for _, node := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(node, call{path: feesPath + "1"}).status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a graceful shutdown in which the daemon aborts a request, refuses
// new requests too early, is still contained in address answers, or does not end
// within the grace time.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	stopping, other := d.daemons[0], d.daemons[1]
	running := make(chan result, 1)
	go func() { running <- d.send(stopping, call{path: lettersPath + "1", tokens: 200, wait: 5 * time.Second}) }()
	time.Sleep(200 * time.Millisecond)
	stopping.stop()
	late := make(chan result, 1)
	time.AfterFunc(time.Second, func() { late <- d.send(stopping, call{path: feesPath + "1"}) })
	got := <-running
	require.NoError(t, got.err)
	require.Equal(t, streamBody(got.id, 1, 200), got.body)
	require.Equal(t, http.StatusOK, (<-late).status, "callers still use the address")
	require.NotContains(t, d.resolve(other), stopping.settings.Callers)
	select {
	case err := <-stopping.done:
		require.NoError(t, err)
	case <-time.After(grace):
		t.Fatal("the daemon still runs at the end of the grace time")
	}
}

func (d *deployment) resolve(node *daemon) []netip.AddrPort {
	response, err := http.Get("http://" + node.settings.Directory.String() + "/api/resolve?name=" + host + "&zone=a")
	require.NoError(d.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return decodeAddresses(d.t, data)
}

// Guards against layers that no engine holds after engines were lost permanently.
func TestLostLayersAreReloaded(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for _, server := range d.enginesAt(0) {
		server.Leave()
	}
	require.Eventually(t, func() bool {
		return d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 3}).status == http.StatusOK
	}, waitLimit, 50*time.Millisecond)
	for _, server := range d.fleet.Servers("scribe") {
		from, target := server.Layers()
		require.LessOrEqual(t, target-from, smallKindLayers, "an engine was ordered to hold more than fits")
	}
}

// recoveryBound is the time within which requests must be served again after a
// power loss of all VMs.
const recoveryBound = 12 * time.Second

// Guards against layers that stay lost after the lease holder changed. Engines
// refuse orders of a holder that does not know how many orders they accepted.
func TestNewLeaseHolderMovesEngines(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	old := d.daemons
	for _, node := range old {
		node.stop()
	}
	for _, node := range old {
		require.NoError(t, <-node.done)
	}
	for _, server := range d.enginesAt(0) {
		server.Leave()
	}
	begin := time.Now()
	for _, node := range old {
		d.awaitReady(d.startDaemon(node.settings))
	}
	require.Less(t, time.Since(begin), recoveryBound)
}

// Guards against a deployment that serves no requests after all daemons were
// restarted.
func TestRestartOfAllDaemons(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	orders := 0
	for _, server := range d.fleet.Servers("scribe") {
		orders += server.AcceptedOrders()
	}
	old := d.daemons
	for _, node := range old {
		node.stop()
	}
	for _, node := range old {
		require.NoError(t, <-node.done)
	}
	begin := time.Now()
	for _, node := range old {
		d.awaitReady(d.startDaemon(node.settings))
	}
	require.Less(t, time.Since(begin), recoveryBound)
	for _, server := range d.fleet.Servers("scribe") {
		orders -= server.AcceptedOrders()
	}
	require.Zero(t, orders, "layers were placed again")
}

// Guards against routing many requests to a server that always fails while
// another one is healthy.
func TestFailingServerGetsFewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.fleet.Servers("ledger")[0].SetFault(worker.FaultReset)
	failed := 0
	const requests = 40
	for range requests {
		if d.send(d.daemons[0], call{path: feesPath + "1"}).status != http.StatusOK {
			failed++
		}
	}
	require.Less(t, failed, requests/4)
}

// Guards against callers that are accepted while readiness checks are refused.
func TestCallersAreAcceptedOnceAllAddressesAreOpen(t *testing.T) {
	t.Parallel()
	d := newFleet(t)
	for range 20 {
		settings := d.settings()
		occupied, err := net.Listen("tcp", settings.Ready.String())
		require.NoError(t, err)
		daemonProcess := &relay.Daemon{
			Settings: settings, Platform: platform.Open(settings.Store, relay.Transport(true), relay.Transport(false)),
			Clock: time.Now, Logger: logger(), Metrics: metrics.NewRegistry(),
		}
		require.Error(t, daemonProcess.Run(t.Context()))
		_, err = net.Dial("tcp", settings.Callers.String())
		require.Error(t, err)
		require.NoError(t, occupied.Close())
	}
}
