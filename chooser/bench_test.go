package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/ejector"
)

// decisionInterval is the time between the decisions of one daemon if 1,900
// daemons together serve 80,000 requests per second.
const decisionInterval = 24 * time.Millisecond

// layouts differ in the number of distinct layer ranges, on which the duration of a
// decision depends. Those with more than 10 ranges need more than 10 engines.
var layouts = []struct {
	name  string
	parts []int
	sizes []int
}{
	{"10ranges", []int{10}, []int{10, 100, 1000, 7000}},
	{"27ranges", []int{4, 5, 8, 10}, []int{100, 1000, 7000}},
	{"103ranges", []int{4, 5, 8, 10, 16, 20, 40}, []int{1000, 7000}},
}

func forEachFleet(b *testing.B, run func(b *testing.B, engines []engine)) {
	for _, layout := range layouts {
		for _, size := range layout.sizes {
			b.Run(fmt.Sprintf("%s/%d", layout.name, size), func(b *testing.B) {
				engines := fleet(size, layout.parts...)
				random := rand.New(rand.NewPCG(1, 2))
				for i := range engines {
					engines[i].Queue = random.IntN(20)
				}
				b.ReportAllocs()
				run(b, engines)
			})
		}
	}
}

func BenchmarkChain(b *testing.B) {
	forEachFleet(b, func(b *testing.B, engines []engine) {
		e := &ejector.Ejector{}
		c := &chooser.Chooser{Name: "entry-1", Centre: "centre-1", Peers: 15, Usable: e.Usable}
		addEngines(c, engines)
		n := newRequirements()
		n.Prefixes = cowslipproxy.PrefixHashes("scribe", strings.Repeat("renewal ", 512))
		for i, engine := range engines {
			e.Add(engine.Name, engine.Range.String())
			if i%10 == 0 {
				c.ApplyCacheEvent(engine.Name, cowslipproxy.CacheEvent{Seq: 1, Stored: n.Prefixes[:1+i%len(n.Prefixes)]})
			}
		}
		now := start
		for b.Loop() {
			now = now.Add(decisionInterval)
			if _, err := c.Chain(now, n); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Every second upstream is unusable, so that decisions scan beyond the subset.
func BenchmarkChainHalfEjected(b *testing.B) {
	forEachFleet(b, func(b *testing.B, engines []engine) {
		if len(engines) < 100 {
			b.Skip("fewer than two engines for each layer range")
		}
		ejected, random := map[string]bool{}, rand.New(rand.NewPCG(3, 4))
		seen := map[cowslipproxy.LayerRange]int{}
		for _, engine := range engines {
			seen[engine.Range]++
			ejected[engine.Name] = seen[engine.Range] > 1 && random.IntN(2) == 0
		}
		c := &chooser.Chooser{Name: "entry-1", Usable: func(name string, _ time.Time) bool { return !ejected[name] }}
		addEngines(c, engines)
		now := start
		for b.Loop() {
			now = now.Add(decisionInterval)
			if _, err := c.Chain(now, newRequirements()); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Baseline: round robin over the engines of each range of a tiling, without costs or checks.
func BenchmarkRoundRobin(b *testing.B) {
	forEachFleet(b, func(b *testing.B, engines []engine) {
		pools, next := tiling(engines), 0
		for b.Loop() {
			next++
			stages := make([]cowslipproxy.Stage, len(pools))
			for i, pool := range pools {
				e := pool[next%len(pool)]
				stages[i] = cowslipproxy.Stage{Upstream: e.Name, Range: e.Range}
			}
		}
	})
}

// Baseline: the engine with the shortest reported queue for each range of a tiling.
func BenchmarkLeastLoaded(b *testing.B) {
	forEachFleet(b, func(b *testing.B, engines []engine) {
		pools := tiling(engines)
		for b.Loop() {
			stages := make([]cowslipproxy.Stage, len(pools))
			for i, pool := range pools {
				e := leastLoaded(pool)
				stages[i] = cowslipproxy.Stage{Upstream: e.Name, Range: e.Range}
			}
		}
	})
}

// tiling returns the engines by layer range, for the ranges that are as long as that
// of the first engine. These ranges tile the model.
func tiling(engines []engine) [][]*engine {
	var pools [][]*engine
	for first := 0; first < layers; {
		var pool []*engine
		for i, e := range engines {
			if e.Range.First == first && e.Range.Len() == engines[0].Range.Len() {
				pool = append(pool, &engines[i])
			}
		}
		if pool == nil {
			return pools
		}
		pools = append(pools, pool)
		first = pool[0].Range.End
	}
	return pools
}

func leastLoaded(pool []*engine) *engine {
	best := pool[0]
	for _, e := range pool[1:] {
		if e.Queue < best.Queue {
			best = e
		}
	}
	return best
}

func BenchmarkService(b *testing.B) {
	for _, size := range []int{3, 7000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			e := &ejector.Ejector{}
			c := &chooser.Chooser{Name: "entry-1", Usable: e.Usable}
			for i := range size {
				name := fmt.Sprintf("vm-%d", i)
				e.Add(name, "ledger")
				c.Add(start, chooser.Upstream{Name: name, VM: name, Service: "ledger"})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Service(start, "ledger", nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	c := &chooser.Chooser{Name: "entry-1"}
	engines := fleet(7000, 10)
	addEngines(c, engines)
	b.ReportAllocs()
	sample := chooser.Sample{Kind: cowslipproxy.StepDecode, Layers: 8, ComputeTime: time.Millisecond, Elapsed: 2 * time.Millisecond}
	for i := 0; b.Loop(); i++ {
		c.Observe(start.Add(time.Duration(i)*time.Microsecond), engines[i%len(engines)].Name, sample)
	}
}
