package relay_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against new requests at a server that said it leaves, or whose entry
// was dropped, later than the bound after the store knew it. That holds for
// plain servers and for any engine of a path.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	plain := d.fleet.Servers("ledger")[0]
	engine := d.fleet.Servers("scribe")[0]
	plain.Drain()
	engine.Drain()
	time.Sleep(drainBound)
	after := time.Now()
	for range 10 {
		for _, one := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(one, query{path: fees + "1"}).status)
			require.Equal(t, http.StatusOK, d.send(one, query{path: letters + "1", tokens: 1}).status)
		}
	}
	for _, run := range d.fleet.Runs() {
		if run.At.After(after) {
			require.NotEqual(t, plain.ID, run.Server)
			require.NotContains(t, run.Header.Get("X-Hop-Count"), engine.Address.String())
		}
	}
}

// Guards against servers that count as gone because the store was away.
func TestLapsedEntriesStayInUse(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.SetFault(keeper.FaultReset)
	time.Sleep(2 * time.Second)
	for _, server := range d.fleet.Servers("ledger") {
		d.store.Put("keyed.servers", server.ID, nil) // lapsed; the next heartbeat brings it back
	}
	d.store.SetFault(keeper.FaultNone)
	end := time.Now().Add(drainBound)
	for time.Now().Before(end) {
		for _, one := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(one, query{path: fees + "1"}).status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a planned stop that cuts off a request, that goes on to be
// named to callers, or that takes requests which it can't end.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	stopping, other := d.daemons[0], d.daemons[1]
	running := make(chan result, 1)
	go func() { running <- d.send(stopping, query{path: letters + "1", tokens: 200, wait: 5 * time.Second}) }()
	time.Sleep(200 * time.Millisecond)
	stopping.stop()
	late := make(chan result, 1)
	time.AfterFunc(time.Second, func() { late <- d.send(stopping, query{path: fees + "1"}) })
	got := <-running
	require.NoError(t, got.err)
	require.Equal(t, events(got.id, 1, 200), got.body)
	require.Equal(t, http.StatusOK, (<-late).status, "callers still hold the address")
	require.NotContains(t, d.resolve(other), stopping.settings.Callers)
	select {
	case err := <-stopping.done:
		require.NoError(t, err)
	case <-time.After(grace):
		t.Fatal("the daemon is still there at the end of the grace time")
	}
}

func (d *deployment) resolve(one *daemon) []netip.AddrPort {
	response, err := http.Get("http://" + one.settings.Directory.String() + "/api/resolve?name=" + host + "&zone=a")
	require.NoError(d.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return addresses(d.t, data)
}

// Guards against layers that no engine holds after one was lost for good.
func TestLostLayersAreLoadedAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for _, server := range d.holders(0) {
		server.Leave()
	}
	require.Eventually(t, func() bool {
		return d.send(d.daemons[0], query{path: letters + "1", tokens: 3}).status == http.StatusOK
	}, waitLimit, 50*time.Millisecond)
	for _, server := range d.fleet.Servers("scribe") {
		from, target := server.Layers()
		require.LessOrEqual(t, target-from, contract, "an engine was ordered to hold more than fits")
	}
}

// recoverBound is the time after which requests must be served again once all
// VMs lost power.
const recoverBound = 12 * time.Second

// Guards against layers that stay lost after a change of the lease's holder:
// engines refuse orders of a holder that doesn't know how many they accepted.
func TestNewHolderMovesEngines(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	old := d.daemons
	for _, one := range old {
		one.stop()
	}
	for _, one := range old {
		require.NoError(t, <-one.done)
	}
	for _, server := range d.holders(0) {
		server.Leave()
	}
	begin := time.Now()
	for _, one := range old {
		d.awaitReady(d.run(one.settings))
	}
	require.Less(t, time.Since(begin), recoverBound)
}

// Guards against a deployment that serves nothing after all daemons were
// started anew.
func TestAllDaemonsStartAnew(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	orders := 0
	for _, server := range d.fleet.Servers("scribe") {
		orders += server.Orders()
	}
	old := d.daemons
	for _, one := range old {
		one.stop()
	}
	for _, one := range old {
		require.NoError(t, <-one.done)
	}
	begin := time.Now()
	for _, one := range old {
		d.awaitReady(d.run(one.settings))
	}
	require.Less(t, time.Since(begin), recoverBound)
	for _, server := range d.fleet.Servers("scribe") {
		orders -= server.Orders()
	}
	require.Zero(t, orders, "layers were ordered again")
}

// Guards against callers that are sent to a server which always fails while
// another one is sound.
func TestFailingServerLosesItsShare(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.fleet.Servers("ledger")[0].Misbehave(worker.KindReset)
	failed := 0
	const requests = 40
	for range requests {
		if d.send(d.daemons[0], query{path: fees + "1"}).status != http.StatusOK {
			failed++
		}
	}
	require.Less(t, failed, requests/4)
}
