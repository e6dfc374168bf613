package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against a configuration that is not in force on each daemon within
// its bound, also on those that don't read the store themselves, and against
// one that reverts.
func TestConfigurationIsInForceInTime(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	table := d.table()
	table["routes"].([]any)[0].(map[string]any)["path_prefix"] = "/posts/"
	table["tenants"] = []map[string]any{{"name": "clerks", "api_keys": []string{"new"}}}
	old := d.table()
	d.publish(table)
	time.Sleep(configBound)
	check := func() {
		for _, one := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(one, query{path: "/posts/1", key: "new"}).status)
			require.Equal(t, http.StatusNotFound, d.send(one, query{path: fees + "1", key: "new"}).status)
			require.Equal(t, http.StatusUnauthorized, d.send(one, query{path: "/posts/1", key: key}).status)
		}
	}
	check()
	// An older version that is written late must not come back.
	d.version -= 6
	d.publish(old)
	time.Sleep(configBound)
	check()
}

// Guards against requests that run without a route, a key or with one that no
// configuration holds.
func TestOnlyAllowedRequestsRun(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, q := range []query{
		{path: "/nowhere/1"}, {path: fees + "1", key: "none"}, {path: fees + "1", key: "unknown"}, {path: "/fees", method: http.MethodGet},
	} {
		got := d.send(d.daemons[0], q)
		require.Contains(t, []int{http.StatusNotFound, http.StatusUnauthorized}, got.status)
		require.Empty(t, d.fleet.RunsOf(got.id))
	}
}

// Guards against a daemon that answers 404 or 401 before it knows any
// configuration, and against one that says it is ready then.
func TestUnknownConfigurationIsSaidSo(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.SetFault(keeper.FaultBusy)
	settings := d.settings()
	one := d.run(settings)
	require.Eventually(t, func() bool {
		return d.send(one, query{path: fees + "1"}).status == http.StatusServiceUnavailable
	}, waitLimit, 20*time.Millisecond)
	response, err := http.Get("http://" + settings.Ready.String() + "/api/ready")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Guards against a daemon that can't reach the store and so learns nothing,
// although others could tell it.
func TestDaemonLearnsFromOthers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	settings := d.settings()
	settings.Seeds = d.daemons[0].settings.Seeds
	settings.Seeds = append(settings.Seeds, d.daemons[1].settings.Peers)
	settings.Store = free(t) // nobody listens there
	one := d.run(settings)
	d.awaitReady(one)
	require.Equal(t, http.StatusOK, d.send(one, query{path: fees + "1"}).status)
}

// Guards against records that can't be decoded putting the configuration or
// other servers out of use.
func TestBadRecordsChangeNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.Put("keyed.op", "config", []byte(`{"version": "nine"}`))
	d.store.Put("keyed.op", "config", []byte(`{"version": 99, "routes": [{"name": "x", "host": "h", "path_prefix": "/x/", "service": "unknown"}]}`))
	for _, bad := range []string{"", "null", "{", `{"service":"ledger","address":"nowhere","state":"ready"}`, `{"service":"ledger","address":"127.0.0.1:1","state":"odd"}`, `{"service":7}`} {
		d.store.Put("keyed.servers", "bad-"+bad, []byte(bad))
	}
	d.settle()
	for range 10 {
		require.Equal(t, http.StatusOK, d.send(d.daemons[0], query{path: fees + "1"}).status)
	}
}

// Guards against a list or configuration that is lost with the store's history.
func TestForgottenHistoryChangesNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.Forget("keyed.op")
	d.store.Forget("keyed.servers")
	table := d.table()
	table["routes"] = table["routes"].([]any)[1:]
	d.publish(table)
	time.Sleep(configBound)
	for _, one := range d.daemons {
		require.Equal(t, http.StatusNotFound, d.send(one, query{path: fees + "1"}).status)
		require.Equal(t, http.StatusOK, d.send(one, query{path: reads + "1", method: http.MethodGet}).status)
	}
}

// Guards against requests that run at a server of another service which has
// got the address of one that ended.
func TestReusedAddressRunsNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	server := d.only("ledger")
	server.Crash()
	other, err := d.fleet.Reuse(server.Address, worker.Settings{Service: "other", Zone: "a"})
	require.NoError(t, err)
	got := d.send(d.daemons[0], query{path: fees + "1"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	for _, run := range d.fleet.Runs() {
		require.NotEqual(t, other.ID, run.Server)
	}
}
