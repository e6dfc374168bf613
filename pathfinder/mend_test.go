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

// Guards against a mended path that changes more than the dead engine's part,
// or that has the dead engine or one that stands in the path already.
func TestMend(t *testing.T) {
	engines := chains("a", "b")
	f := finder(engines)
	path, ok := f.Choose(start, need)
	require.True(t, ok)
	dead := path.Hops[4]
	f.Broken(start, dead.Address)
	mended, ok := f.Mend(start, path, []netip.AddrPort{dead.Address})
	require.True(t, ok)
	var ranges []cowslipproxy.LayerRange
	for i, hop := range mended.Hops {
		ranges = append(ranges, hop.Range)
		require.NotEqual(t, dead.Instance, hop.Instance)
		if i != 4 {
			require.Equal(t, path.Hops[i], hop)
		}
	}
	require.NoError(t, cowslipproxy.CheckTiling(ranges, 80))
	_, ok = f.Mend(start, path, []netip.AddrPort{path.First().Address})
	require.False(t, ok, "the first engine can't be replaced")
}

// Guards against streams that pause for longer than callers accept since those
// of a dead engine all go to the same other one, or fill the pipes between data
// centres when their tokens are read anew. Plays the death of an engine under 45
// streams of 15 daemons that don't know of each other.
func TestMendsAreSpread(t *testing.T) {
	const daemons, streams = 15, 3
	engines := chains("a", "a", "a", "b", "b", "c", "c")
	const dead = 4                              // the fifth engine of the first chain
	busy := map[string]float64{}                // milliseconds by engine and by pipe
	const readTime = 926*8.2/252. + 2*2*0.85*16 // of all layers
	const transfer = 926 * 22_900 * 8 / 7_900e3
	share := 10. / 80
	for daemon := range uint64(daemons) {
		f := &pathfinder.Finder{Centre: "a", Random: rand.New(rand.NewPCG(daemon, 2))}
		f.Set(profile, engines[:8]) // so that paths go through the engine
		var paths []*pathfinder.Path
		for range streams {
			path, ok := f.Choose(start, need)
			require.True(t, ok)
			f.Begin(path)
			paths = append(paths, path)
		}
		f.Set(profile, engines)
		f.Broken(start, engines[dead].Address)
		for _, path := range paths {
			mended, ok := f.Mend(start, path, []netip.AddrPort{engines[dead].Address})
			require.True(t, ok)
			f.End(path)
			f.Begin(mended)
			centre := "a"
			for _, hop := range mended.Hops {
				at := slices.IndexFunc(engines, func(e cowslipproxy.Instance) bool { return e.ID == hop.Instance })
				if at < 8 {
					continue
				}
				busy[hop.Instance] += readTime * float64(hop.Range.Len()) / 80
				if engines[at].Centre != centre {
					busy["pipe "+engines[at].Centre] += transfer
				}
			}
		}
	}
	longest := 0.0
	for _, time := range busy {
		longest = max(longest, time)
	}
	// With perfect knowledge both other engines of the data centre and both pipes
	// would be busy all the time.
	ideal := daemons * streams / (2/(readTime*share) + 2/transfer)
	require.Less(t, longest, 2*ideal)
}
