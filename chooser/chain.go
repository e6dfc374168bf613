package chooser

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// samples is the number of candidates that are drawn for each range, and
	// fewSamples the number where a model is held in more than manyRanges, to
	// keep the time of a decision down.
	samples    = 3
	fewSamples = 2
	manyRanges = 40
	// scanned is the number of usable candidates that are looked for when the
	// drawn one is not usable.
	scanned = 3
)

// edge is the candidate for one pool of the group in the current decision.
type edge struct {
	best     *upstream
	cost     float64
	cached   int  // tokens of the prompt that count as cached
	verified bool // by Usable
}

// query is one decision's input. The chooser keeps one, so that a decision
// allocates nothing but its result.
type query struct {
	need   cowslipproxy.Need
	now    time.Time
	at     time.Duration
	output float64 // expected decode steps
}

// ask starts a decision.
func (c *Chooser) ask(now time.Time, need cowslipproxy.Need) *query {
	c.query = query{need: need, now: now, at: c.start(now), output: float64(need.Output)}
	if need.Output <= 0 {
		c.query.output = defaultOutput
	}
	c.findHits(need.Prefixes)
	return &c.query
}

// Chain chooses the engines for a request. The error is a *cowslipproxy.Failure.
func (c *Chooser) Chain(now time.Time, need cowslipproxy.Need) (Chain, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.ask(now, need)
	g := c.groups[groupKey{need.Model, need.Version, need.Adapter}]
	if err := c.decide(g, q); err != nil {
		return Chain{}, err
	}
	return c.build(g, q), nil
}

// decide samples the edges, finds the cheapest path and repeats this until all
// upstreams of the path are usable. Only those are asked for, since asking
// costs more than pricing.
func (c *Chooser) decide(g *group, q *query) error {
	if err := q.need.Range.Check(); err != nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%v", err)
	}
	if g == nil {
		return c.missing(nil, &q.need)
	}
	c.sample(g, q)
	c.addHits(g, q)
	for c.path(g, q.need.Range) {
		if c.verify(g, q) {
			return nil
		}
	}
	return c.missing(g, &q.need)
}

// sample draws the candidates of each pool within the range.
func (c *Chooser) sample(g *group, q *query) {
	draws := uint64(samples)
	if len(g.pools) > manyRanges {
		draws = fewSamples
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

func (c *Chooser) consider(e *edge, u *upstream, q *query) {
	if u == e.best || avoids(&q.need, u) {
		return
	}
	if cost := c.cost(u, q, 0); e.best == nil || cost < e.cost {
		*e = edge{best: u, cost: cost}
	}
}

// scan looks for usable candidates by rank, so that it leaves the subset only
// when the subset has too few.
func (c *Chooser) scan(e *edge, p *pool, q *query) {
	*e = edge{}
	found := 0
	for _, u := range p.members {
		if avoids(&q.need, u) || !c.usable(u.Name, q.now) {
			continue
		}
		c.consider(e, u, q)
		if found++; found == scanned {
			break
		}
	}
	e.verified = true
}

// addHits lets the upstreams that hold a prefix compete for their edges.
func (c *Chooser) addHits(g *group, q *query) {
	for _, u := range c.hits {
		i, ok := g.index[u.report.Range]
		if !ok || !u.serving() || !u.holds(g.key) {
			continue
		}
		e := &c.edges[i]
		if e.best == nil || avoids(&q.need, u) || !c.bounded(u, e.best, q.at) {
			continue
		}
		cached := c.cachedTokens(u, &q.need)
		if cost := c.cost(u, q, cached); cost < e.cost {
			*e = edge{best: u, cost: cost, cached: cached}
		}
	}
}

// path finds the cheapest path over the group's boundaries. The pools are
// sorted by their first layer, so one pass is enough.
func (c *Chooser) path(g *group, layers cowslipproxy.LayerRange) bool {
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

// verify asks whether the path's upstreams are usable and replaces those that
// are not. It reports whether the path stands.
func (c *Chooser) verify(g *group, q *query) bool {
	stands := true
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
			stands = false
		}
	}
	return stands
}

// build returns the path of the last decision.
func (c *Chooser) build(g *group, q *query) Chain {
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
	p := c.price(e.best, q, e.cached)
	return cowslipproxy.Stage{
		Upstream: e.best.Name,
		Range:    e.best.report.Range,
		Prefill:  time.Duration(p.prefill + p.link + p.wait),
		Decode:   time.Duration(p.decode + p.link + p.wait),
	}
}
