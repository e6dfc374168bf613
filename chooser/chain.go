package chooser

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// defaultDraws is the number of candidates drawn for each layer range. Models
	// that are held in more than manyRanges ranges use reducedDraws, which limits
	// the duration of a decision.
	defaultDraws = 3
	reducedDraws = 2
	manyRanges   = 40
	// maxScanned is the number of usable candidates that a scan collects when
	// the drawn candidate is not usable.
	maxScanned = 3
)

// edge is the best candidate of one pool in the current decision.
type edge struct {
	best     *upstream
	cost     float64
	cached   int  // prompt tokens that count as cached
	verified bool // the candidate is known to be usable
}

// query is the input of one decision. The chooser reuses a single query, so that
// a decision allocates only its result.
type query struct {
	need   cowslipproxy.Requirements
	now    time.Time
	at     time.Duration
	output float64 // expected decode steps
}

// newQuery starts a decision.
func (c *Chooser) newQuery(now time.Time, need cowslipproxy.Requirements) *query {
	c.query = query{need: need, now: now, at: c.sinceEpoch(now), output: float64(need.Output)}
	if need.Output <= 0 {
		c.query.output = defaultOutputTokens
	}
	c.findHits(need.Prefixes)
	return &c.query
}

// Chain chooses the engines for a request. The error is a *cowslipproxy.Failure.
func (c *Chooser) Chain(now time.Time, need cowslipproxy.Requirements) (Chain, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.newQuery(now, need)
	g := c.groups[groupKey{need.Model, need.Version, need.Adapter}]
	if err := c.decide(g, q); err != nil {
		return Chain{}, err
	}
	return c.buildChain(g, q), nil
}

// decide draws candidates and searches for the cheapest path until all upstreams
// of the path are usable. Usable is called only for upstreams of a path, since it
// costs more than computing their cost.
func (c *Chooser) decide(g *group, q *query) error {
	if err := q.need.Range.Check(); err != nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%v", err)
	}
	if g == nil {
		return c.missingLayers(nil, &q.need)
	}
	c.drawCandidates(g, q)
	c.addCacheHits(g, q)
	for c.findPath(g, q.need.Range) {
		if c.verifyPath(g, q) {
			return nil
		}
	}
	return c.missingLayers(g, &q.need)
}

// drawCandidates draws the candidates of each pool within the requested range.
func (c *Chooser) drawCandidates(g *group, q *query) {
	draws := uint64(defaultDraws)
	if len(g.pools) > manyRanges {
		draws = reducedDraws
	}
	c.edges = slices.Grow(c.edges[:0], len(g.pools))[:len(g.pools)]
	for i, p := range g.pools {
		c.edges[i] = edge{}
		if p.layers.First < q.need.Range.First || p.layers.End > q.need.Range.End {
			continue
		}
		c.draw(&c.edges[i], p, q, draws)
		if c.edges[i].best == nil {
			c.scan(&c.edges[i], p, q)
		}
	}
}

// draw considers random members of the subset. The draws after the first exclude the
// first member drawn, but not one another.
func (c *Chooser) draw(e *edge, p *pool, q *query, draws uint64) {
	n := uint64(len(p.subset))
	if n <= draws {
		for _, u := range p.subset {
			c.consider(e, u, q)
		}
		return
	}
	bits := c.random.Uint64()
	first := bits % n
	c.consider(e, p.subset[first], q)
	for range draws - 1 {
		bits >>= 16
		c.consider(e, p.subset[(first+1+bits&0xffff%(n-1))%n], q)
	}
}

// consider makes the upstream the pool's candidate if it costs less than the
// current one and the request doesn't avoid it.
func (c *Chooser) consider(e *edge, u *upstream, q *query) {
	if u == e.best || avoids(&q.need, u) {
		return
	}
	if cost := c.cost(u, q, 0); e.best == nil || cost < e.cost {
		*e = edge{best: u, cost: cost}
	}
}

// scan considers the first usable members in rank order. The first members in this
// order are in the subset, so that others are considered only if some of these are
// not usable.
func (c *Chooser) scan(e *edge, p *pool, q *query) {
	*e = edge{}
	found := 0
	for _, u := range p.members {
		if avoids(&q.need, u) || !c.usable(u.Name, q.now) {
			continue
		}
		c.consider(e, u, q)
		if found++; found == maxScanned {
			break
		}
	}
	e.verified = true
}

// addCacheHits considers the upstreams that cache a prefix of the prompt as
// candidates of their pools.
func (c *Chooser) addCacheHits(g *group, q *query) {
	for _, u := range c.hits {
		i, ok := g.index[u.report.Range]
		if !ok || !u.serving() || !u.holds(g.key) {
			continue
		}
		e := &c.edges[i]
		if e.best == nil || avoids(&q.need, u) || !c.loadAllowsCache(u, e.best, q.at) {
			continue
		}
		cached := c.cachedTokens(u, &q.need)
		if cost := c.cost(u, q, cached); cost < e.cost {
			*e = edge{best: u, cost: cost, cached: cached}
		}
	}
}

// findPath finds the cheapest path between the ends of the range and reports
// whether there is one. The pools are sorted by first layer, so that one pass
// suffices.
func (c *Chooser) findPath(g *group, layers cowslipproxy.LayerRange) bool {
	from, starts := slices.BinarySearch(g.bounds, layers.First)
	to, ends := slices.BinarySearch(g.bounds, layers.End)
	if !starts || !ends {
		return false
	}
	c.dist = slices.Grow(c.dist[:0], len(g.bounds))[:len(g.bounds)]
	c.via = slices.Grow(c.via[:0], len(g.bounds))[:len(g.bounds)]
	for i := range c.dist {
		c.dist[i] = math.Inf(1)
	}
	c.dist[from] = 0
	for i, p := range g.pools {
		if c.edges[i].best == nil {
			continue
		}
		if dist := c.dist[p.from] + c.edges[i].cost; dist < c.dist[p.to] {
			c.dist[p.to] = dist
			c.via[p.to] = i
		}
	}
	return !math.IsInf(c.dist[to], 1)
}

// verifyPath checks that the upstreams of the path are usable and replaces the
// candidates that are not. It reports whether the path is unchanged.
func (c *Chooser) verifyPath(g *group, q *query) bool {
	unchanged := true
	to, _ := slices.BinarySearch(g.bounds, q.need.Range.End)
	for g.bounds[to] != q.need.Range.First {
		i := c.via[to]
		to = g.pools[i].from
		e := &c.edges[i]
		if e.verified {
			continue
		}
		e.verified = true
		if !c.usable(e.best.Name, q.now) {
			c.scan(e, g.pools[i], q)
			unchanged = false
		}
	}
	return unchanged
}

// buildChain returns the path of the current decision as a chain.
func (c *Chooser) buildChain(g *group, q *query) Chain {
	end, _ := slices.BinarySearch(g.bounds, q.need.Range.End)
	count := 0
	for to := end; g.bounds[to] != q.need.Range.First; to = g.pools[c.via[to]].from {
		count++
	}
	chain := Chain{Stages: make([]cowslipproxy.Stage, count), Cost: time.Duration(c.dist[end])}
	for to := end; count > 0; {
		i := c.via[to]
		to = g.pools[i].from
		count--
		chain.Stages[count] = c.stage(&c.edges[i], q)
	}
	return chain
}

func (c *Chooser) stage(e *edge, q *query) cowslipproxy.Stage {
	times := c.stepTimes(e.best, q, e.cached)
	return cowslipproxy.Stage{
		Upstream: e.best.Name,
		Range:    e.best.report.Range,
		Prefill:  time.Duration(times.prefill + times.link + times.wait),
		Decode:   time.Duration(times.decode + times.link + times.wait),
	}
}
