package limiter

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// rateTolerance is the relative change of a limit that is not spread to all daemons.
	rateTolerance = 0.05
	// namedTTL is the time after which a limit is forgotten that was neither named nor
	// exchanged. An upstream that gets requests names it in each reply.
	namedTTL = 10 * time.Minute
	// maxLimitedUpstreams bounds the limits that are kept.
	maxLimitedUpstreams = 4096
)

// Limit is the limit that an upstream names, as daemons exchange it.
type Limit struct {
	Upstream string  `json:"upstream"` // incarnation: a restarted upstream has not named a limit yet
	Version  uint64  `json:"version"`  // incremented when the upstream names another limit or none
	Rate     float64 `json:"rate"`     // requests per second from all daemons together
	Lifted   bool    `json:"lifted,omitempty"`
}

// Check reports the first invalid field.
func (l Limit) Check() error {
	if l.Upstream == "" {
		return errors.New("upstream: missing; an incarnation is required")
	}
	if l.Version == 0 {
		return errors.New("version: 0 is not at least 1")
	}
	if !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
		return errors.Errorf("rate: %v is not a finite number of at least 0", l.Rate)
	}
	return nil
}

// newer reports whether a limit replaces another one of the same upstream. Of limits that
// daemons learned at the same time, the stricter one does.
func (l Limit) newer(other Limit) bool {
	if l.Version != other.Version {
		return l.Version > other.Version
	}
	if l.Lifted != other.Lifted {
		return other.Lifted
	}
	return l.Rate < other.Rate
}

// Named records that a reply named a limit. Replies may overtake each other, so only those
// to requests that were sent after the last change count.
func (g *Grants) Named(now, sent time.Time, upstream string, rate float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.upstreams[upstream]
	if u == nil {
		g.replace(now, Limit{Upstream: upstream, Version: 1, Rate: rate}, true)
		return
	}
	u.seen = now
	isSame := !u.Lifted && math.Abs(rate-u.Rate) <= rateTolerance*u.Rate
	if isSame || !sent.After(u.changed) {
		return
	}
	g.replace(now, Limit{Upstream: upstream, Version: u.Version + 1, Rate: rate}, true)
}

// NotNamed records that an upstream ran a request and named no limit in its reply.
func (g *Grants) NotNamed(now, sent time.Time, upstream string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.upstreams[upstream]
	if u == nil || u.Lifted || !sent.After(u.changed) {
		return
	}
	g.replace(now, Limit{Upstream: upstream, Version: u.Version + 1, Lifted: true}, true)
}

// Merge applies a limit that another daemon published. Limits may arrive late, repeatedly
// or out of order.
func (g *Grants) Merge(now time.Time, limit Limit) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.merge(now, limit)
}

func (g *Grants) merge(now time.Time, limit Limit) *limitedUpstream {
	u := g.upstreams[limit.Upstream]
	if u == nil || limit.newer(u.Limit) {
		return g.replace(now, limit, false)
	}
	u.seen = now
	return u
}

// replace stores a limit. A limit that this daemon learned from the upstream is published.
func (g *Grants) replace(now time.Time, limit Limit, publish bool) *limitedUpstream {
	if g.upstreams == nil {
		g.upstreams = map[string]*limitedUpstream{}
	}
	u := g.upstreams[limit.Upstream]
	if u == nil {
		if len(g.upstreams) >= maxLimitedUpstreams {
			g.evict()
		}
		u = &limitedUpstream{}
		g.upstreams[limit.Upstream] = u
	}
	u.Limit, u.changed, u.seen, u.refusedUntil = limit, now, now, nil
	u.publish = u.publish || publish
	g.updateGranter(now, u)
	g.notify()
	return u
}

// evict forgets the limit that was not heard of for the longest time.
func (g *Grants) evict() {
	var oldest *limitedUpstream
	for _, u := range g.upstreams {
		if oldest == nil || u.seen.Before(oldest.seen) {
			oldest = u
		}
	}
	delete(g.upstreams, oldest.Upstream)
}

// LimitChange is a limit that changed or that this daemon must publish.
type LimitChange struct {
	Limit
	Before  Limit // zero if the upstream had named none
	Publish bool
}

// TakeChanges returns the limits that changed or that this daemon must publish since the
// last call, and forgets old ones.
func (g *Grants) TakeChanges(now time.Time) (changes []LimitChange) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for upstream, u := range g.upstreams {
		if now.Sub(u.seen) > namedTTL {
			delete(g.upstreams, upstream)
			continue
		}
		if u.publish || u.Limit != u.reported {
			changes = append(changes, LimitChange{u.Limit, u.reported, u.publish})
		}
		u.publish, u.reported = false, u.Limit
	}
	slices.SortFunc(changes, func(a, b LimitChange) int { return strings.Compare(a.Upstream, b.Upstream) })
	return changes
}

// GrantState is the state of an upstream's limit as shown to operators.
type GrantState struct {
	Limit
	Granter   string  `json:"granter"`   // daemon that grants the requests
	Available float64 `json:"available"` // requests that can be granted now, if this daemon grants them
}

// State returns the limits that upstreams have named, in order of the upstreams.
func (g *Grants) State(now time.Time) (states []GrantState) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, u := range g.upstreams {
		state := GrantState{Limit: u.Limit, Granter: g.granter(u.Upstream)}
		if u.bucket != nil {
			u.bucket.refill(now)
			state.Available = u.bucket.availableTokens
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b GrantState) int { return strings.Compare(a.Upstream, b.Upstream) })
	return states
}

// Knows reports whether the limit of an upstream is known.
func (g *Grants) Knows(upstream string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.upstreams[upstream] != nil
}
