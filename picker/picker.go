// Package picker decides which server of a plain service gets a request. It
// starts no goroutine and reads no clock.
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
	// farCost is the cost of a server in another data centre, in parts of its
	// slots. Bytes between data centres are priced, and a full server is slow.
	farCost = 0.25
	// failCost is the cost of a server that failed its newest requests.
	failCost = 4.0
	// forget is the time after which a failure weighs half as much.
	forget = 2 * time.Second
	// loadAge is how long a load that a server told counts.
	loadAge = 500 * time.Millisecond
	// step is the weight of the newest result in the average of failures.
	step = 0.4
	// usualSlots stands for slots that a server doesn't tell.
	usualSlots = 4
)

// Picker chooses among a service's servers. Its exported fields are set before
// the first use. It is safe for concurrent use.
type Picker struct {
	Centre string // data centre of this daemon
	Random *rand.Rand

	mu      sync.Mutex
	servers []*server
}

type server struct {
	cowslipproxy.Instance
	own      int     // requests of this daemon
	failing  float64 // average of failures, 0 to 1
	failed   time.Time
	load     cowslipproxy.ServerLoad
	loadedAt time.Time
}

// Set takes in the service's servers.
func (p *Picker) Set(instances []cowslipproxy.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = nil
	for _, instance := range instances {
		s := &server{}
		if i := slices.IndexFunc(old, func(o *server) bool { return o.ID == instance.ID && o.Born.Equal(instance.Born) }); i >= 0 {
			s = old[i]
		}
		s.Instance = instance
		p.servers = append(p.servers, s)
	}
}

// Pick returns the server with the least expected load and counts the request
// on it, or false if no live server is left. Servers in avoid are left out.
func (p *Picker) Pick(now time.Time, avoid []string) (cowslipproxy.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *server
	least := math.Inf(1)
	for _, s := range p.servers {
		if s.State != cowslipproxy.VMLive || slices.Contains(avoid, s.ID) {
			continue
		}
		// The draw decides among servers that are alike.
		if cost := p.cost(now, s) + p.Random.Float64()*farCost/4; cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return cowslipproxy.Instance{}, false
	}
	best.own++
	return best.Instance, true
}

func (p *Picker) cost(now time.Time, s *server) float64 {
	slots := float64(s.Slots)
	if slots <= 0 {
		slots = usualSlots
	}
	busy := float64(s.own)
	if now.Sub(s.loadedAt) < loadAge {
		busy = max(busy, float64(s.load.Running+s.load.Waiting))
	}
	cost := busy/slots + failCost*s.failing*math.Exp2(-now.Sub(s.failed).Seconds()/forget.Seconds())
	if s.Centre != p.Centre {
		cost += farCost
	}
	return cost
}

// Done takes in the end of a request at a server.
func (p *Picker) Done(now time.Time, id string, failed bool, load *cowslipproxy.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.ID != id {
			continue
		}
		s.own = max(s.own-1, 0)
		if load != nil {
			s.load, s.loadedAt = *load, now
		}
		if failed {
			s.failing += step * (1 - s.failing)
			s.failed = now
		} else {
			s.failing -= step * s.failing
		}
	}
}
