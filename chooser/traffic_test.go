package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/ejector"
)

// Guards against herding: many daemons with the same stale report choosing the
// same engines. The work of the busiest engine is compared with that of a
// distribution in proportion to engine speed.
func TestStaleReportsCauseNoHerding(t *testing.T) {
	const daemons, requests = 15, 20
	random := rand.New(rand.NewPCG(7, 7))
	engines := fleet(40, 4)
	byName := map[string]*engine{}
	for i := range engines {
		e := &engines[i]
		e.Pace = paces[random.IntN(len(paces))]
		e.Queue = random.IntN(4)
		byName[e.Name] = e
	}
	chosen, leastLoadedCounts := map[string]int{}, map[string]int{}
	for d := range daemons {
		c := &chooser.Chooser{Name: fmt.Sprint("entry-", d), Peers: daemons}
		addEngines(c, engines)
		for range requests {
			chain, err := c.Chain(start, newRequirements())
			require.NoError(t, err)
			for _, stage := range chain.Stages {
				c.Begin(stage.Upstream)
				chosen[stage.Upstream]++
			}
			for _, pool := range tiling(engines) {
				leastLoadedCounts[leastLoaded(pool).Name]++
			}
		}
	}
	busiest := func(count map[string]int) float64 {
		var most float64
		for name, n := range count {
			most = max(most, float64(n)*float64(byName[name].Pace))
		}
		return most
	}
	var ideal float64
	for _, pool := range tiling(engines) {
		var speed float64
		for _, e := range pool {
			speed += 1 / float64(e.Pace)
		}
		ideal = max(ideal, daemons*requests/speed)
	}
	t.Logf("work of the busiest engine relative to the ideal distribution: chooser %.2f, least loaded %.2f", busiest(chosen)/ideal, busiest(leastLoadedCounts)/ideal)
	require.Less(t, busiest(chosen), 2*ideal)
	require.Less(t, busiest(chosen), busiest(leastLoadedCounts)/2)
}

// Guards against data races between decisions, reports and membership changes,
// with the ejector as Usable.
func TestConcurrentUse(t *testing.T) {
	e := &ejector.Ejector{}
	c := &chooser.Chooser{Name: "entry-1", Usable: e.Usable}
	engines := fleet(40, 4)
	addEngines(c, engines)
	var group errgroup.Group
	for worker := range 8 {
		group.Go(func() error {
			for i := range 200 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				moved := engines[4+(worker*200+i)%36]
				c.Remove(moved.Name)
				e.Add(moved.Name, moved.Range.String())
				c.Add(now, moved.Upstream)
				c.Report(now, moved.Name, moved.Report)
				c.ApplyCacheEvent(moved.Name, cowslipproxy.CacheEvent{Seq: uint64(i), Stored: []uint64{uint64(i)}})
				chain, err := c.Chain(now, newRequirements())
				if err != nil {
					return err
				}
				for _, stage := range chain.Stages {
					c.Begin(stage.Upstream)
					e.Begin(stage.Upstream, now)
					c.Observe(now, stage.Upstream, chooser.Sample{Kind: cowslipproxy.StepDecode, Layers: stage.Range.Len(), ComputeTime: time.Millisecond, Elapsed: 2 * time.Millisecond})
					e.RecordSuccess(stage.Upstream, now, cowslipproxy.StepDecode, time.Millisecond)
					c.End(stage.Upstream)
				}
				c.Explain(now, newRequirements())
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// Guards against a link that becomes slower without a disconnect and keeps its
// traffic.
func TestSlowLinkGetsLessTraffic(t *testing.T) {
	const rate, slowAfter = 40, 5 * time.Second
	for _, factor := range []time.Duration{10, 100} {
		c := &chooser.Chooser{Name: "entry-1"}
		engines := fleet(8, 1)
		addEngines(c, engines)
		slow := engines[3].Name
		counts := map[int]int{} // requests to the slow link, by second
		for i := range 20 * rate {
			now := start.Add(time.Duration(i) * time.Second / rate)
			chain, err := c.Chain(now, newRequirements())
			require.NoError(t, err)
			name := chain.Stages[0].Upstream
			link := 2 * time.Millisecond
			if name == slow {
				counts[int(now.Sub(start)/time.Second)]++
				if now.Sub(start) >= slowAfter {
					link *= factor
				}
			}
			spent := layers * paces[0]
			c.Observe(now, name, chooser.Sample{Kind: cowslipproxy.StepDecode, Layers: layers, ComputeTime: spent, Elapsed: spent + link})
		}
		sum := func(from, to int) (sum int) {
			for second := from; second < to; second++ {
				sum += counts[second]
			}
			return sum
		}
		t.Logf("link %d times slower: %d of %d requests in the 5 s before the slowdown, %d in the first 3 s after it, %d in the next 5 s", factor, sum(0, 5), 5*rate, sum(5, 8), sum(8, 13))
		require.Positive(t, sum(0, 5))
		require.LessOrEqual(t, sum(8, 13), sum(0, 5)/10)
	}
}
