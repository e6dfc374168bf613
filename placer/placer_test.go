package placer_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/placer"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// profile holds the engine data that the platform's documentation states.
var profile = cowslipproxy.EngineProfile{
	Layers: 80, LayerSize: 1750, TokenSize: 459_000, Loads: 6,
	Kinds: map[string]cowslipproxy.AcceleratorKind{"a100s": {Memory: 36_000, Pace: 3.1}, "l4": {Memory: 21_600, Pace: 16}, "t4": {Memory: 14_400, Pace: 15}},
}

func fleet(counts map[string]map[string]int) []placer.Engine {
	var engines []placer.Engine
	for centre, kinds := range counts {
		for kind, count := range kinds {
			for i := range count {
				engines = append(engines, placer.Engine{ID: fmt.Sprintf("%s-%s-%d", centre, kind, i), Centre: centre, Kind: kind})
			}
		}
	}
	slices.SortFunc(engines, func(a, b placer.Engine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

func referenceFleet() []placer.Engine {
	return fleet(map[string]map[string]int{
		"a": {"a100s": 3, "l4": 3, "t4": 5}, "b": {"a100s": 1, "l4": 5, "t4": 8}, "c": {"a100s": 1, "l4": 7, "t4": 5},
	})
}

func apply(engines []placer.Engine, moves []placer.Move) {
	for _, move := range moves {
		for i := range engines {
			if engines[i].ID == move.ID {
				engines[i].Range = move.Range
			}
		}
	}
}

// copies counts the engines that hold each layer, in one data centre or, if
// centre is empty, in all.
func copies(engines []placer.Engine, centre string) []int {
	count := make([]int, profile.Layers)
	for _, e := range engines {
		if centre != "" && e.Centre != centre {
			continue
		}
		for layer := e.Range.First; layer < e.Range.End; layer++ {
			count[layer]++
		}
	}
	return count
}

// Guards against an initial placement that omits a layer, orders an engine to
// hold more than fits, or makes all paths cross between data centres.
func TestInitialPlacementCoversAllLayers(t *testing.T) {
	engines := referenceFleet()
	apply(engines, placer.Plan(profile, engines, 6))
	for _, e := range engines {
		require.Positive(t, e.Range.Len(), e.ID)
		require.LessOrEqual(t, float64(e.Range.Len())*profile.LayerSize, profile.Kinds[e.Kind].Memory, e.ID)
	}
	for layer, count := range copies(engines, "") {
		require.GreaterOrEqual(t, count, 3, "layer %d", layer)
	}
	for _, centre := range []string{"a", "b", "c"} {
		require.NotContains(t, copies(engines, centre), 0, "data centre %s holds no complete chain", centre)
	}
}

// Guards against layers that stay lost after engines restart without layers or
// disappear, and against plans that never stop moving engines.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := referenceFleet()
		apply(engines, placer.Plan(profile, engines, 6))
		for range rapid.IntRange(1, 8).Draw(t, "crashes") {
			i := rapid.IntRange(0, len(engines)-1).Draw(t, "engine")
			if engines[i].Range = (cowslipproxy.LayerRange{}); rapid.Bool().Draw(t, "removed") {
				engines = append(engines[:i:i], engines[i+1:]...)
			}
		}
		for round := 0; ; round++ {
			moves := placer.Plan(profile, engines, 6)
			if len(moves) == 0 {
				break
			}
			require.Less(t, round, 20, "the plan does not converge")
			require.LessOrEqual(t, len(moves), 6)
			apply(engines, moves)
		}
		for layer, count := range copies(engines, "") {
			require.GreaterOrEqual(t, count, 2, "layer %d", layer)
		}
		for _, e := range engines {
			require.Positive(t, e.Range.Len(), e.ID)
			require.LessOrEqual(t, float64(e.Range.Len())*profile.LayerSize, profile.Kinds[e.Kind].Memory, e.ID)
		}
	})
}

// Guards against a layer that stays on a single engine because that engine
// holds few layers and so has much capacity for each. A random seed found a
// plan that settled with one copy of the last layer.
func TestSingleCopyIsReplicated(t *testing.T) {
	engines := referenceFleet()
	apply(engines, placer.Plan(profile, engines, 6))
	engines = slices.DeleteFunc(engines, func(e placer.Engine) bool { return e.Range.End == profile.Layers })
	engines = append(engines, placer.Engine{ID: "last", Centre: "a", Kind: "t4", Range: cowslipproxy.LayerRange{First: 78, End: 80}})
	for range 20 {
		apply(engines, placer.Plan(profile, engines, 6))
	}
	require.NotContains(t, copies(engines, ""), 1)
	require.NotContains(t, copies(engines, ""), 0)
}

// Guards against new orders for engines that still execute one.
func TestFixedEnginesAreNotMoved(t *testing.T) {
	engines := referenceFleet()
	apply(engines, placer.Plan(profile, engines, 6))
	for i := range engines {
		engines[i].Fixed = true
	}
	engines[0].Range = cowslipproxy.LayerRange{}
	require.Empty(t, placer.Plan(profile, engines, 6))
}

// Guards against orders for accelerator kinds that can hold no layer.
func TestUnknownKindGetsNoOrders(t *testing.T) {
	engines := append(referenceFleet(), placer.Engine{ID: "odd", Centre: "a", Kind: "unknown"})
	for _, move := range placer.Plan(profile, engines, 6) {
		require.NotEqual(t, "odd", move.ID)
	}
}
