package ejector

import (
	"slices"
	"time"
)

// medianAge bounds how often a group's median is computed.
const medianAge = 250 * time.Millisecond

// group is the upstreams that can stand in for each other.
type group struct {
	name     string
	peers    []*peer
	median   float64
	medianAt time.Time
	measured bool
}

func (e *Ejector) join(p *peer, name string) {
	g := e.groups[name]
	if g == nil {
		g = &group{name: name}
		e.groups[name] = g
	}
	g.peers = append(g.peers, p)
	p.group = g
	p.times = times{}
}

func (e *Ejector) leave(p *peer) {
	g := p.group
	if g == nil {
		return
	}
	if i := slices.Index(g.peers, p); i >= 0 {
		g.peers = slices.Delete(g.peers, i, i+1)
	}
	if len(g.peers) == 0 {
		delete(e.groups, g.name)
	}
	p.group = nil
}

// counts returns the peers with a live connection that may get work, and how many of these are ejected.
func (g *group) counts() (alive, ejected int) {
	for _, p := range g.peers {
		if p.down || p.leaving {
			continue
		}
		alive++
		if p.ejected {
			ejected++
		}
	}
	return alive, ejected
}

// allows reports whether one more peer may be ejected by time or failures. At
// least half of the peers with a live connection stay in service, so ejections
// never take all.
func (g *group) allows() bool {
	alive, ejected := g.counts()
	return 2*(ejected+1) <= alive
}

// serves reports whether any peer is in service.
func (g *group) serves() bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool { return !p.ejected && !p.leaving })
}

// relieve restores ejected peers with a live connection as long as they are
// more than half of the live ones, those with the nearest probe first.
func (g *group) relieve(now time.Time) []Change {
	if g == nil {
		return nil
	}
	var changes []Change
	for {
		alive, ejected := g.counts()
		if 2*ejected <= alive {
			return changes
		}
		p := g.nextProbe()
		changes = append(changes, p.restore(now))
	}
}

func (g *group) nextProbe() *peer {
	var next *peer
	for _, p := range g.peers {
		if p.ejected && !p.down && !p.leaving && (next == nil || p.until.Before(next.until)) {
			next = p
		}
	}
	return next
}

// medianTime returns the lower median of the peers' times, so that of two
// peers the slower is the outlier. It reports false when fewer than two are measured.
func (g *group) medianTime(now time.Time) (float64, bool) {
	if !g.medianAt.IsZero() && now.Sub(g.medianAt) < medianAge {
		return g.median, g.measured
	}
	g.medianAt = now
	typical := make([]float64, 0, len(g.peers))
	for _, p := range g.peers {
		if p.times.settled() {
			typical = append(typical, p.times.typical)
		}
	}
	if g.measured = len(typical) >= 2; g.measured {
		slices.Sort(typical)
		g.median = typical[(len(typical)-1)/2]
	}
	return g.median, g.measured
}
