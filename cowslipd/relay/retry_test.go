package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against executing an unsafe request twice when its upstream fails, and
// against refusing a request that was executed.
func TestUnsafeRequestsAreExecutedAtMostOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, kind := range []worker.Fault{worker.FaultReset, worker.FaultBreak, worker.FaultError, worker.FaultGarbage, worker.FaultFull, worker.FaultUnsigned} {
		for _, server := range d.fleet.Servers("ledger") {
			server.SetFault(kind)
		}
		for range 5 {
			got := d.send(d.daemons[0], call{path: feesPath + "1"})
			runs := d.fleet.RunsOf(got.id)
			require.LessOrEqual(t, len(runs), 1, kind)
			if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
				require.Empty(t, runs, "%s: refused although it was executed", kind)
			}
			if kind == worker.FaultFull {
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		}
	}
}

// Guards against a failed idempotent request that is not retried, and against
// more attempts than the route allows.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	servers := d.fleet.Servers("ledger")
	for _, kind := range []worker.Fault{worker.FaultReset, worker.FaultBreak, worker.FaultError, worker.FaultFull} {
		servers[0].SetFault(kind)
		for range 6 {
			got := d.send(d.daemons[0], call{method: http.MethodGet, path: readsPath + "1"})
			require.Equal(t, http.StatusOK, got.status, kind)
			require.Equal(t, worker.ResponseBody(got.id), got.body)
		}
	}
	for _, server := range servers {
		server.SetFault(worker.FaultError)
	}
	got := d.send(d.daemons[0], call{method: http.MethodGet, path: readsPath + "1"})
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Len(t, d.fleet.RunsOf(got.id), 2)
}

// Guards against a deadline for the upstream that is later than the caller's.
func TestUpstreamsGetRemainingTime(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, wait := range []time.Duration{900 * time.Millisecond, time.Minute} {
		got := d.send(d.daemons[0], call{path: feesPath + "1", wait: wait})
		left, err := strconv.Atoi(d.fleet.RunsOf(got.id)[0].Header.Get("X-Deadline-Ms"))
		require.NoError(t, err)
		// The route's timeout of 5 s applies if the caller's deadline is later.
		require.LessOrEqual(t, time.Duration(left)*time.Millisecond, min(wait, 5*time.Second))
		require.Greater(t, left, 500)
	}
}

// Guards against more retries of all requests together than the budget allows.
func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	d := deployWithFloor(t, 1, 20)
	for _, server := range d.fleet.Servers("ledger") {
		server.SetFault(worker.FaultError)
	}
	const requests = 400
	var group sync.WaitGroup
	limit := make(chan struct{}, 16)
	for range requests {
		group.Go(func() {
			limit <- struct{}{}
			d.send(d.daemons[0], call{method: http.MethodGet, path: readsPath + "1"})
			<-limit
		})
	}
	group.Wait()
	settings := d.daemons[0].settings
	allowed := requests + int(settings.Retries*requests) + int(settings.Floor)
	require.LessOrEqual(t, len(d.fleet.Runs()), allowed)
}

// Guards against a request to a silent upstream that gets no final answer at its
// deadline, and against refusing a request that may have been executed.
func TestSilentUpstreamTimesOutAtDeadline(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, server := range d.fleet.Servers("ledger") {
		server.SetFault(worker.FaultSlow)
	}
	const wait = 600 * time.Millisecond // less than a slow server takes
	begin := time.Now()
	got := d.send(d.daemons[0], call{path: feesPath + "1", wait: wait})
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(begin), wait+500*time.Millisecond)
}

// Guards against engines that keep executing a request after its caller
// disconnected.
func TestDisconnectCancelsRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := fmt.Sprintf("%016x", d.ids.Load()+1)
	go func() {
		for !d.fleet.IsStreaming(next) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 10_000, ctx: ctx})
	require.Error(t, got.err)
	require.Equal(t, next, got.id)
	time.Sleep(disconnectBound)
	runs := d.fleet.RunsOf(got.id)
	require.Len(t, runs, 1)
	require.False(t, d.fleet.IsStreaming(got.id), "an engine still executes the request")
}

// Guards against requests that fail because the daemon that has them may make no more retries,
// while all daemons together may make many: in a large fleet, the part of each one is a few.
func TestRetriesOfOneDaemonUseSharedBudget(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{4, 15} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deployWithFloor(t, daemons, 400)
			servers := d.fleet.Servers("ledger")
			for i := range 60 { // 20 requests a second; a server fails in turn, so that most need a retry
				servers[i%2].SetFault(worker.FaultError)
				servers[(i+1)%2].SetFault(worker.FaultNone)
				got := d.send(d.daemons[1], call{method: http.MethodGet, path: readsPath + "1"})
				require.Equal(t, http.StatusOK, got.status, "request %d", i)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
}

// Guards against more retries than the budget allows when all daemons need them.
func TestRetriesOfFleetStayWithinBudget(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{4, 15} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			const floor, requests = 30, 20
			d := deployWithFloor(t, daemons, floor)
			for _, server := range d.fleet.Servers("ledger") {
				server.SetFault(worker.FaultError)
			}
			var group sync.WaitGroup
			for _, node := range d.daemons {
				group.Go(func() {
					for range requests {
						d.send(node, call{method: http.MethodGet, path: readsPath + "1"})
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			group.Wait()
			total := daemons * requests
			allowed := total + int(d.daemons[0].settings.Retries*float64(total)) + floor
			require.LessOrEqual(t, len(d.fleet.Runs()), allowed)
			require.Greater(t, len(d.fleet.Runs()), total, "no request was sent again")
		})
	}
}

// Guards against attempts that no upstream got and that use up the retries of others: with the
// upstream's port closed, nothing arrives there.
func TestRefusedConnectionsAreNoRetries(t *testing.T) {
	t.Parallel()
	d := deployWithFloor(t, 1, 0)
	d.fleet.Servers("ledger")[0].Crash()
	for i := range 20 {
		got := d.send(d.daemons[0], call{method: http.MethodGet, path: readsPath + "1"})
		require.Equal(t, http.StatusOK, got.status, "request %d", i)
	}
}
