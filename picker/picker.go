// Package picker chooses the server for a request to a service whose servers
// are interchangeable. It starts no goroutine and does not read the clock.
package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// remoteCost is added to the cost of a server in another data centre, as a
	// fraction of its slots. It is not higher, although traffic between data centres
	// is billed, because a full local server is slow.
	remoteCost = 0.25
	// failureCost is added to the cost of a server whose latest requests all failed.
	failureCost = 4.0
	// failureHalfLife is the time after which a failure counts half as much.
	failureHalfLife = 2 * time.Second
	// maxLoadAge is how long a load that a server reported is used.
	maxLoadAge = 500 * time.Millisecond
	// smoothing is the weight of the latest result in the moving average of
	// failures.
	smoothing = 0.4
	// defaultSlots is assumed for a server that does not report its slots.
	defaultSlots = 4
)

// Picker chooses among the servers of one service. The exported fields must be
// set before the first use. It is safe for concurrent use.
type Picker struct {
	Centre string // data centre of this daemon
	Random *rand.Rand
	// Balancer chooses among the servers under load; nil for the one with the lowest cost.
	Balancer cowslipproxy.Balancer

	mu      sync.Mutex
	servers []*server

	isBalanced bool // the latest choice was made by Balancer
}

type server struct {
	cowslipproxy.Instance
	inFlight    int                     // requests in flight from this daemon
	failureRate float64                 // moving average of failures, 0 to 1
	failedAt    time.Time               // time of the latest failure
	reported    cowslipproxy.ServerLoad // latest load that the server reported
	reportedAt  time.Time
	sent        int     // requests from this daemon since then
	others      float64 // requests of other daemons
	othersAt    time.Time
	credit      float64 // requests that the server is owed, kept by the balancer
}

// Set replaces the servers of the service. A server that remains keeps its load and
// failures.
func (p *Picker) Set(instances []cowslipproxy.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = nil
	for _, instance := range instances {
		s := &server{credit: p.Random.Float64()}
		if i := slices.IndexFunc(old, func(o *server) bool { return o.ID == instance.ID && o.StartedAt.Equal(instance.StartedAt) }); i >= 0 {
			s = old[i]
		}
		s.Instance = instance
		p.servers = append(p.servers, s)
	}
}

// Pick chooses the server with the lowest cost and counts the request on it. It
// skips the servers in avoid and reports false if no live server remains.
func (p *Picker) Pick(now time.Time, avoid []string) (cowslipproxy.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.balanced(now, avoid)
	if best == nil {
		best = p.cheapest(now, avoid)
	}
	if best == nil {
		return cowslipproxy.Instance{}, false
	}
	best.inFlight++
	best.sent++
	return best.Instance, true
}

// cheapest returns the live server with the lowest cost, or nil.
func (p *Picker) cheapest(now time.Time, avoid []string) *server {
	var best *server
	lowest := math.Inf(1)
	for _, s := range p.servers {
		if s.State != cowslipproxy.VMLive || slices.Contains(avoid, s.ID) {
			continue
		}
		// Random jitter breaks ties between equal servers.
		if cost := p.cost(now, s) + p.Random.Float64()*remoteCost/4; cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// room returns the number of requests that the server runs at once.
func (s *server) room() float64 {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return float64(s.Slots)
}

// failures returns the rate of failures, reduced by the time since the latest one.
func (s *server) failures(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failedAt).Seconds()/failureHalfLife.Seconds())
}

// cost returns the load of a server as a fraction of its slots, plus the costs of
// failures and of another data centre.
func (p *Picker) cost(now time.Time, s *server) float64 {
	busy := float64(s.inFlight)
	if now.Sub(s.reportedAt) < maxLoadAge {
		busy = max(busy, float64(s.reported.Running+s.reported.Waiting))
	}
	cost := busy/s.room() + failureCost*s.failures(now)
	if s.Centre != p.Centre {
		cost += remoteCost
	}
	return cost
}

// Release records that a chosen server got no request after all.
func (p *Picker) Release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.ID == id {
			s.inFlight, s.sent = max(s.inFlight-1, 0), max(s.sent-1, 0)
		}
	}
}

// Done records the end of a request on a server, with the load that the server
// reported, if any.
func (p *Picker) Done(now time.Time, id string, failed bool, reported *cowslipproxy.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.ID != id {
			continue
		}
		s.inFlight = max(s.inFlight-1, 0)
		if reported != nil {
			s.reported, s.reportedAt, s.sent = *reported, now, 0
		}
		if failed {
			s.failureRate += smoothing * (1 - s.failureRate)
			s.failedAt = now
		} else {
			s.failureRate -= smoothing * s.failureRate
		}
	}
}
