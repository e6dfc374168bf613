package chooser

import (
	"slices"
	"sort"

	"github.com/cowslipproxy/cowslipproxy"
)

// subsetSize is the number of pool members that one daemon uses. It keeps the
// cost of a decision and the number of connections independent of the fleet size.
const subsetSize = 8

// pool contains the engines that hold one layer range, or the servers of one service.
type pool struct {
	layers   cowslipproxy.LayerRange
	from, to int         // indices of the ends of layers in group.bounds
	members  []*upstream // in rank order
	subset   []*upstream // members used by this daemon, half of them from its own data centre
}

func (p *pool) add(u *upstream, centre string) {
	i := sort.Search(len(p.members), func(i int) bool { return p.members[i].rank >= u.rank })
	p.members = slices.Insert(p.members, i, u)
	p.fillSubset(centre)
}

func (p *pool) remove(u *upstream, centre string) {
	if i := slices.Index(p.members, u); i >= 0 {
		p.members = slices.Delete(p.members, i, i+1)
		p.fillSubset(centre)
	}
}

// fillSubset fills the subset in rank order: up to half of it from the daemon's
// own data centre, the rest from all data centres.
func (p *pool) fillSubset(centre string) {
	p.subset = p.subset[:0]
	for _, u := range p.members {
		if len(p.subset) == subsetSize/2 {
			break
		}
		if u.Centre == centre {
			p.subset = append(p.subset, u)
		}
	}
	local := p.subset
	for _, u := range p.members {
		if len(p.subset) == subsetSize {
			break
		}
		if !slices.Contains(local, u) {
			p.subset = append(p.subset, u)
		}
	}
}

// group contains the engines of one model, version and adapter.
type group struct {
	key    groupKey
	pools  []*pool                         // sorted by layer range
	index  map[cowslipproxy.LayerRange]int // position in pools by layer range
	bounds []int                           // first and end layers of all ranges, ascending
}

// reindex sorts the pools and rebuilds index and bounds.
func (g *group) reindex() {
	sort.Slice(g.pools, func(i, j int) bool {
		a, b := g.pools[i].layers, g.pools[j].layers
		return a.First < b.First || a.First == b.First && a.End < b.End
	})
	g.bounds = g.bounds[:0]
	for _, p := range g.pools {
		g.bounds = append(g.bounds, p.layers.First, p.layers.End)
	}
	slices.Sort(g.bounds)
	g.bounds = slices.Compact(g.bounds)
	g.index = make(map[cowslipproxy.LayerRange]int, len(g.pools))
	for i, p := range g.pools {
		g.index[p.layers] = i
		p.from, _ = slices.BinarySearch(g.bounds, p.layers.First)
		p.to, _ = slices.BinarySearch(g.bounds, p.layers.End)
	}
}

// serving reports whether the upstream may get new requests: neither its report
// nor the instance list marks it as leaving, and an engine has reported that it
// serves a valid layer range.
func (u *upstream) serving() bool {
	if u.leaving || u.report.Leaving {
		return false
	}
	return u.Service != "" || u.reported && u.report.Role != cowslipproxy.RoleSpare && u.report.Range.Check() == nil
}

// keys returns the keys of the groups that an engine belongs to.
func (u *upstream) keys() []groupKey {
	keys := []groupKey{{u.report.Model, u.report.Version, ""}}
	for _, adapter := range u.report.Adapters {
		key := groupKey{u.report.Model, u.report.Version, adapter}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// holds reports whether the engine belongs to the group.
func (u *upstream) holds(key groupKey) bool {
	return u.report.Model == key.model && u.report.Version == key.version &&
		(key.adapter == "" || slices.Contains(u.report.Adapters, key.adapter))
}

// addToPools adds the upstream to its pools.
func (c *Chooser) addToPools(u *upstream) {
	if !u.serving() {
		return
	}
	if u.Service != "" {
		p := c.services[u.Service]
		if p == nil {
			p = &pool{}
			c.services[u.Service] = p
		}
		p.add(u, c.Centre)
		return
	}
	for _, key := range u.keys() {
		c.addToGroup(u, key)
	}
}

func (c *Chooser) addToGroup(u *upstream, key groupKey) {
	g := c.groups[key]
	if g == nil {
		g = &group{key: key}
		c.groups[key] = g
	}
	i, ok := g.index[u.report.Range]
	if !ok {
		g.pools = append(g.pools, &pool{layers: u.report.Range})
		g.reindex()
		i = g.index[u.report.Range]
	}
	g.pools[i].add(u, c.Centre)
}

// removeFromPools removes the upstream from its pools.
func (c *Chooser) removeFromPools(u *upstream) {
	if !u.serving() {
		return
	}
	if p := c.services[u.Service]; p != nil {
		p.remove(u, c.Centre)
		return
	}
	for _, key := range u.keys() {
		c.removeFromGroup(u, key)
	}
}

func (c *Chooser) removeFromGroup(u *upstream, key groupKey) {
	g := c.groups[key]
	if g == nil {
		return
	}
	i, ok := g.index[u.report.Range]
	if !ok {
		return
	}
	g.pools[i].remove(u, c.Centre)
	if len(g.pools[i].members) > 0 {
		return
	}
	g.pools = slices.Delete(g.pools, i, i+1)
	if len(g.pools) == 0 {
		delete(c.groups, key)
		return
	}
	g.reindex()
}
