package pathfinder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

// halves returns engines of a whole chain in a, and of one of which b holds the
// first and c the second half, so that some paths cross between data centres.
func halves() []cowslipproxy.Instance {
	engines := chains("a", "b")
	for i := 12; i < 16; i++ {
		engines[i].Centre = "c"
	}
	return engines
}

// meet chooses paths one after the other, and tells the finder how their first
// events came. It returns the part of the paths that crossed between data
// centres.
func meet(t *testing.T, f *pathfinder.Finder, from time.Time, late func(crosses bool) bool) (time.Time, float64) {
	const requests = 300
	crossed := 0
	now := from
	for range requests {
		now = now.Add(20 * time.Millisecond)
		path, ok := f.Choose(now, need)
		require.True(t, ok)
		crosses := crossings(path, halves()) > 0
		if crosses {
			crossed++
		}
		if late(crosses) {
			_, _ = f.Late(now, path)
		} else {
			f.InTime(now, path)
		}
	}
	return now, float64(crossed) / requests
}

// Guards against requests that go on over a pipe that became slow, where none
// gets its first event in time, and against a pipe that is avoided for ever.
func TestSlowPipesAreAvoided(t *testing.T) {
	f := finder(halves())
	now, before := meet(t, f, start, func(bool) bool { return false })
	require.Greater(t, before, 0.1, "too few paths cross")
	slow := func(crosses bool) bool { return crosses }
	now, _ = meet(t, f, now, slow)
	now, during := meet(t, f, now, slow)
	require.Less(t, during, before/4)
	const longest = 10 * time.Second
	_, after := meet(t, f, now.Add(longest), func(bool) bool { return false })
	require.Greater(t, after, before/2)
}

// Guards against pipes that are avoided although engines are overloaded: then
// requests on all paths are late, and the rest gets less engines still.
func TestPipesAreKeptInAnOverload(t *testing.T) {
	f := finder(halves())
	now, before := meet(t, f, start, func(bool) bool { return false })
	count := 0
	overload := func(bool) bool { count++; return count%4 != 0 }
	now, _ = meet(t, f, now, overload)
	_, during := meet(t, f, now, overload)
	require.Greater(t, during, before/2)
}

// Guards against requests that are refused since the only way crosses a pipe
// that is avoided.
func TestOnlyWayIsTaken(t *testing.T) {
	f := finder(halves()[8:])
	slow := func(bool) bool { return true }
	now, _ := meet(t, f, start, slow)
	_, crossed := meet(t, f, now, slow)
	require.InDelta(t, 1, crossed, 0)
}
