package picker

import (
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// HoldTime is the time that a request occupies a server, for the balancer of a Picker.
	HoldTime = time.Second
	// maxFigureAge is how long a load figure is used.
	maxFigureAge = 2 * time.Second
	// lightLoad is the mean load of the servers, as a fraction of their slots, below which the
	// balancer is not used. Requests rarely wait then.
	lightLoad = 0.35
	// remotePreference is the preference for servers in another data centre. Traffic between data
	// centres is billed.
	remotePreference = 0.25
	// shareDelay is the usual age of other daemons' loads when they arrive.
	shareDelay = 500 * time.Millisecond
	// maxFailures is the rate of failures above which a server is not a candidate. It is that of
	// a server 3.4 s after its first failure.
	maxFailures = 0.125
)

// OwnLoads returns the number of this daemon's requests by server.
func (p *Picker) OwnLoads() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := map[string]float64{}
	for _, s := range p.servers {
		if s.inFlight > 0 {
			loads[s.ID] = float64(s.inFlight)
		}
	}
	return loads
}

// SetOtherLoads sets the number of other daemons' requests by server.
func (p *Picker) SetOtherLoads(now time.Time, loads map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.others, s.othersAt = loads[s.ID], now
	}
}

// balanced returns the server that the balancer chooses among those that do not fail, or nil if
// there is no balancer, no such server, or little load.
func (p *Picker) balanced(now time.Time, avoid []string) *server {
	if p.Balancer == nil {
		return nil
	}
	var servers []*server
	var candidates []cowslipproxy.Candidate
	var load float64
	for _, s := range p.servers {
		if s.State != cowslipproxy.VMLive || slices.Contains(avoid, s.ID) || s.failures(now) > maxFailures {
			continue
		}
		c := p.candidate(now, s)
		servers, candidates, load = append(servers, s), append(candidates, c), load+c.Load
	}
	p.isBalanced = len(servers) > 0 && load >= lightLoad*float64(len(servers))
	if !p.isBalanced {
		return nil
	}
	return servers[p.Balancer.Choose(candidates)]
}

// candidate returns what is known of a server: its own figure and the sends since, or the
// requests of all daemons, whichever is newer.
func (p *Picker) candidate(now time.Time, s *server) cowslipproxy.Candidate {
	c := cowslipproxy.Candidate{Room: s.room(), Preference: 1, Age: maxFigureAge, Credit: &s.credit}
	busy := float64(s.inFlight)
	if age := now.Sub(s.othersAt) + shareDelay; age < maxFigureAge {
		busy, c.Age = busy+s.others, age
	}
	if age := now.Sub(s.reportedAt); age < c.Age {
		busy, c.Age = max(float64(s.inFlight), float64(s.reported.Running+s.reported.Waiting+s.sent)), age
	}
	c.Load = busy / c.Room
	if s.Centre != p.Centre {
		c.Preference = remotePreference
	}
	return c
}

// Spread returns how even the load of the servers is, and whether the latest choice was balanced.
func (p *Picker) Spread(now time.Time) cowslipproxy.Spread {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []float64
	for _, s := range p.servers {
		loads = append(loads, p.candidate(now, s).Load)
	}
	spread := cowslipproxy.NewSpread(loads)
	spread.IsBalanced = p.isBalanced
	return spread
}
