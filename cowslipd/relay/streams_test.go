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

func addresses(t *testing.T, data []byte) []netip.AddrPort {
	var found struct {
		Addresses []netip.AddrPort `json:"addresses"`
		Lifetime  float64          `json:"ttl_s"`
	}
	require.NoError(t, json.Unmarshal(data, &found))
	require.Positive(t, found.Lifetime)
	return found.Addresses
}

// Guards against paths that leave out a layer, run one twice or out of order.
func TestPathsRunEachLayerOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	for range 20 {
		for _, one := range d.daemons {
			got := d.send(one, query{path: letters + "1", tokens: 5})
			require.Equal(t, events(got.id, 1, 5), got.body)
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
		at := "0"
		seen := map[string]bool{}
		for _, part := range strings.Split(text, ",") {
			address, span, _ := strings.Cut(part, "=")
			from, target, _ := strings.Cut(span, "-")
			require.Equal(t, at, from, text)
			require.False(t, seen[address], text)
			seen[address], at = true, target
		}
		require.Equal(t, "12", at, text)
	}
}

// Guards against pieces that are lost, doubled or cut when a stream goes on at
// another engine.
func TestBrokenStreamGoesOn(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.holders(0)[0].Misbehave(worker.KindBreak)
	resumed := 0
	for range 20 {
		got := d.send(d.daemons[0], query{path: letters + "1", tokens: 20})
		require.Equal(t, http.StatusOK, got.status)
		require.NoError(t, got.err)
		require.Equal(t, events(got.id, 1, 20), got.body)
		if len(d.fleet.RunsOf(got.id)) > 1 {
			resumed++
		}
	}
	require.Positive(t, resumed)
}

// Guards against a caller's own resumption that starts again or skips events.
func TestCallerResumesStream(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	got := d.send(d.daemons[0], query{path: letters + "1", tokens: 9, last: "4"})
	require.Equal(t, events(got.id, 5, 9), got.body)
}

// Guards against an answer that looks whole although it broke off and could
// not be ended.
func TestLostStreamDoesNotLookWhole(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, server := range d.fleet.Servers("scribe") {
		server.Misbehave(worker.KindBreak)
	}
	got := d.send(d.daemons[0], query{path: letters + "1", tokens: 40})
	require.Equal(t, http.StatusOK, got.status)
	require.Error(t, got.err)
	require.True(t, strings.HasPrefix(events(got.id, 1, 40), got.body), "a part of an event was passed on")
}

// Guards against streams that end because an engine in the middle of their
// path died: the others of the path keep what they have, and callers leave
// after a pause of 2 s.
func TestPathChangesAroundADeadEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2)
	wait := d.streams(12)
	time.Sleep(500 * time.Millisecond)
	d.holders(contract)[0].Misbehave(worker.KindStall)
	wait()
}

// Guards against streams that begin anew, and read their whole prompt again,
// since an engine of their path refuses to be named in a changed one: it gives
// up its layers and only ends what passes through it.
func TestPathChangesAroundAMovedEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	wait := d.streams(8)
	time.Sleep(500 * time.Millisecond)
	engines := &platform.Engines{Transport: http.DefaultTransport}
	moved := d.holders(2 * contract)[0]
	to := cowslipproxy.LayerRange{First: contract, End: 2 * contract}
	require.NoError(t, engines.Place(t.Context(), cowslipproxy.Instance{ID: moved.ID, Address: moved.Address}, to, moved.Orders()))
	time.Sleep(200 * time.Millisecond) // it gives up its layers at once and loads the others
	d.holders(contract)[0].Misbehave(worker.KindStall)
	for _, got := range wait() {
		require.Len(t, d.fleet.RunsOf(got.id), 1, "the request was sent anew")
	}
}

// Guards against answers that the daemon ends since an engine is silent, though
// no further try is allowed: the engine may go on, or ends them itself.
func TestSilentEngineIsAwaited(t *testing.T) {
	t.Parallel()
	const ends = 2 * time.Second // engines end requests that wait for a dead one later
	d := deployFloor(t, 1, 0)
	for _, server := range d.holders(contract) {
		server.Misbehave(worker.KindStall)
	}
	var group sync.WaitGroup
	took := make([]time.Duration, 6)
	for i := range took {
		group.Go(func() {
			begin := time.Now()
			got := d.send(d.daemons[0], query{path: letters + "1", tokens: 20})
			if took[i] = time.Since(begin); got.body == events(got.id, 1, 20) {
				took[i] = ends + 1 // layers were loaded again, and a granted try was served
			}
		})
	}
	group.Wait()
	for _, one := range took {
		require.Greater(t, one, ends)
	}
}
