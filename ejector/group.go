package ejector

import (
	"slices"
	"time"
)

// maxMedianAge is the age after which a group's median is recomputed.
const maxMedianAge = 250 * time.Millisecond

// group contains the upstreams that can replace each other.
type group struct {
	name     string
	peers    []*peer
	median   float64
	medianAt time.Time
	measured bool // median is valid
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

// counts returns the number of peers that are connected and not leaving, and how
// many of these are ejected.
func (g *group) counts() (connected, ejected int) {
	for _, p := range g.peers {
		if p.down || p.leaving {
			continue
		}
		connected++
		if p.ejected {
			ejected++
		}
	}
	return connected, ejected
}

// allowsEjection reports whether one more peer may be ejected because of its time or
// failures. At least half of the connected peers stay in service, so that such
// ejections never remove all of them.
func (g *group) allowsEjection() bool {
	connected, ejected := g.counts()
	return 2*(ejected+1) <= connected
}

// anyInService reports whether any peer is in service.
func (g *group) anyInService() bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool { return !p.ejected && !p.leaving })
}

// restoreExcess restores ejected peers while more than half of the connected peers
// are ejected, those with the earliest probe first.
func (g *group) restoreExcess(now time.Time) []Change {
	if g == nil {
		return nil
	}
	var changes []Change
	for {
		connected, ejected := g.counts()
		if 2*ejected <= connected {
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

// medianTime returns the lower median of the peers' average times, so that of two
// peers the slower one is the outlier. It reports false if fewer than two peers have
// enough samples.
func (g *group) medianTime(now time.Time) (float64, bool) {
	if !g.medianAt.IsZero() && now.Sub(g.medianAt) < maxMedianAge {
		return g.median, g.measured
	}
	g.medianAt = now
	averages := make([]float64, 0, len(g.peers))
	for _, p := range g.peers {
		if p.times.hasEnoughSamples() {
			averages = append(averages, p.times.average)
		}
	}
	if g.measured = len(averages) >= 2; g.measured {
		slices.Sort(averages)
		g.median = averages[(len(averages)-1)/2]
	}
	return g.median, g.measured
}
