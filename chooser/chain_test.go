package chooser_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
)

// Guards against chains with gaps or overlaps, against chains through upstreams
// that are leaving, avoided or ejected, and against a refusal although a chain
// exists.
func TestChainTilesRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 6
		c := &chooser.Chooser{Name: "entry-1", Seed: rapid.Uint64().Draw(t, "seed")}
		n := cowslipproxy.Requirements{Model: "scribe", Version: "1", Tokens: 10}
		n.Range = drawRange(t, layers)
		ejected := map[string]bool{}
		c.Usable = func(name string, _ time.Time) bool { return !ejected[name] }
		allowed := map[string]cowslipproxy.LayerRange{}
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			name := fmt.Sprint("vm-", i)
			report := cowslipproxy.Report{Model: "scribe", Version: "1", Role: cowslipproxy.RoleServe}
			report.Range = drawRange(t, layers)
			c.Add(start, chooser.Upstream{Name: name, VM: name})
			c.Report(start, name, cowslipproxy.Report{Model: "scribe", Version: "1", Range: drawRange(t, layers)})
			switch rapid.SampledFrom([]string{"fit", "fit", "leaving", "listed", "avoided", "ejected", "spare", "removed", "other"}).Draw(t, "state") {
			case "fit":
				allowed[name] = report.Range
			case "leaving":
				report.Leaving = true
			case "listed":
				c.SetLeaving(name, true)
			case "avoided":
				n.Avoid = append(n.Avoid, name)
			case "ejected":
				ejected[name] = true
			case "spare":
				report.Role = cowslipproxy.RoleSpare
			case "removed":
				c.Remove(name)
			case "other":
				report.Version = "2"
			}
			c.Report(start, name, report)
		}
		chain, err := c.Chain(start, n)
		require.Equal(t, reachable(allowed, n.Range), err == nil)
		if err != nil {
			var failure *cowslipproxy.Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, cowslipproxy.ReasonNoChain, failure.Reason)
			require.Positive(t, failure.RetryAfter)
			return
		}
		var ranges []cowslipproxy.LayerRange
		for _, stage := range chain.Stages {
			require.Equal(t, allowed[stage.Upstream], stage.Range)
			ranges = append(ranges, cowslipproxy.LayerRange{First: stage.Range.First - n.Range.First, End: stage.Range.End - n.Range.First})
		}
		require.NoError(t, cowslipproxy.CheckTiling(ranges, n.Range.Len()))
	})
}

func drawRange(t *rapid.T, layers int) cowslipproxy.LayerRange {
	first := rapid.IntRange(0, layers-1).Draw(t, "first")
	return cowslipproxy.LayerRange{First: first, End: rapid.IntRange(first+1, layers).Draw(t, "end")}
}

// reachable reports whether some of the ranges tile the wanted range.
func reachable(held map[string]cowslipproxy.LayerRange, want cowslipproxy.LayerRange) bool {
	reached := map[int]bool{want.First: true}
	for range want.Len() {
		for _, r := range held {
			if reached[r.First] && r.End <= want.End {
				reached[r.End] = true
			}
		}
	}
	return reached[want.End]
}

// Guards against a subset without enough engines for a layer range, and against a
// subset that grows with the fleet.
func TestSubsetCoversEveryRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := fleet(rapid.IntRange(27, 400).Draw(t, "engines"), 4, 5, 8, 10)
		c := &chooser.Chooser{Name: rapid.StringMatching(`entry-[0-9]{1,4}`).Draw(t, "daemon"), Centre: "centre-1"}
		addEngines(c, engines)
		held, inSubset := map[cowslipproxy.LayerRange]int{}, map[cowslipproxy.LayerRange]int{}
		for _, candidate := range c.Explain(start, newRequirements()).Candidates {
			held[candidate.Range]++
			if candidate.Verdict != chooser.VerdictNotInSubset {
				inSubset[candidate.Range]++
			}
		}
		for r, count := range held {
			require.GreaterOrEqual(t, inSubset[r], min(3, count))
			require.LessOrEqual(t, inSubset[r], 8)
		}
	})
}

// Guards against errors and explanations that do not name the missing layers.
func TestMissingLayersAreNamed(t *testing.T) {
	c := &chooser.Chooser{Name: "entry-1"}
	engines := fleet(10, 5)
	addEngines(c, engines)
	c.SetLeaving(engines[1].Name, true)
	c.SetLeaving(engines[6].Name, true)
	_, err := c.Chain(start, newRequirements())
	require.ErrorContains(t, err, "no usable upstream for layers [16,32)")
	explanation := c.Explain(start, newRequirements())
	require.Nil(t, explanation.Chain)
	require.Contains(t, explanation.Failure, "[16,32)")
	require.Len(t, explanation.Candidates, 10)
	require.Equal(t, chooser.VerdictLeaving, explanation.Candidates[2].Verdict)
	_, err = c.Chain(start, cowslipproxy.Requirements{Model: "other", Range: allLayers})
	require.ErrorContains(t, err, "no upstream holds layers [0,80)")
}

// Guards against the choice of an overloaded engine after lost, reordered or wrong
// cache events. The load of the chosen engine is compared with that of the engine
// chosen without cache events.
func TestCacheHitsRespectLoadLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plain, cached := &chooser.Chooser{Name: "entry-1", Seed: seed}, &chooser.Chooser{Name: "entry-1", Seed: seed}
		engines := fleet(rapid.IntRange(1, 20).Draw(t, "engines"), 1)
		load := map[string]int{}
		for i := range engines {
			engines[i].Queue = rapid.IntRange(0, 200).Draw(t, "queue")
			load[engines[i].Name] = engines[i].Queue
		}
		addEngines(plain, engines)
		addEngines(cached, engines)
		n := newRequirements()
		n.Prefixes = []uint64{1, 2, 3, 4}
		hash := rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 4)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			name := rapid.SampledFrom(engines).Draw(t, "engine").Name
			cached.ApplyCacheEvent(name, cowslipproxy.CacheEvent{
				Seq: rapid.Uint64Range(0, 12).Draw(t, "seq"), Stored: hash.Draw(t, "stored"), Evicted: hash.Draw(t, "evicted"),
			})
		}
		a, err := plain.Chain(start, n)
		require.NoError(t, err)
		b, err := cached.Chain(start, n)
		require.NoError(t, err)
		require.LessOrEqual(t, float64(load[b.Stages[0].Upstream]), 1.25*float64(load[a.Stages[0].Upstream])+4)
	})
}

// Guards against prefixes that stay recorded although their eviction event was
// lost, and against a cache that never affects the choice.
func TestCacheEventGapClearsPrefixes(t *testing.T) {
	c := &chooser.Chooser{Name: "entry-1"}
	engines := fleet(6, 1)
	addEngines(c, engines)
	n := newRequirements()
	n.Prefixes, n.Tokens = []uint64{1, 2, 3}, 4000
	holder := engines[4].Name
	require.False(t, c.ApplyCacheEvent(holder, cowslipproxy.CacheEvent{Seq: 7, Stored: n.Prefixes}), "the first event is no gap")
	for range 20 {
		chain, err := c.Chain(start, n)
		require.NoError(t, err)
		require.Equal(t, holder, chain.Stages[0].Upstream)
	}
	require.True(t, c.ApplyCacheEvent(holder, cowslipproxy.CacheEvent{Seq: 9, Stored: []uint64{9}}))
	c.ApplyCacheEvent(holder, cowslipproxy.CacheEvent{Seq: 8, Stored: n.Prefixes}) // late event
	for _, candidate := range c.Explain(start, n).Candidates {
		require.Zero(t, candidate.Cached)
	}
}

// Guards against the choice of an unusable or avoided server, and against a
// refusal although another server is available.
func TestServiceChoosesAvailableServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var avoid, ejected, available []string
		c := &chooser.Chooser{Name: "entry-1", Usable: func(name string, _ time.Time) bool { return !slices.Contains(ejected, name) }}
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			name := fmt.Sprint("vm-", i)
			c.Add(start, chooser.Upstream{Name: name, Service: "ledger"})
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				avoid = append(avoid, name)
			case 1:
				ejected = append(ejected, name)
			case 2:
				c.SetLeaving(name, true)
			default:
				available = append(available, name)
			}
		}
		pick, err := c.Service(start, "ledger", avoid)
		if len(available) > 0 {
			require.NoError(t, err)
			require.Contains(t, available, pick.Name)
			return
		}
		var failure *cowslipproxy.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, cowslipproxy.ReasonNoUpstream, failure.Reason)
		require.Positive(t, failure.RetryAfter)
	})
}
