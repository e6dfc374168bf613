package pathfinder_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

// Guards against a rerouted path that changes more than the failed engine's
// segment, or that uses the failed engine or an engine twice.
func TestRerouteReplacesOnlyFailedEngine(t *testing.T) {
	engines := chains("a", "b")
	f := newFinder(engines)
	path, ok := f.Choose(start, need)
	require.True(t, ok)
	failed := path.Hops[4]
	f.ReportFailure(start, failed.Address)
	rerouted, ok := f.Reroute(start, path, []netip.AddrPort{failed.Address})
	require.True(t, ok)
	var ranges []cowslipproxy.LayerRange
	for i, hop := range rerouted.Hops {
		ranges = append(ranges, hop.Range)
		require.NotEqual(t, failed.Instance, hop.Instance)
		if i != 4 {
			require.Equal(t, path.Hops[i], hop)
		}
	}
	require.NoError(t, cowslipproxy.CheckTiling(ranges, 80))
	_, ok = f.Reroute(start, path, []netip.AddrPort{path.First().Address})
	require.False(t, ok, "the first engine can't be replaced")
}

// Guards against streams that pause for longer than callers accept after an
// engine fails: because all its streams move to the same substitute, or because
// repeating the prefill saturates the links between data centres. Simulates the
// failure of an engine with 45 streams of 15 daemons that do not coordinate.
func TestReroutesAreSpread(t *testing.T) {
	const daemons, streams = 15, 3
	engines := chains("a", "a", "a", "b", "b", "c", "c")
	const failed = 4                               // the fifth engine of the first chain
	busyTime := map[string]float64{}               // busy milliseconds by engine and by link
	const prefillTime = 926*8.2/252. + 2*2*0.85*16 // for all layers
	const transfer = 926 * 22_900 * 8 / 7_900e3
	layerShare := 10. / 80
	for daemon := range uint64(daemons) {
		f := &pathfinder.Finder{Centre: "a", Random: rand.New(rand.NewPCG(daemon, 2))}
		f.Set(profile, engines[:8]) // so that all paths use this chain
		var paths []*pathfinder.Path
		for range streams {
			path, ok := f.Choose(start, need)
			require.True(t, ok)
			f.Begin(path)
			paths = append(paths, path)
		}
		f.Set(profile, engines)
		f.ReportFailure(start, engines[failed].Address)
		for _, path := range paths {
			rerouted, ok := f.Reroute(start, path, []netip.AddrPort{engines[failed].Address})
			require.True(t, ok)
			f.End(path)
			f.Begin(rerouted)
			centre := "a"
			for _, hop := range rerouted.Hops {
				at := slices.IndexFunc(engines, func(e cowslipproxy.Instance) bool { return e.ID == hop.Instance })
				if at < 8 {
					continue
				}
				busyTime[hop.Instance] += prefillTime * float64(hop.Range.Len()) / 80
				if engines[at].Centre != centre {
					busyTime["link "+engines[at].Centre] += transfer
				}
			}
		}
	}
	longest := 0.0
	for _, time := range busyTime {
		longest = max(longest, time)
	}
	// With perfect coordination, both other engines of the data centre and both
	// links would be busy all the time.
	ideal := daemons * streams / (2/(prefillTime*layerShare) + 2/transfer)
	require.Less(t, longest, 2*ideal)
}
