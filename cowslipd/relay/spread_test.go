package relay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
)

const (
	// fleetConfigBound is the time within which a configuration takes effect on all
	// daemons, as the platform's documentation states it for large deployments.
	fleetConfigBound = 3 * time.Second
	// slowLink is the slowest link that the documentation states for a VM, 14 Mbit/s.
	slowLink = 14e6 / 8 // bytes per second
	// readerCalls bounds the store calls of a fleet of any size within fleetConfigBound:
	// twice those of one daemon that reads the list each 700 ms, configuration and lease
	// each 2 s, and renews the lease each 1.3 s.
	readerCalls = 2 * (5 + 3 + 2 + 3)
	// settleTime is the time after which daemons that know each other no longer read the
	// store for themselves: they act on new members once a second, and a read that they
	// began before waits for a change up to 2 s.
	settleTime  = 4 * time.Second
	startRoutes = 240
	newRoutes   = 1400
)

// newFleet returns a deployment without upstreams and without daemons.
func newFleet(t *testing.T) *deployment {
	d := &deployment{t: t, store: &keeper.Store{}, floor: retryFloor}
	server := httptest.NewServer(d.store.Handler())
	t.Cleanup(server.CloseClientConnections)
	d.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	d.publishRoutes(startRoutes)
	return d
}

// startFleet starts daemons of one data centre and waits until each of them knows all
// the others.
func (d *deployment) startFleet(daemons int) {
	for range daemons {
		settings := d.settings()
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, settings.Peers)
		}
		settings.Seeds = d.seeds
		d.startDaemon(settings)
	}
	for _, node := range d.daemons {
		require.Eventually(d.t, func() bool { return d.membersOf(node) == len(d.daemons) }, time.Minute, 200*time.Millisecond)
	}
	time.Sleep(settleTime)
}

// membersOf returns how many ready daemons a daemon knows, including itself.
func (d *deployment) membersOf(node *daemon) (ready int) {
	for _, member := range d.dump(node).Members {
		if !member.Down && !member.Starting {
			ready++
		}
	}
	return ready
}

// dump is the part of a daemon's dump that tests use.
type dump struct {
	Version uint64 // of the configuration
	Reader  bool
	Members []struct {
		Down, Starting, Stopping bool
		Peer                     netip.AddrPort
	}
	Instances []cowslipproxy.Instance

	Quarantine []struct {
		Fingerprint, State string
		Part               bool
	}
}

// dump returns the dump of a daemon, or an empty one if the daemon does not answer.
func (d *deployment) dump(node *daemon) (found dump) {
	address := netip.AddrPortFrom(node.settings.Callers.Addr(), node.settings.Metrics)
	response, err := http.Get("http://" + address.String() + "/dump")
	if err != nil {
		return found
	}
	defer response.Body.Close()
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&found))
	return found
}

// routePrefix returns the prefix of a numbered route. The prefixes look random, as those
// of the platform do, so that they do not compress well.
func routePrefix(number int) string {
	return fmt.Sprintf("/%016x/", uint64(number+1)*0x9e3779b97f4a7c15)
}

// publishRoutes publishes a configuration with the given number of routes.
func (d *deployment) publishRoutes(count int) {
	configuration := d.configuration()
	sample := configuration["routes"].([]any)[1].(map[string]any)
	for i := range count {
		route := map[string]any{}
		for key, value := range sample {
			route[key] = value
		}
		route["name"], route["path_prefix"] = fmt.Sprintf("r-%d", i), routePrefix(i)
		configuration["routes"] = append(configuration["routes"].([]any), route)
	}
	d.publish(configuration)
}

// countWithoutRoute returns how many daemons answer 404 for a route.
func (d *deployment) countWithoutRoute(number int) (missing int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, node := range d.daemons {
		group.Go(func() {
			got := d.send(node, call{path: routePrefix(number) + "1", method: http.MethodGet})
			mu.Lock()
			defer mu.Unlock()
			if got.err != nil || got.status == http.StatusNotFound {
				missing++
			}
		})
	}
	group.Wait()
	return missing
}

func (d *deployment) storeCalls() int {
	return d.store.Calls("/api/log-read") + d.store.Calls("/api/log-newest") + d.store.Calls("/api/log-append")
}

// Guards against a late configuration because one daemon's link or the store serves all.
func TestLargeConfigurationReachesEachDaemonInTime(t *testing.T) {
	for _, daemons := range fleetSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := newFleet(t)
			d.rate = slowLink
			d.startFleet(daemons)
			calls := d.storeCalls()
			begin := time.Now()
			d.publishRoutes(startRoutes + newRoutes)
			time.Sleep(fleetConfigBound)
			missing := d.countWithoutRoute(startRoutes + newRoutes - 1)
			calls = d.storeCalls() - calls
			t.Logf("%d daemons: %d without the new routes after %v, %d calls to the store", daemons, missing, time.Since(begin), calls)
			require.Zero(t, missing)
			require.LessOrEqual(t, calls, readerCalls)
		})
	}
}

// Guards against relying on daemons that send the instance list but no configuration.
func TestConfigurationIsReadFromStoreWhenFetchesFail(t *testing.T) {
	t.Parallel()
	d := newFleet(t)
	d.peers = lossyLink{}
	d.startFleet(4)
	d.publishRoutes(startRoutes + newRoutes)
	time.Sleep(configBound)
	require.Zero(t, d.countWithoutRoute(startRoutes+newRoutes-1))
}

// Guards against a reader whose reads of the configuration alone have stalled.
func TestConfigurationIsReadFromStoreWhenReaderStalls(t *testing.T) {
	t.Parallel()
	d := newFleet(t)
	stalled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/log-read" && r.FormValue("topic") == "keyed.op" {
			<-r.Context().Done()
			return
		}
		d.store.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(stalled.CloseClientConnections)
	settings := d.settings()
	settings.LinkMbps = 1000
	settings.Store = netip.MustParseAddrPort(strings.TrimPrefix(stalled.URL, "http://"))
	reader := d.startDaemon(settings)
	d.seeds = append(d.seeds, settings.Peers)
	d.startFleet(4)
	d.publishRoutes(startRoutes + 1)
	time.Sleep(configBound)
	require.Zero(t, d.countWithoutRoute(startRoutes))
	require.True(t, d.dump(reader).Reader)
}
