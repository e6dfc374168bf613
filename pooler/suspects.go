package pooler

import (
	"sync"

	"github.com/cowslipproxy/cowslipproxy"
)

// suspects keeps requests that may have crashed an upstream off each other's
// upstreams, so that a second crash tells which of them it was. Requests that
// are not suspected may share the upstreams: exclusive use for the length of an
// answer would take a replica of each range out of service.
type suspects struct {
	mu   sync.Mutex
	held map[string]string // request by upstream
}

// others returns the upstreams that other suspects use.
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
