package chooser

import (
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Pick is the chosen upstream of a plain service.
type Pick struct {
	Name string        `json:"name"`
	Call time.Duration `json:"call"` // expected duration of a call
}

// Service chooses an upstream of a plain service by power of two choices. The
// error is a *cowslipproxy.Failure.
func (c *Chooser) Service(now time.Time, name string, avoid []string) (Pick, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sinceEpoch(now)
	p := c.services[name]
	if p == nil || len(p.members) == 0 {
		return Pick{}, cowslipproxy.Refuse(cowslipproxy.ReasonNoUpstream, "service %s: no upstream registered", name).After(retryNotHeld)
	}
	n := uint64(len(p.subset))
	first := c.random.Uint64() % n
	u := p.subset[first]
	if n > 1 {
		other := p.subset[(first+1+c.random.Uint64()%(n-1))%n]
		if c.callCost(other, at) < c.callCost(u, at) {
			u = other
		}
	}
	if slices.Contains(avoid, u.Name) || !c.usable(u.Name, now) {
		if u = c.scanService(p, now, at, avoid); u == nil {
			return Pick{}, cowslipproxy.Refuse(cowslipproxy.ReasonNoUpstream, "service %s: none of %d upstreams is usable", name, len(p.members)).After(retryUnusable)
		}
	}
	return Pick{Name: u.Name, Call: time.Duration(c.callCost(u, at))}, nil
}

// callCost returns the expected duration of a call that waits for this daemon's
// calls in flight to complete first.
func (c *Chooser) callCost(u *upstream, at time.Duration) float64 {
	return c.callTime(u, at) * float64(u.inFlight+1)
}

func (c *Chooser) callTime(u *upstream, at time.Duration) float64 {
	c.estimate(u, at)
	return u.callTime
}

// scanService returns the cheapest of the first maxScanned usable upstreams in
// rank order.
func (c *Chooser) scanService(p *pool, now time.Time, at time.Duration, avoid []string) *upstream {
	var best *upstream
	found := 0
	for _, u := range p.members {
		if slices.Contains(avoid, u.Name) || !c.usable(u.Name, now) {
			continue
		}
		if best == nil || c.callCost(u, at) < c.callCost(best, at) {
			best = u
		}
		if found++; found == maxScanned {
			break
		}
	}
	return best
}
