package relay_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Bounds that the platform's rules state for a server that names a limit.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5 // allowed requests in limitWindow, as a multiple of those that the limit allows
	limitExtra     = 5   // requests that are allowed besides
	promptRefusal  = 500 * time.Millisecond
	limitedTraffic = 14 * time.Second
)

const (
	namedLimit       = 3.0 // requests per second
	limitedInterval  = 25 * time.Millisecond
	limitedTokens    = 20
	liftedArrivals   = 2 * namedLimit // requests per second at a server whose limit has ended, at least
	limitedEngines   = 2
	unlimitedEngines = 2
)

// mostArrivals returns the largest number of requests that reached a server within any
// limitWindow after a time.
func mostArrivals(server *worker.Server, after time.Time) (most int) {
	first := 0
	arrivals := server.Arrivals()
	for i, at := range arrivals {
		for arrivals[first].Before(after) || at.Sub(arrivals[first]) > limitWindow {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// arrivalsSince returns the number of requests that reached a server after a time.
func arrivalsSince(server *worker.Server, after time.Time) (count int) {
	for _, at := range server.Arrivals() {
		if at.After(after) {
			count++
		}
	}
	return count
}

// requireLimitKept checks that a server that named a limit at a time got no more requests
// than the platform allows.
func requireLimitKept(t *testing.T, server *worker.Server, namedAt time.Time) {
	allowed := limitFactor*namedLimit*limitWindow.Seconds() + limitExtra
	most := mostArrivals(server, namedAt.Add(stabilityWindow))
	t.Logf("%s with a limit of %v a second got at most %d requests in %v, %.0f allowed", server.ID, namedLimit, most, limitWindow, allowed)
	require.LessOrEqual(t, float64(most), allowed)
}

// deployForLimits deploys daemons with several engines for each range of layers.
func deployForLimits(t *testing.T, daemons int) *deployment {
	d := deploy(t, daemons)
	for range (limitedEngines + unlimitedEngines - 2) * layers / smallKindLayers {
		d.startServer("scribe", "small")
	}
	d.awaitSync()
	for _, node := range d.daemons {
		require.Eventually(t, func() bool { return d.knownEnginesAt(node, 0) >= limitedEngines+unlimitedEngines }, waitLimit, 100*time.Millisecond)
	}
	return d
}

// knownEnginesAt returns the number of engines whose layer range begins at the given layer, as
// far as a daemon knows.
func (d *deployment) knownEnginesAt(node *daemon, first int) (count int) {
	for _, instance := range d.dump(node).Instances {
		if instance.HasLayers() && instance.Range.First == first {
			count++
		}
	}
	return count
}

// Guards against a limit that each daemon keeps for itself, and needless refusals.
func TestUpstreamLimitBindsAllDaemons(t *testing.T) {
	forEachSize(t, func(t *testing.T, daemons int) {
		d := deployForLimits(t, daemons)
		limited := d.enginesAt(0)[:limitedEngines]
		for _, server := range limited {
			server.SetLimit(namedLimit)
		}
		namedAt := time.Now()
		var traffic soundTraffic
		repeat(limitedInterval, namedAt.Add(limitedTraffic), func(number int) { d.sendLimited(&traffic, number) })
		served, sent := traffic.served(namedAt, time.Now())
		t.Logf("%d daemons: %d of %d requests served", daemons, served, sent)
		require.Equal(t, sent, served, "requests were refused while other engines were free")
		for _, server := range limited {
			requireLimitKept(t, server, namedAt)
			require.Positive(t, arrivalsSince(server, time.Now().Add(-limitWindow)), "the end of the limit would not be noticed")
			server.LiftLimit()
		}
		liftedAt := time.Now()
		repeat(limitedInterval, liftedAt.Add(2*stabilityWindow), func(number int) { d.sendLimited(&traffic, number) })
		arrivals := 0
		for _, server := range limited {
			arrivals += arrivalsSince(server, liftedAt.Add(stabilityWindow))
		}
		require.Greater(t, float64(arrivals), limitedEngines*liftedArrivals*stabilityWindow.Seconds(), "the end of the limits was not noticed")
	})
}

func (d *deployment) sendLimited(traffic *soundTraffic, number int) {
	at := time.Now()
	got := d.send(d.daemons[number%len(d.daemons)], call{path: lettersPath + "1", tokens: limitedTokens})
	served := got.err == nil && got.body == streamBody(got.id, 1, limitedTokens)
	if !served {
		d.t.Logf("request %s was not served after %v: status %d, error %v, body %q", got.id, time.Since(at), got.status, got.err, got.body)
	}
	traffic.add(at, served)
}

// Guards against requests that wait for upstreams at their limits until they time out.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4)
	for name, test := range map[string]struct {
		servers []*worker.Server
		call    call
	}{
		"streams": {d.enginesAt(0), call{path: lettersPath + "1", tokens: limitedTokens}},
		"plain":   {d.fleet.Servers("ledger"), call{method: http.MethodGet, path: readsPath + "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, server := range test.servers {
				server.SetLimit(namedLimit)
			}
			namedAt := time.Now()
			var mu sync.Mutex
			served := 0
			repeat(limitedInterval, namedAt.Add(limitedTraffic), func(number int) {
				at := time.Now()
				got := d.send(d.daemons[number%len(d.daemons)], test.call)
				mu.Lock()
				defer mu.Unlock()
				if got.status == http.StatusOK {
					served++
				} else if at.After(namedAt.Add(stabilityWindow)) {
					requireRefusal(t, d, got, time.Since(at))
				}
			})
			for _, server := range test.servers {
				requireLimitKept(t, server, namedAt)
			}
			possible := float64(len(test.servers)) * namedLimit * limitedTraffic.Seconds()
			t.Logf("%d requests served, %.0f by the limits", served, possible)
			require.Greater(t, float64(served), possible/2, "most of the limits is unused")
		})
	}
}

// requireRefusal checks that a request was refused at once, with a Retry-After, and that it
// did not run.
func requireRefusal(t *testing.T, d *deployment, got result, took time.Duration) {
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, d.fleet.RunsOf(got.id))
	require.Less(t, took, promptRefusal)
}

// Guards against questions to a stalled upstream that do not count towards its limit.
func TestReportsOfUpstreamsCountTowardsLimit(t *testing.T) {
	t.Parallel()
	d := deploy(t, 15)
	for _, server := range d.enginesAt(0) {
		server.SetLimit(namedLimit)
	}
	d.enginesAt(smallKindLayers)[0].SetFault(worker.FaultStall)
	namedAt := time.Now()
	repeat(limitedInterval, namedAt.Add(limitedTraffic), func(number int) {
		d.send(d.daemons[number%len(d.daemons)], call{path: lettersPath + "1", tokens: limitedTokens})
	})
	for _, server := range d.enginesAt(0) {
		requireLimitKept(t, server, namedAt)
	}
}
