package relay_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
)

const (
	// lostListRecords is the number of records of the list that a restored store has lost.
	// More than the servers write within the tests.
	lostListRecords = 600
	// restoredBound is the time from the return of the store until the daemons must follow it
	// again: 2 s for the servers to register and 2 s to learn of it.
	restoredBound = 4 * time.Second
)

// restore makes the store unavailable for a second, in which it loses records.
func (d *deployment) restore(lost map[string]int) {
	d.store.SetFault(keeper.FaultReset)
	time.Sleep(time.Second)
	d.store.Restore(lost)
	d.store.SetFault(keeper.FaultNone)
}

// padList appends records to the list that change nothing.
func (d *deployment) padList(count int) {
	for range count {
		d.store.Put("keyed.servers", "padding", nil)
	}
	d.awaitSync()
}

// Guards against daemons that keep an outdated list because a restored store gives out lower offsets.
func TestListOfRestoredStoreIsFollowed(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			d.padList(lostListRecords)
			d.restore(map[string]int{"keyed.servers": lostListRecords})
			d.replaceServers("ledger")
			time.Sleep(restoredBound)
			require.Equal(t, 4*daemons, d.countServed(4))
		})
	}
}

// replaceServers starts new servers of a plain service, and lets the old ones leave once the
// new ones are listed.
func (d *deployment) replaceServers(service string) {
	old := d.fleet.Servers(service)
	for range old {
		d.startServer(service, "")
	}
	time.Sleep(time.Second)
	for _, server := range old {
		server.Leave()
	}
}

// countServed sends requests to all daemons and returns how many were served.
func (d *deployment) countServed(perDaemon int) int {
	var served atomic.Int64
	var group sync.WaitGroup
	for _, node := range d.daemons {
		group.Go(func() {
			for range perDaemon {
				if d.send(node, call{path: feesPath + "1"}).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(served.Load())
}

// Guards against a change that a reader misses because it was written below its offset in a restored store.
func TestConfigurationOfRestoredStoreTakesEffect(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			configuration := d.configuration()
			for range 2 {
				d.publish(configuration)
			}
			d.awaitSync()
			d.store.SetFault(keeper.FaultReset)
			time.Sleep(time.Second)
			d.store.Restore(map[string]int{"keyed.op": 2})
			data, err := json.Marshal(configuration)
			require.NoError(t, err)
			d.store.Publish(data) // the confirmed version again
			configuration["routes"] = []any{}
			d.publish(configuration)
			d.store.SetFault(keeper.FaultNone)
			time.Sleep(restoredBound)
			for _, node := range d.daemons {
				require.Equal(t, http.StatusNotFound, d.send(node, call{path: feesPath + "1"}).status)
			}
		})
	}
}
