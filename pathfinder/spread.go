package pathfinder

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// HoldTime is the mean time that a request occupies memory, for the balancer of a Finder.
	HoldTime = time.Duration(memoryHoldTime * float64(time.Second))
	// figureAge is the usual age of the loads of other daemons' requests: these are sent every
	// 0.7 s and pass two daemons on their way to another data centre.
	figureAge = time.Second
	// lightLoad is the mean use of memory below which the balancer is not used. The engines run
	// all requests then, whichever are chosen.
	lightLoad = 0.15
	// remoteEntryRoom is the room of a path that starts in another data centre, relative to a
	// local one. Traffic between data centres is billed.
	remoteEntryRoom = 0.25
)

// balanced returns the flow that the balancer chooses among all flows that may be used, or nil
// if there is no balancer, no flow, or little load.
func (f *Finder) balanced(now time.Time, need Need) *flow {
	if f.Balancer == nil {
		return nil
	}
	flows := make([]*flow, 0, len(f.flows))
	candidates := make([]cowslipproxy.Candidate, 0, len(f.flows))
	var load float64
	for i := range f.flows {
		candidate := &f.flows[i]
		if !usable(now, candidate, need) || f.crossesAvoided(now, candidate.segments) || !need.mayStartAt(candidate.segments[0].engine) {
			continue
		}
		c := cowslipproxy.Candidate{Load: f.use(now, candidate, need), Room: 1, Age: figureAge, Credit: &candidate.credit}
		if candidate.segments[0].engine.Centre != f.Centre {
			c.Room = remoteEntryRoom
		}
		flows, candidates, load = append(flows, candidate), append(candidates, c), load+c.Load
	}
	f.isBalanced = len(flows) > 0 && load >= lightLoad*float64(len(flows))
	if !f.isBalanced {
		return nil
	}
	return flows[f.Balancer.Choose(candidates)]
}

// Spread returns how even the use of the engines' memory is, and whether the latest choice was
// balanced.
func (f *Finder) Spread() cowslipproxy.Spread {
	f.mu.Lock()
	defer f.mu.Unlock()
	var uses []float64
	for _, e := range f.listed {
		uses = append(uses, e.use()/e.memory)
	}
	spread := cowslipproxy.NewSpread(uses)
	spread.IsBalanced = f.isBalanced
	return spread
}
