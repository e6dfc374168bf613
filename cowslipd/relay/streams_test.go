package relay_test

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/platform"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

func decodeAddresses(t *testing.T, data []byte) []netip.AddrPort {
	var found struct {
		Addresses []netip.AddrPort `json:"addresses"`
		Lifetime  float64          `json:"ttl_s"`
	}
	require.NoError(t, json.Unmarshal(data, &found))
	require.Positive(t, found.Lifetime)
	return found.Addresses
}

// Guards against paths that skip a layer, run one twice or run them out of order.
func TestPathsRunEachLayerOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for range 20 {
		for _, node := range d.daemons {
			got := d.send(node, call{path: lettersPath + "1", tokens: 5})
			require.Equal(t, streamBody(got.id, 1, 5), got.body)
		}
	}
	checkPaths(t, d.fleet.Runs())
}

func checkPaths(t *testing.T, runs []worker.Run) {
	for _, run := range runs {
		text := run.Header.Get("X-Hop-Count")
		if text == "" {
			continue
		}
		nextLayer := "0"
		seen := map[string]bool{}
		for _, part := range strings.Split(text, ",") {
			address, span, _ := strings.Cut(part, "=")
			from, target, _ := strings.Cut(span, "-")
			require.Equal(t, nextLayer, from, text)
			require.False(t, seen[address], text)
			seen[address], nextLayer = true, target
		}
		require.Equal(t, "12", nextLayer, text)
	}
}

// Guards against events that are lost, duplicated or truncated when a stream
// resumes at another engine.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.enginesAt(0)[0].SetFault(worker.FaultBreak)
	resumed := 0
	for range 20 {
		got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 20})
		require.Equal(t, http.StatusOK, got.status)
		require.NoError(t, got.err)
		require.Equal(t, streamBody(got.id, 1, 20), got.body)
		if len(d.fleet.RunsOf(got.id)) > 1 {
			resumed++
		}
	}
	require.Positive(t, resumed)
}

// Guards against streams without length or chunks that break off and look complete.
func TestUnframedStreamThatBreaksOffIsResumed(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.enginesAt(0)[0].SetFault(worker.FaultUnframed)
	resumed := 0
	for range 20 {
		got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 20})
		require.NoError(t, got.err)
		require.Equal(t, streamBody(got.id, 1, 20), got.body)
		if len(d.fleet.RunsOf(got.id)) > 1 {
			resumed++
		}
	}
	require.Positive(t, resumed)
}

// Guards against a stream resumed by the caller that starts over or skips events.
func TestCallerResumesStream(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 9, lastEventID: "4"})
	require.Equal(t, streamBody(got.id, 5, 9), got.body)
}

// Guards against a stream that ends regularly although it broke off and could not
// be resumed.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, server := range d.fleet.Servers("scribe") {
		server.SetFault(worker.FaultBreak)
	}
	got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 40})
	require.Equal(t, http.StatusOK, got.status)
	require.Error(t, got.err)
	require.True(t, strings.HasPrefix(streamBody(got.id, 1, 40), got.body), "a partial event was sent to the caller")
}

// Guards against streams that end because an engine in the middle of their path
// failed. The other engines of the path keep their state, and callers disconnect
// after a pause of 2 s.
func TestPathIsReroutedAfterEngineFailure(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	wait := d.startStreams(12)
	time.Sleep(500 * time.Millisecond)
	d.enginesAt(smallKindLayers)[0].SetFault(worker.FaultStall)
	wait()
}

// Guards against requests that are sent again, and whose whole prompt is prefilled
// again, because an engine of their path refuses the new path: an engine that
// unloads its layers only completes the requests on its current paths.
func TestRerouteReplacesMovedEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	wait := d.startStreams(8)
	time.Sleep(500 * time.Millisecond)
	engines := &platform.Engines{Transport: http.DefaultTransport}
	moved := d.enginesAt(2 * smallKindLayers)[0]
	to := cowslipproxy.LayerRange{First: smallKindLayers, End: 2 * smallKindLayers}
	require.NoError(t, engines.Place(t.Context(), cowslipproxy.Instance{ID: moved.ID, Address: moved.Address}, to, moved.AcceptedOrders()))
	time.Sleep(200 * time.Millisecond) // it unloads its layers at once and loads the new ones
	d.enginesAt(smallKindLayers)[0].SetFault(worker.FaultStall)
	for _, got := range wait() {
		require.Len(t, d.fleet.RunsOf(got.id), 1, "the request was sent again")
	}
}

// Guards against the daemon ending a stream because an engine is silent, although
// no retry is allowed. The engine may still continue the stream, or end it itself.
func TestStalledStreamIsKeptWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	const minDuration = 2 * time.Second // engines end a request that waits for a dead engine later than this
	d := deployWithFloor(t, 1, 0)
	for _, server := range d.enginesAt(smallKindLayers) {
		server.SetFault(worker.FaultStall)
	}
	var group sync.WaitGroup
	took := make([]time.Duration, 6)
	for i := range took {
		group.Go(func() {
			begin := time.Now()
			got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: 20})
			if took[i] = time.Since(begin); got.body == streamBody(got.id, 1, 20) {
				took[i] = minDuration + 1 // layers were reloaded, and an allowed retry succeeded
			}
		})
	}
	group.Wait()
	for _, duration := range took {
		require.Greater(t, duration, minDuration)
	}
}

// Guards against an answer that is lost because engines refuse its resumption for a while.
func TestRefusedStreamIsResumedOnceAnEngineAccepts(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	wait := d.startStreams(8)
	time.Sleep(500 * time.Millisecond)
	entries := d.enginesAt(0)
	for _, engine := range entries {
		engine.SetFault(worker.FaultFull)
	}
	time.AfterFunc(time.Second, func() {
		for _, engine := range entries {
			engine.SetFault(worker.FaultNone)
		}
	})
	entries[0].Crash()
	wait()
}

// Guards against an answer that is lost because an engine of its only path was silent.
func TestStalledStreamIsKeptWithoutAnotherPath(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	wait := d.startStreams(4)
	time.Sleep(500 * time.Millisecond)
	for _, engine := range d.enginesAt(0) {
		engine.SetFault(worker.FaultFull)
	}
	stalled := d.enginesAt(smallKindLayers)
	for _, engine := range stalled {
		engine.SetFault(worker.FaultStall)
	}
	time.AfterFunc(1200*time.Millisecond, func() {
		for _, engine := range stalled {
			engine.SetFault(worker.FaultNone)
		}
	})
	wait()
}
