package chooser

import (
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// batchSize is the assumed number of steps that an engine runs in one batch.
	batchSize = 8
	// fullCachePenalty is added to the cost of an engine that reports too little
	// free cache memory. The engine is not excluded, since the report may be old;
	// it is chosen if there is no other.
	fullCachePenalty = float64(time.Second)
	// A cached prefix counts only for an engine whose load is at most
	// maxLoadRatio*load + loadSlack, where load is that of the best candidate of
	// the pool so far.
	maxLoadRatio = 1.25
	loadSlack    = batchSize / 2
)

// stepTimes holds the expected times of a candidate in nanoseconds.
type stepTimes struct {
	prefill float64 // computation of the prefill
	decode  float64 // computation of one decode step
	link    float64 // round trip
	wait    float64 // queueing time of one step
}

// load returns the estimated number of steps at the engine: the reported number,
// corrected by the change of this daemon's requests in flight since the report.
// An increase is multiplied by the number of daemons, since the others act on the
// same report.
func (c *Chooser) load(u *upstream, at time.Duration) float64 {
	change := float64(u.inFlight - u.inFlightAtReport)
	if change > 0 {
		change *= c.peers()
	}
	return max(c.estimate(u, at).reportedSteps+change, 0)
}

// stepTimes returns the expected times of an engine that caches the given number
// of prompt tokens.
func (c *Chooser) stepTimes(u *upstream, q *query, cached int) stepTimes {
	estimated := c.estimate(u, q.at)
	times := stepTimes{
		prefill: estimated.prefill * float64(max(q.need.Tokens-cached, 1)),
		decode:  estimated.decode,
		link:    estimated.link,
		wait:    estimated.decode * c.load(u, q.at) / batchSize,
	}
	if q.need.Centre != "" && u.Centre != q.need.Centre {
		times.link += crossCentreTrip
	}
	return times
}

// cost returns the expected time that the engine adds to the complete response,
// in nanoseconds.
func (c *Chooser) cost(u *upstream, q *query, cached int) float64 {
	times := c.stepTimes(u, q, cached)
	cost := times.prefill + times.decode*q.output + (times.link+times.wait)*(q.output+1)
	if float64(u.currentEstimates.freeTokens) < float64(q.need.Tokens-cached)+q.output {
		cost += fullCachePenalty
	}
	return cost
}

// cachedTokens returns the estimated number of prompt tokens that the engine
// caches, from the share of the prompt's blocks that are known to be cached. The rest
// of the prompt after the last complete block counts as one block.
func (c *Chooser) cachedTokens(u *upstream, need *cowslipproxy.Requirements) int {
	if u.hitDecision != c.decision || len(need.Prefixes) == 0 {
		return 0
	}
	return need.Tokens * u.hitBlocks / (len(need.Prefixes) + 1)
}

// loadAllowsCache reports whether an engine with a cached prefix may be preferred
// for its cache: its load must not exceed that of the other candidate by too much.
func (c *Chooser) loadAllowsCache(cached, other *upstream, at time.Duration) bool {
	return c.load(cached, at) <= maxLoadRatio*c.load(other, at)+loadSlack
}

func avoids(n *cowslipproxy.Requirements, u *upstream) bool {
	return len(n.Avoid) > 0 && (slices.Contains(n.Avoid, u.Name) || slices.Contains(n.Avoid, u.VM))
}
