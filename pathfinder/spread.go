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
	// minRemote is the preference for paths that start in another data centre at even load.
	// Traffic between data centres is billed.
	minRemote = 0.25
	// fullRemote is the ratio of the load of paths that start in this data centre to that of the
	// others from which these are used alike.
	fullRemote = 1.4
	// lowLoad is the least load that counts in this ratio, as a fraction of the mean. An engine
	// that returns empty would otherwise draw the requests of its whole data centre.
	lowLoad = 0.9
)

// balanced returns the flow that the balancer chooses among all flows that may be used, or nil
// if there is no balancer, no flow, or little load.
func (f *Finder) balanced(now time.Time, need Need) *flow {
	if f.Balancer == nil {
		return nil
	}
	flows := make([]*flow, 0, len(f.flows))
	candidates := make([]cowslipproxy.Candidate, 0, len(f.flows))
	isLocal := make([]bool, 0, len(f.flows))
	var load float64
	for i := range f.flows {
		candidate := &f.flows[i]
		if !f.usable(now, candidate, need) || f.crossesAvoided(now, candidate.segments) || !need.mayStartAt(candidate.segments[0].engine) {
			continue
		}
		c := cowslipproxy.Candidate{Load: f.use(now, candidate, need), Room: 1, Age: figureAge, Credit: &candidate.credit}
		isLocal = append(isLocal, candidate.segments[0].engine.Centre == f.Centre)
		flows, candidates, load = append(flows, candidate), append(candidates, c), load+c.Load
	}
	f.isBalanced = len(flows) > 0 && load >= lightLoad*float64(len(flows))
	if !f.isBalanced {
		return nil
	}
	preferLocal(candidates, isLocal)
	return flows[f.Balancer.Choose(candidates)]
}

// preferLocal sets the preference of candidates, by whether they start in this data centre. The
// others are preferred the more, the less loaded they are than the local ones.
func preferLocal(candidates []cowslipproxy.Candidate, isLocal []bool) {
	var mean, local, remote, localCount, remoteCount float64
	for _, c := range candidates {
		mean += c.Load / float64(len(candidates))
	}
	for i, c := range candidates {
		use := max(c.Load, lowLoad*mean)
		if isLocal[i] {
			local, localCount = local+use, localCount+1
		} else {
			remote, remoteCount = remote+use, remoteCount+1
		}
	}
	preference := 1.0
	if localCount > 0 && remote > 0 {
		ratio := local / localCount / (remote / remoteCount)
		preference = min(max(minRemote+(1-minRemote)*(ratio-1)/(fullRemote-1), minRemote), 1)
	}
	for i := range candidates {
		candidates[i].Preference = preference
		if isLocal[i] {
			candidates[i].Preference = 1
		}
	}
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
