package chooser

import (
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// batch is the number of steps that an engine is taken to run together.
	batch = 8
	// fullPenalty is the cost of an engine that reports too little cache
	// memory: it is taken only where no other is, since the report may be old.
	fullPenalty = float64(time.Second)
	// A cached prefix counts only for an engine whose load is at most
	// loadBound times, plus loadSlack, that of the candidate that would be
	// taken without it.
	loadBound = 1.25
	loadSlack = batch / 2
)

// price is what the steps of a candidate take, in nanoseconds.
type price struct {
	prefill float64 // prefill computation
	decode  float64 // one decode step's computation
	link    float64 // one round trip
	wait    float64 // queueing of one step
}

// load returns the steps that the engine is taken to have. The reported ones
// are corrected by the change of this daemon's work since the report. Added
// work counts times the daemons, since the others act on the same report.
func (c *Chooser) load(u *upstream, at time.Duration) float64 {
	change := float64(u.own - u.then)
	if change > 0 {
		change *= c.peers()
	}
	return max(c.estimate(u, at).reported+change, 0)
}

// price returns an engine's times for the query when the given number of
// prompt tokens is cached there.
func (c *Chooser) price(u *upstream, q *query, cached int) price {
	known := c.estimate(u, q.at)
	p := price{
		prefill: known.prefill * float64(max(q.need.Tokens-cached, 1)),
		decode:  known.decode,
		link:    known.link,
		wait:    known.decode * c.load(u, q.at) / batch,
	}
	if q.need.Centre != "" && u.Centre != q.need.Centre {
		p.link += crossing
	}
	return p
}

// cost returns an engine's part of the whole answer's time, in nanoseconds.
func (c *Chooser) cost(u *upstream, q *query, cached int) float64 {
	p := c.price(u, q, cached)
	cost := p.prefill + p.decode*q.output + (p.link+p.wait)*(q.output+1)
	if float64(u.now.free) < float64(q.need.Tokens-cached)+q.output {
		cost += fullPenalty
	}
	return cost
}

// cachedTokens returns the tokens of the prompt that the engine holds, by the
// share of the prompt's blocks that are known to be cached.
func (c *Chooser) cachedTokens(u *upstream, need *cowslipproxy.Need) int {
	if u.hit != c.decision || len(need.Prefixes) == 0 {
		return 0
	}
	return need.Tokens * u.depth / (len(need.Prefixes) + 1)
}

// bounded reports whether the engine's load lets its cache count against another's.
func (c *Chooser) bounded(cached, other *upstream, at time.Duration) bool {
	return c.load(cached, at) <= loadBound*c.load(other, at)+loadSlack
}

func avoids(n *cowslipproxy.Need, u *upstream) bool {
	return len(n.Avoid) > 0 && (slices.Contains(n.Avoid, u.Name) || slices.Contains(n.Avoid, u.VM))
}
