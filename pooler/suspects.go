package pooler

import (
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// holdTimeout is the time after which a hold expires, in case its release is lost.
const holdTimeout = 2 * time.Minute

// suspects ensures that requests which may have crashed an upstream don't share an
// upstream with each other, so that a second crash shows which of them caused it. For
// each upstream one daemon, chosen by rendezvous hashing, grants holds to suspects of
// all daemons, one at a time. A hold excludes only other suspects: exclusive use for the
// duration of an answer would take a replica of each range out of service.
type suspects struct {
	mu      sync.Mutex
	granted map[string]grant  // by upstream: holds that this daemon granted
	held    map[string]string // by upstream: request of this daemon that holds it
	daemons []string
}

type grant struct {
	daemon, request string
	at              time.Time
}

// HoldMessage is a message from one daemon to another that requests a hold on an upstream
// for a suspect or releases it.
type HoldMessage struct {
	Daemon   string `json:"daemon" validate:"required,max=64"`
	Upstream string `json:"upstream" validate:"required,max=64"`
	Request  string `json:"request" validate:"required,max=128"`
	Release  bool   `json:"release,omitempty"`
}

// Grant grants, refuses or releases a hold on an upstream whose holds this daemon
// manages. It reports whether the hold was granted or released.
func (p *Pool) Grant(now time.Time, hold HoldMessage) bool {
	s := &p.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isGranted := s.granted[hold.Upstream]
	sameHolder := isGranted && current.daemon == hold.Daemon && current.request == hold.Request
	if hold.Release {
		if sameHolder {
			delete(s.granted, hold.Upstream)
		}
		return true
	}
	if isGranted && !sameHolder && now.Sub(current.at) < holdTimeout && s.isLive(current.daemon) {
		return false
	}
	if s.granted == nil {
		s.granted = map[string]grant{}
	}
	s.granted[hold.Upstream] = grant{daemon: hold.Daemon, request: hold.Request, at: now}
	return true
}

func (s *suspects) isLive(daemon string) bool {
	return len(s.daemons) == 0 || slices.Contains(s.daemons, daemon)
}

// owner returns the daemon that grants the holds of an upstream.
func (s *suspects) owner(self, upstream string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cowslipproxy.RendezvousOwner(upstream, self, s.daemons)
}

// acquireHolds acquires holds on all upstreams of a chain for a suspect, or on none. It
// returns the first upstream whose hold was refused, or an empty name.
func (p *Pool) acquireHolds(now time.Time, request string, stages []cowslipproxy.Stage) string {
	for i, stage := range stages {
		if p.HasHold(request, stage.Upstream) {
			continue
		}
		if !p.requestHold(now, HoldMessage{Daemon: p.Name, Upstream: stage.Upstream, Request: request}) {
			for _, acquired := range stages[:i] {
				p.releaseHold(acquired.Upstream, request)
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

// requestHold requests or releases a hold at the daemon that grants the holds of the
// upstream, which may be this one. It reports whether the hold was granted or released.
func (p *Pool) requestHold(now time.Time, hold HoldMessage) bool {
	owner := p.suspects.owner(p.Name, hold.Upstream)
	if owner == p.Name || p.RequestHold == nil {
		return p.Grant(now, hold)
	}
	return p.RequestHold(owner, hold)
}

// releaseHold releases the hold on an upstream if the request has it.
func (p *Pool) releaseHold(upstream, request string) {
	s := &p.suspects
	s.mu.Lock()
	isHeld := s.held[upstream] == request
	if isHeld {
		delete(s.held, upstream)
	}
	s.mu.Unlock()
	if isHeld {
		go p.requestHold(p.Clock(), HoldMessage{Daemon: p.Name, Upstream: upstream, Request: request, Release: true})
	}
}

// ReleaseHolds implements cowslipproxy.ChainChooser.
func (p *Pool) ReleaseHolds(request string) {
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

// HasHold reports whether a request has the hold on an upstream. No other suspect uses
// the upstream meanwhile.
func (p *Pool) HasHold(request, upstream string) bool {
	p.suspects.mu.Lock()
	defer p.suspects.mu.Unlock()
	return p.suspects.held[upstream] == request
}

// SetDaemons sets the names of the daemons that share the upstreams, including this
// one.
func (p *Pool) SetDaemons(names []string) {
	p.suspects.mu.Lock()
	p.suspects.daemons = names
	p.suspects.mu.Unlock()
	p.chooser.SetPeers(len(names))
}
