package chooser

import (
	"slices"
	"time"
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

// price is what a candidate costs, in nanoseconds.
type price struct {
	total   float64 // whole answer
	prefill float64 // prefill computation
	decode  float64 // one decode step's computation
	link    float64 // one round trip
	wait    float64 // queueing of one step
}

// load returns the steps that the engine is taken to have. The reported ones
// are corrected by the change of this daemon's work since the report. Added
// work counts times the daemons, since the others act on the same report.
func (c *Chooser) load(u *upstream) float64 {
	change := float64(u.own - u.then)
	if change > 0 {
		change *= c.peers()
	}
	return max(float64(u.report.Queue+u.report.Running)+change, 0)
}

func (c *Chooser) wait(u *upstream, step float64) float64 {
	return step * c.load(u) / batch
}

// price returns the cost of an engine for the need when the given number of
// prompt tokens is cached there.
func (c *Chooser) price(u *upstream, need *Need, cached int, at time.Duration) price {
	known := c.estimate(u, at)
	layers := float64(u.report.Range.Len())
	output := need.Output
	if output <= 0 {
		output = defaultOutput
	}
	p := price{
		prefill: known.prefill * layers * float64(max(need.Tokens-cached, 1)),
		decode:  known.decode * layers,
		link:    known.link,
	}
	if need.Centre != "" && u.Centre != need.Centre {
		p.link += crossing
	}
	p.wait = c.wait(u, p.decode)
	p.total = p.prefill + p.decode*float64(output) + (p.link+p.wait)*float64(output+1)
	if u.report.Free < need.Tokens-cached+output {
		p.total += fullPenalty
	}
	return p
}

// cachedTokens returns the tokens of the prompt that the engine holds, by the
// share of the prompt's blocks that are known to be cached.
func (c *Chooser) cachedTokens(u *upstream, need *Need) int {
	if u.hit != c.decision || len(need.Prefixes) == 0 {
		return 0
	}
	return need.Tokens * u.depth / (len(need.Prefixes) + 1)
}

// bounded reports whether the engine's load lets its cache count against another's.
func (c *Chooser) bounded(cached, other *upstream) bool {
	return c.load(cached) <= loadBound*c.load(other)+loadSlack
}

func (n *Need) avoids(u *upstream) bool {
	return len(n.Avoid) > 0 && (slices.Contains(n.Avoid, u.Name) || slices.Contains(n.Avoid, u.VM))
}
