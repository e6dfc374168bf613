package pooler

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

// holdLimit ends a hold whose release was lost.
const holdLimit = 2 * time.Minute

// suspects keeps requests that may have crashed an upstream off each other's
// upstreams, so that a second crash tells which of them it was. One daemon for
// each upstream, chosen by rendezvous hashing, grants it to one suspect of any
// daemon at a time. Requests that are not suspected may share the upstreams:
// exclusive use for the length of an answer would take a replica of each range
// out of service.
type suspects struct {
	mu      sync.Mutex
	granted map[string]grant  // by upstream, where this daemon grants it
	held    map[string]string // request by upstream, where this daemon holds it
	daemons []string
}

type grant struct {
	daemon, request string
	at              time.Time
}

// Hold is a request of one daemon to another to grant it an upstream for a
// suspect, or to take the grant back.
type Hold struct {
	Daemon   string `json:"daemon" validate:"required,max=64"`
	Upstream string `json:"upstream" validate:"required,max=64"`
	Request  string `json:"request" validate:"required,max=128"`
	Release  bool   `json:"release,omitempty"`
}

// Grant decides on a hold of an upstream that is this daemon's to grant.
func (p *Pool) Grant(now time.Time, hold Hold) bool {
	s := &p.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	current, taken := s.granted[hold.Upstream]
	same := taken && current.daemon == hold.Daemon && current.request == hold.Request
	if hold.Release {
		if same {
			delete(s.granted, hold.Upstream)
		}
		return true
	}
	if taken && !same && now.Sub(current.at) < holdLimit && s.lives(current.daemon) {
		return false
	}
	if s.granted == nil {
		s.granted = map[string]grant{}
	}
	s.granted[hold.Upstream] = grant{daemon: hold.Daemon, request: hold.Request, at: now}
	return true
}

func (s *suspects) lives(daemon string) bool {
	return len(s.daemons) == 0 || slices.Contains(s.daemons, daemon)
}

// owner returns the daemon that grants an upstream.
func (s *suspects) owner(self, upstream string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := self
	for _, daemon := range s.daemons {
		if weight(daemon, upstream) > weight(best, upstream) {
			best = daemon
		}
	}
	return best
}

func weight(daemon, upstream string) uint64 { return xxhash.Sum64String(daemon + "\x00" + upstream) }

// acquire gets all upstreams of a chain for a suspect, or none. It returns the
// first upstream that it didn't get.
func (p *Pool) acquire(now time.Time, request string, stages []cowslipproxy.Stage) string {
	for i, stage := range stages {
		if p.IsAlone(request, stage.Upstream) {
			continue
		}
		if !p.ask(now, Hold{Daemon: p.Name, Upstream: stage.Upstream, Request: request}) {
			for _, before := range stages[:i] {
				p.releaseHold(before.Upstream, request)
			}
			return stage.Upstream
		}
		p.suspects.mu.Lock()
		if p.suspects.held == nil {
			p.suspects.held = map[string]string{}
		}
		p.suspects.held[stage.Upstream] = request
		p.suspects.mu.Unlock()
	}
	return ""
}

// ask asks the daemon that grants an upstream, which may be this one.
func (p *Pool) ask(now time.Time, hold Hold) bool {
	owner := p.suspects.owner(p.Name, hold.Upstream)
	if owner == p.Name || p.Ask == nil {
		return p.Grant(now, hold)
	}
	return p.Ask(owner, hold)
}

// releaseHold gives an upstream back if the request holds it.
func (p *Pool) releaseHold(upstream, request string) {
	s := &p.suspects
	s.mu.Lock()
	holds := s.held[upstream] == request
	if holds {
		delete(s.held, upstream)
	}
	s.mu.Unlock()
	if holds {
		go p.ask(p.Clock(), Hold{Daemon: p.Name, Upstream: upstream, Request: request, Release: true})
	}
}

// Clear implements cowslipproxy.ChainChooser.
func (p *Pool) Clear(request string) {
	p.suspects.mu.Lock()
	var names []string
	for upstream, holder := range p.suspects.held {
		if holder == request {
			names = append(names, upstream)
		}
	}
	p.suspects.mu.Unlock()
	for _, upstream := range names {
		p.releaseHold(upstream, request)
	}
}

// IsAlone reports whether a suspect shares an upstream with no other suspect.
func (p *Pool) IsAlone(request, upstream string) bool {
	p.suspects.mu.Lock()
	defer p.suspects.mu.Unlock()
	return p.suspects.held[upstream] == request
}

// SetDaemons tells which daemons share the upstreams, this one included.
func (p *Pool) SetDaemons(names []string) {
	p.suspects.mu.Lock()
	p.suspects.daemons = names
	p.suspects.mu.Unlock()
	p.chooser.SetPeers(len(names))
}
