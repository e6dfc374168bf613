package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Guards against a request that may not be repeated running twice, whatever
// its upstream does, and against a refusal of one that ran.
func TestUnsafeRequestsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, kind := range []worker.Kind{worker.KindReset, worker.KindBreak, worker.KindError, worker.KindGarbage, worker.KindFull, worker.KindUnsigned} {
		for _, server := range d.fleet.Servers("ledger") {
			server.Misbehave(kind)
		}
		for range 5 {
			got := d.send(d.daemons[0], query{path: fees + "1"})
			runs := d.fleet.RunsOf(got.id)
			require.LessOrEqual(t, len(runs), 1, kind)
			if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
				require.Empty(t, runs, "%s: refused although it ran", kind)
			}
			if kind == worker.KindFull {
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		}
	}
}

// Guards against a failed idempotent request that isn't tried again, and
// against more tries than the route allows.
func TestIdempotentRequestsAreTriedAgain(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	servers := d.fleet.Servers("ledger")
	for _, kind := range []worker.Kind{worker.KindReset, worker.KindBreak, worker.KindError, worker.KindFull} {
		servers[0].Misbehave(kind)
		for range 6 {
			got := d.send(d.daemons[0], query{method: http.MethodGet, path: reads + "1"})
			require.Equal(t, http.StatusOK, got.status, kind)
			require.Equal(t, worker.Text(got.id), got.body)
		}
	}
	for _, server := range servers {
		server.Misbehave(worker.KindError)
	}
	got := d.send(d.daemons[0], query{method: http.MethodGet, path: reads + "1"})
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Len(t, d.fleet.RunsOf(got.id), 2)
}

// Guards against upstreams that are given more time than the caller has left.
func TestUpstreamsGetTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, wait := range []time.Duration{900 * time.Millisecond, time.Minute} {
		got := d.send(d.daemons[0], query{path: fees + "1", wait: wait})
		left, err := strconv.Atoi(d.fleet.RunsOf(got.id)[0].Header.Get("X-Deadline-Ms"))
		require.NoError(t, err)
		// The route's timeout of 5 s holds where the caller would wait longer.
		require.LessOrEqual(t, time.Duration(left)*time.Millisecond, min(wait, 5*time.Second))
		require.Greater(t, left, 500)
	}
}

// Guards against retries of all requests together beyond the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	d := deployFloor(t, 1, 20)
	for _, server := range d.fleet.Servers("ledger") {
		server.Misbehave(worker.KindError)
	}
	const requests = 400
	var group sync.WaitGroup
	limit := make(chan struct{}, 16)
	for range requests {
		group.Go(func() {
			limit <- struct{}{}
			d.send(d.daemons[0], query{method: http.MethodGet, path: reads + "1"})
			<-limit
		})
	}
	group.Wait()
	settings := d.daemons[0].settings
	allowed := requests + int(settings.Retries*requests) + settings.Floor
	require.LessOrEqual(t, len(d.fleet.Runs()), allowed)
}

// Guards against requests that get no final answer when their time is over,
// although the upstream is silent, and against a refusal of what may have run.
func TestAnswerComesWhenTheTimeIsOver(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, server := range d.fleet.Servers("ledger") {
		server.Misbehave(worker.KindSlow)
	}
	const wait = 600 * time.Millisecond // less than a slow server takes
	begin := time.Now()
	got := d.send(d.daemons[0], query{path: fees + "1", wait: wait})
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(begin), wait+500*time.Millisecond)
}

// Guards against work that goes on after its caller has left.
func TestWorkEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(300*time.Millisecond, cancel)
	got := d.send(d.daemons[0], query{path: letters + "1", tokens: 10_000, ctx: ctx})
	require.Error(t, got.err)
	time.Sleep(leftBound)
	runs := d.fleet.RunsOf(got.id)
	require.Len(t, runs, 1)
	require.False(t, d.fleet.IsRunning(got.id), "an engine still works on the request")
}
