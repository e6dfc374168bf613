// Package ejector decides which upstreams are ejected after failures, and when
// they are probed and return. It starts no goroutine and reads no clock.
package ejector

import (
	"sync"
	"time"
)

// Ejector judges upstreams by their results, in groups of peers. Its exported
// fields are set before the first use; 0 stands for the default. It is safe for
// concurrent use.
type Ejector struct {
	Failures int           // consecutive failures that eject; default 3
	Multiple float64       // of the group's median time, beyond which an upstream is ejected; default 4
	Base     time.Duration // length of the first ejection; default 1 s
	Cap      time.Duration // longest ejection; default 60 s
	Calm     time.Duration // time in service after which one doubling is taken back; default 30 s
	Probe    time.Duration // time after which a probe without a result is given up; default 5 s

	mu     sync.Mutex
	peers  map[string]*peer
	groups map[string]*group
}

// Cause says why an upstream was ejected.
type Cause string

// Causes of ejections.
const (
	CauseFailures Cause = "failures" // consecutive failures
	CauseTime     Cause = "time"     // slower than its peers
	CauseBroken   Cause = "broken"   // its connection broke
)

// Change tells that an upstream was ejected or returned.
type Change struct {
	Name    string    `json:"name"`
	Ejected bool      `json:"ejected"`
	Cause   Cause     `json:"cause,omitempty"`
	Until   time.Time `json:"until,omitzero"` // when it may be probed
}

// State is what the ejector holds of an upstream, for the operators' dump.
type State struct {
	Change
	Group   string        `json:"group"`
	Level   int           `json:"level"`   // ejections that count for the next one's length
	Failed  int           `json:"failed"`  // consecutive failures
	Typical time.Duration `json:"typical"` // decayed average of its times
	Median  time.Duration `json:"median"`  // of the group
	P99     time.Duration `json:"p99"`     // of its decode steps
}

func orDefault[T int | float64 | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

func (e *Ejector) failures() int        { return orDefault(e.Failures, 3) }
func (e *Ejector) multiple() float64    { return orDefault(e.Multiple, 4) }
func (e *Ejector) base() time.Duration  { return orDefault(e.Base, time.Second) }
func (e *Ejector) limit() time.Duration { return orDefault(e.Cap, time.Minute) }
func (e *Ejector) calm() time.Duration  { return orDefault(e.Calm, 30*time.Second) }
func (e *Ejector) probe() time.Duration { return orDefault(e.Probe, 5*time.Second) }

// Add puts an upstream into a group of peers: the holders of one range, or the
// servers of one service. An upstream that moves to another group stays
// ejected if it was.
func (e *Ejector) Add(name, peers string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = map[string]*peer{}
		e.groups = map[string]*group{}
	}
	p := e.peers[name]
	if p == nil {
		p = &peer{name: name}
		e.peers[name] = p
	}
	if p.group != nil && p.group.name == peers {
		return
	}
	e.leave(p)
	e.join(p, peers)
}

// Remove forgets an upstream. It returns the peers that have to return because
// of the smaller group.
func (e *Ejector) Remove(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil {
		return nil
	}
	g := p.group
	e.leave(p)
	delete(e.peers, name)
	return g.relieve(now)
}

// SetLeaving says whether an upstream gets no new work for another reason. It
// returns the peers that have to return because fewer are left to serve.
func (e *Ejector) SetLeaving(name string, leaving bool, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || p.leaving == leaving {
		return nil
	}
	p.leaving = leaving
	return p.group.relieve(now)
}

// Usable reports whether an upstream may get a request: it is not ejected, or
// its probe is due. An unknown upstream is usable.
func (e *Ejector) Usable(name string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	return p == nil || !p.ejected || e.probeDue(p, now)
}

// Begin claims an upstream for a request before it is sent. It reports false
// for an ejected upstream, unless the request is its probe: then no other
// request gets the upstream until the probe's result.
func (e *Ejector) Begin(name string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || !p.ejected {
		return true
	}
	if !e.probeDue(p, now) {
		return false
	}
	p.probing, p.probedAt = true, now
	return true
}
