package pooler

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

// suspects keeps requests that may have crashed an upstream off each other's
// upstreams, so that a second crash tells which of them it was. Each upstream is
// left to the suspects of one daemon, chosen by rendezvous hashing. Requests that
// are not suspected may share the upstreams: exclusive use for the length of an
// answer would take a replica of each range out of service.
type suspects struct {
	mu      sync.Mutex
	held    map[string]string // request by upstream
	daemons []string
}

// foreign returns the upstreams that are left to the suspects of other daemons.
func (s *suspects) foreign(self string, upstreams []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, upstream := range upstreams {
		own := weight(self, upstream)
		for _, other := range s.daemons {
			if other != self && weight(other, upstream) > own {
				names = append(names, upstream)
				break
			}
		}
	}
	return names
}

func weight(daemon, upstream string) uint64 { return xxhash.Sum64String(daemon + "\x00" + upstream) }

// others returns the upstreams that this daemon's other suspects use.
func (s *suspects) others(request string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for upstream, holder := range s.held {
		if holder != request {
			names = append(names, upstream)
		}
	}
	return names
}

func (s *suspects) hold(request string, stages []cowslipproxy.Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = map[string]string{}
	}
	for _, stage := range stages {
		s.held[stage.Upstream] = request
	}
}

func (s *suspects) holds(request, upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[upstream] == request
}

func (s *suspects) release(upstream, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[upstream] == request {
		delete(s.held, upstream)
	}
}

func (s *suspects) clear(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for upstream, holder := range s.held {
		if holder == request {
			delete(s.held, upstream)
		}
	}
}

// SetDaemons tells which daemons share the upstreams, this one included.
func (p *Pool) SetDaemons(names []string) {
	p.suspects.mu.Lock()
	p.suspects.daemons = names
	p.suspects.mu.Unlock()
	p.chooser.SetPeers(len(names))
}

// IsAlone reports whether a suspect shares an upstream with no other suspect.
func (p *Pool) IsAlone(request, upstream string) bool { return p.suspects.holds(request, upstream) }
