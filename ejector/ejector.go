// Package ejector implements outlier ejection: it decides which upstreams are
// ejected, and when they are probed and restored. It starts no goroutine and reads
// no clock.
package ejector

import (
	"sync"
	"time"
)

// Ejector ejects upstreams on the basis of their results, which it compares within
// groups of peers. Its exported fields are set before the first use; 0 means the
// default. It is safe for concurrent use.
type Ejector struct {
	MaxFailures    int           // consecutive failures after which an upstream is ejected; default 3
	MedianMultiple float64       // multiple of the group's median time above which an upstream is ejected; default 4
	BaseDuration   time.Duration // duration of the first ejection; default 1 s
	MaxDuration    time.Duration // maximum duration of an ejection; default 60 s
	DecayInterval  time.Duration // time in service after which the ejection level decreases by one; default 30 s
	ProbeTimeout   time.Duration // time after which a probe without a result is abandoned and the next one is due; default 5 s

	mu     sync.Mutex
	peers  map[string]*peer
	groups map[string]*group
}

// Cause is the reason for an ejection.
type Cause string

// Causes of ejections.
const (
	CauseFailures     Cause = "failures" // consecutive failures
	CauseSlow         Cause = "time"     // slower than its peers
	CauseDisconnected Cause = "broken"   // its connection was lost
)

// Change is the ejection or the restoration of an upstream.
type Change struct {
	Name    string    `json:"name"`
	Ejected bool      `json:"ejected"`
	Cause   Cause     `json:"cause,omitempty"`
	Until   time.Time `json:"until,omitzero"` // when it may be probed
}

// State is the state of an upstream as shown to operators.
type State struct {
	Change
	Group   string        `json:"group"`
	Level   int           `json:"level"`   // doublings of the next ejection's duration
	Failed  int           `json:"failed"`  // consecutive failures
	Typical time.Duration `json:"typical"` // exponentially decayed average of its times
	Median  time.Duration `json:"median"`  // median time of the group
	P99     time.Duration `json:"p99"`     // 99th percentile of its decode steps
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func (e *Ejector) maxFailures() int             { return orDefault(e.MaxFailures, 3) }
func (e *Ejector) medianMultiple() float64      { return orDefault(e.MedianMultiple, 4) }
func (e *Ejector) baseDuration() time.Duration  { return orDefault(e.BaseDuration, time.Second) }
func (e *Ejector) maxDuration() time.Duration   { return orDefault(e.MaxDuration, time.Minute) }
func (e *Ejector) decayInterval() time.Duration { return orDefault(e.DecayInterval, 30*time.Second) }
func (e *Ejector) probeTimeout() time.Duration  { return orDefault(e.ProbeTimeout, 5*time.Second) }

// Add adds an upstream to a group of peers: the engines that hold one layer range,
// or the servers of one service. An ejected upstream that moves to another group
// stays ejected.
func (e *Ejector) Add(name, groupName string) {
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
	if p.group != nil && p.group.name == groupName {
		return
	}
	e.leave(p)
	e.join(p, groupName)
}

// Remove removes an upstream. It returns the peers that are restored because the
// group is smaller.
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
	return g.restoreExcess(now)
}

// SetLeaving sets whether an upstream is leaving and therefore gets no new requests.
// It returns the peers that are restored because fewer upstreams are in service.
func (e *Ejector) SetLeaving(name string, leaving bool, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || p.leaving == leaving {
		return nil
	}
	p.leaving = leaving
	return p.group.restoreExcess(now)
}

// Usable reports whether an upstream may get a request: it is not ejected, or its
// probe is due. An unknown upstream is usable.
func (e *Ejector) Usable(name string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	return p == nil || !p.ejected || e.probeDue(p, now)
}

// Begin reports whether a request may be sent to an upstream. It is called before
// the request is sent. An ejected upstream whose probe is due accepts the request as
// its probe, and no other request until the result of the probe.
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
	p.probing, p.probeStart = true, now
	return true
}
