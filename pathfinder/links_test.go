package pathfinder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

// splitChain returns the engines of a complete chain in a and of one whose
// first half is in b and second half in c, so that some paths cross between
// data centres.
func splitChain() []cowslipproxy.Instance {
	engines := chains("a", "b")
	for i := 12; i < 16; i++ {
		engines[i].Centre = "c"
	}
	return engines
}

// runRequests chooses paths for a series of requests and reports to the finder
// whether their first events were late. It returns the time of the last request and
// the fraction of the paths that crossed between data centres.
func runRequests(t *testing.T, f *pathfinder.Finder, from time.Time, late func(crosses bool) bool) (time.Time, float64) {
	const requests = 300
	crossed := 0
	now := from
	for range requests {
		now = now.Add(20 * time.Millisecond)
		path, ok := f.Choose(now, need)
		require.True(t, ok)
		crosses := crossings(path, splitChain()) > 0
		if crosses {
			crossed++
		}
		if late(crosses) {
			_, _ = f.ReportLate(now, path)
		} else {
			f.ReportOnTime(now, path)
		}
	}
	return now, float64(crossed) / requests
}

// Guards against requests that keep using a link that became slow, so that their
// first events are late, and against a link that is avoided forever.
func TestSlowLinksAreAvoided(t *testing.T) {
	f := newFinder(splitChain())
	now, before := runRequests(t, f, start, func(bool) bool { return false })
	require.Greater(t, before, 0.1, "too few paths cross between data centres")
	slow := func(crosses bool) bool { return crosses }
	now, _ = runRequests(t, f, now, slow)
	now, during := runRequests(t, f, now, slow)
	require.Less(t, during, before/4)
	const longest = 10 * time.Second
	_, after := runRequests(t, f, now.Add(longest), func(bool) bool { return false })
	require.Greater(t, after, before/2)
}

// Guards against avoiding links while engines are overloaded: requests on all
// paths are late then, and avoiding links would leave fewer engines for them.
func TestLinksStayInUseDuringOverload(t *testing.T) {
	f := newFinder(splitChain())
	now, before := runRequests(t, f, start, func(bool) bool { return false })
	count := 0
	overload := func(bool) bool { count++; return count%4 != 0 }
	now, _ = runRequests(t, f, now, overload)
	_, during := runRequests(t, f, now, overload)
	require.Greater(t, during, before/2)
}

// Guards against refusing requests whose only path crosses an avoided link.
func TestAvoidedLinkIsUsedWithoutAlternative(t *testing.T) {
	f := newFinder(splitChain()[8:])
	slow := func(bool) bool { return true }
	now, _ := runRequests(t, f, start, slow)
	_, crossed := runRequests(t, f, now, slow)
	require.InDelta(t, 1, crossed, 0)
}

// Guards against a burst of requests that fills a link between data centres, as after a restart
// of all daemons: a link sends one prompt after another, so that each token of a stream that
// crosses it waits behind all of them. Plays 13 daemons that get 300 requests at once.
func TestBurstDoesNotFillLinks(t *testing.T) {
	engines := splitChain()
	const daemons = 13
	transfer := time.Duration(float64(need.Tokens) * profile.Activation * 8 / (profile.Pipe * 1e6) * float64(time.Second))
	var crossed int
	for i := range daemons {
		f := newFinder(engines)
		f.Random = rand.New(rand.NewPCG(uint64(i), 2))
		f.SetDaemons(daemons)
		for request := range 23 {
			path, ok := f.Choose(start.Add(time.Duration(request)*20*time.Millisecond), need)
			require.True(t, ok)
			f.Begin(path)
			crossed += crossings(path, engines)
		}
	}
	const burst, pause = 460 * time.Millisecond, 200 * time.Millisecond
	require.Less(t, time.Duration(crossed)*transfer, burst+pause, "%d of 299 requests crossed the link", crossed)
	require.Positive(t, crossed)
}

// Guards against load beyond the capacity of links that all paths must cross: the streams then
// slow each other until none is in time. Plays 13 daemons for 20 s at multiples of the capacity.
func TestLoadBeyondLinksWaits(t *testing.T) {
	engines := splitChain()[8:]
	const daemons, duration = 13, 20 * time.Second
	transfer := float64(need.Tokens) * profile.Activation * 8 / (profile.Pipe * 1e6) // seconds
	capacity := 1 / transfer                                                         // requests per second
	for _, load := range []float64{0.5, 1, 2, 4} {
		admitted, total := 0, 0
		for i := range daemons {
			random := rand.New(rand.NewPCG(uint64(i), 7))
			f := newFinder(engines)
			f.Random = random
			f.SetDaemons(daemons)
			for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * daemons / load / capacity * float64(time.Second)) {
				path, ok := f.Choose(start.Add(at), need)
				require.True(t, ok)
				total++
				if path.Wait == 0 {
					admitted++
				}
			}
			resumed := need
			resumed.IsResumed = true
			path, _ := f.Choose(start.Add(duration), resumed)
			require.Zero(t, path.Wait, "the rest of an answer waits behind new requests")
		}
		rate := float64(admitted) / duration.Seconds() / capacity
		t.Logf("load %.1f: %.2f of the capacity admitted", load, rate)
		require.Less(t, rate, 0.9, "load %v", load)
		require.Greater(t, rate, min(0.8*load, 0.6), "load %v: %d of %d requests", load, admitted, total)
	}
}
