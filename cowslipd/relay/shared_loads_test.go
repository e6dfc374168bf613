package relay_test

import (
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against a daemon that learns nothing of the requests that others have at plain servers.
func TestRequestsAtPlainServersAreShared(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for _, server := range d.fleet.Servers("ledger") {
		server.SetFault(worker.FaultSlow)
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	stop := make(chan struct{})
	defer close(stop)
	for range 12 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					d.send(d.daemons[0], call{path: feesPath + "1"})
				}
			}
		})
	}
	require.Eventually(t, func() bool { return d.meanLoad(d.daemons[1], "ledger") >= 50 }, waitLimit, 100*time.Millisecond)
	require.GreaterOrEqual(t, d.meanLoad(d.daemons[0], "ledger"), 50)
}

// meanLoad returns the mean load of a service's upstreams that a daemon reports, in percent.
func (d *deployment) meanLoad(node *daemon, service string) int {
	response, err := http.Get("http://" + netip.AddrPortFrom(node.settings.Callers.Addr(), node.settings.Metrics).String() + "/metrics")
	require.NoError(d.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	found := regexp.MustCompile(`(?m)^cowslip_balancer_mean_percent{service="` + service + `"} (\d+)$`).FindSubmatch(text)
	require.NotNil(d.t, found, string(text))
	percent, err := strconv.Atoi(string(found[1]))
	require.NoError(d.t, err)
	return percent
}
