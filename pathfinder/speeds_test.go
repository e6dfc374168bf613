package pathfinder_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

const slowFactor = 12.0

// slowdowns marks engines as slow.
func slowdowns(engines ...cowslipproxy.Instance) map[string]float64 {
	slow := map[string]float64{}
	for _, e := range engines {
		slow[e.Incarnation()] = slowFactor
	}
	return slow
}

// countSlow returns how many of some new paths include a slow engine.
func countSlow(t *testing.T, now time.Time, f *pathfinder.Finder, slow map[string]float64) (count int) {
	for i := range 100 {
		path, ok := f.Choose(now.Add(time.Duration(i)*10*time.Millisecond), need)
		require.True(t, ok)
		for _, hop := range path.Hops {
			if slow[hop.Incarnation()] > 0 {
				count++
				break
			}
		}
	}
	return count
}

// Guards against new requests on slow engines while others suffice, and against engines that get none
// after they have recovered.
func TestSlowEnginesGetNoNewRequests(t *testing.T) {
	engines := chains("a", "a", "a", "a")
	f := newFinder(engines)
	slow := slowdowns(engines[2], engines[13], engines[20])
	require.Positive(t, countSlow(t, start, f, slow))
	f.SetSlowdowns(slow)
	require.Zero(t, countSlow(t, start, f, slow))
	f.Set(profile, engines) // a change of the list keeps the slowdowns
	require.Zero(t, countSlow(t, start, f, slow))
	f.SetSlowdowns(nil)
	require.Positive(t, countSlow(t, start.Add(2*time.Second), f, slow))
}

// Guards against an overload of the other engines when many are slow, and against layers without a path
// when their only engine is slow.
func TestSlowEnginesWorkIfOthersDoNotSuffice(t *testing.T) {
	engines := chains("a", "a")
	f := newFinder(engines)
	half := slowdowns(engines[:8]...)
	f.SetSlowdowns(half)
	require.Positive(t, countSlow(t, start, f, half))
	single := chains("a", "a")[:15] // engine 7 is the only one for its layers
	f = newFinder(single)
	slow := slowdowns(single[7])
	f.SetSlowdowns(slow)
	require.Equal(t, 100, countSlow(t, start, f, slow))
}

// Guards against streams that stay on a slow engine for most of their answer, and against moves that
// take longer than the rest of the answer.
func TestStreamsLeaveSlowEnginesIfThatSavesTime(t *testing.T) {
	engines := chains("a", "a", "a", "a")
	f := newFinder(engines)
	path, ok := f.Choose(start, need)
	require.True(t, ok)
	slow := map[string]float64{path.Hops[0].Incarnation(): slowFactor, path.Hops[3].Incarnation(): slowFactor}
	f.SetSlowdowns(slow)
	require.Equal(t, []netip.AddrPort{path.Hops[3].Address}, f.EnginesToLeave(path, 100), "the first engine can't be replaced")
	f.SetSlowdowns(map[string]float64{path.Hops[3].Incarnation(): 2})
	require.Empty(t, f.EnginesToLeave(path, 2))
	f.SetSlowdowns(slow)
	rerouted, ok := f.Reroute(start, path, f.EnginesToLeave(path, 100))
	require.True(t, ok)
	for _, hop := range rerouted.Hops[1:] {
		require.Zero(t, slow[hop.Incarnation()])
	}
}
