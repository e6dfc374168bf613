package relay_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// sendReads sends idempotent requests to all daemons until a time, from several callers each.
func (d *deployment) sendReads(callers int, end time.Time) {
	var group sync.WaitGroup
	for _, node := range d.daemons {
		for range callers {
			group.Go(func() {
				for time.Now().Before(end) {
					d.send(node, call{path: readsPath + "1", method: http.MethodGet})
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
}

// lateArrivals counts the requests that reach a leaving server after the drain bound.
func lateArrivals(server *worker.Server, announced time.Time) (count int) {
	var first time.Time
	for _, arrived := range server.Arrivals() {
		if first.IsZero() && arrived.After(announced) {
			first = arrived
		}
		if !first.IsZero() && arrived.Sub(first) > drainBound {
			count++
		}
	}
	return count
}

// Guards against leaving servers that stay in use because daemons handle several replies and shares at once.
func TestServersThatLeaveAtOnceAreNotUsed(t *testing.T) {
	const count = 40
	for _, daemons := range deploymentSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			var leaving []*worker.Server
			for range count {
				leaving = append(leaving, d.startServer("ledger", ""))
			}
			d.awaitSync()
			end := time.Now().Add(drainBound + time.Second)
			var group sync.WaitGroup
			group.Go(func() { d.sendReads(max(1, 120/daemons), end) })
			time.Sleep(100 * time.Millisecond)
			announced := time.Now()
			for i, server := range leaving {
				server.AnnounceLeaving()
				if i%4 == 0 {
					server.Drain()
				}
			}
			group.Wait()
			for _, server := range leaving {
				require.Zero(t, lateArrivals(server, announced), server.ID)
			}
		})
	}
}
