package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against a configuration that takes effect too late on some daemon, in
// particular on one that does not read the store itself, and against an older
// version replacing a newer one.
func TestConfigurationTakesEffectInTime(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	configuration := d.configuration()
	configuration["routes"].([]any)[0].(map[string]any)["path_prefix"] = "/posts/"
	configuration["tenants"] = []map[string]any{{"name": "clerks", "api_keys": []string{"new"}}}
	old := d.configuration()
	d.publish(configuration)
	time.Sleep(configBound)
	check := func() {
		for _, node := range d.daemons {
			require.Equal(t, http.StatusOK, d.send(node, call{path: "/posts/1", apiKey: "new"}).status)
			require.Equal(t, http.StatusNotFound, d.send(node, call{path: feesPath + "1", apiKey: "new"}).status)
			require.Equal(t, http.StatusUnauthorized, d.send(node, call{path: "/posts/1", apiKey: apiKey}).status)
		}
	}
	check()
	// An older version that is written later must not take effect.
	d.version -= 6
	d.publish(old)
	time.Sleep(configBound)
	check()
}

// Guards against executing requests without a route, without an API key or with
// an unknown one.
func TestUnroutedAndUnauthorizedRequestsAreRefused(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, c := range []call{
		{path: "/nowhere/1"}, {path: feesPath + "1", apiKey: "none"}, {path: feesPath + "1", apiKey: "unknown"}, {path: "/fees", method: http.MethodGet},
	} {
		got := d.send(d.daemons[0], c)
		require.Contains(t, []int{http.StatusNotFound, http.StatusUnauthorized}, got.status)
		require.Empty(t, d.fleet.RunsOf(got.id))
	}
}

// Guards against a daemon that answers 404 or 401, or reports that it is ready,
// before it has a configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.SetFault(keeper.FaultBusy)
	settings := d.settings()
	node := d.startDaemon(settings)
	require.Eventually(t, func() bool {
		return d.send(node, call{path: feesPath + "1"}).status == http.StatusServiceUnavailable
	}, waitLimit, 20*time.Millisecond)
	response, err := http.Get("http://" + settings.Ready.String() + "/api/ready")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Guards against a daemon that cannot reach the store and does not get the
// configuration and the instance list from other daemons.
func TestDaemonWithoutStoreSyncsFromPeers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	settings := d.settings()
	settings.Seeds = d.daemons[0].settings.Seeds
	settings.Seeds = append(settings.Seeds, d.daemons[1].settings.Peers)
	settings.Store = freeAddress(t) // nothing listens at this address
	node := d.startDaemon(settings)
	d.awaitReady(node)
	require.Equal(t, http.StatusOK, d.send(node, call{path: feesPath + "1"}).status)
}

// Guards against a record that cannot be decoded invalidating the current
// configuration or the entries of other servers.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.store.Put("keyed.op", "config", []byte(`{"version": "nine"}`))
	d.store.Put("keyed.op", "config", []byte(`{"version": 99, "routes": [{"name": "x", "host": "h", "path_prefix": "/x/", "service": "unknown"}]}`))
	for _, bad := range []string{"", "null", "{", `{"service":"ledger","address":"nowhere","state":"ready"}`, `{"service":"ledger","address":"127.0.0.1:1","state":"odd"}`, `{"service":7}`} {
		d.store.Put("keyed.servers", "bad-"+bad, []byte(bad))
	}
	d.awaitSync()
	for range 10 {
		require.Equal(t, http.StatusOK, d.send(d.daemons[0], call{path: feesPath + "1"}).status)
	}
}

// Guards against losing the instance list or the configuration when the store
// deletes its history.
func TestTruncatedHistoryLosesNoState(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	d.store.Compact("keyed.op")
	d.store.Compact("keyed.servers")
	configuration := d.configuration()
	configuration["routes"] = configuration["routes"].([]any)[1:]
	d.publish(configuration)
	time.Sleep(configBound)
	for _, node := range d.daemons {
		require.Equal(t, http.StatusNotFound, d.send(node, call{path: feesPath + "1"}).status)
		require.Equal(t, http.StatusOK, d.send(node, call{path: readsPath + "1", method: http.MethodGet}).status)
	}
}

// Guards against executing requests at a server of another service that reuses
// the address of a crashed server.
func TestServerAtReusedAddressGetsNoRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	server := d.keepOne("ledger")
	server.Crash()
	other, err := d.fleet.StartAt(server.Address, worker.Settings{Service: "other", Zone: "a"})
	require.NoError(t, err)
	got := d.send(d.daemons[0], call{path: feesPath + "1"})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	for _, run := range d.fleet.Runs() {
		require.NotEqual(t, other.ID, run.Server)
	}
}
