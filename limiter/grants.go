package limiter

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// grantBurst is the time over which unused grants accumulate.
	grantBurst = 500 * time.Millisecond
	// maxWait is the longest time until a daemon asks again after a refusal, since the rate
	// of grants rises when more daemons are visible.
	maxWait = 2 * time.Second
	// resumeTime is how long new requests wait for a resumed one that was refused to ask
	// again.
	resumeTime = 200 * time.Millisecond
	// maxGrantDebt is the longest time for which no request is granted because forced ones
	// were sent.
	maxGrantDebt = 4 * time.Second
	// minGrantRate, in requests per second, is granted to an upstream with a smaller limit.
	// The end of a limit shows only in the reply to a request.
	minGrantRate = 0.2
	// retryDelay is the time until a daemon asks again after it got no reply, or asked a
	// daemon that does not grant the requests to the upstream. Daemons agree on that within
	// seconds.
	retryDelay = 200 * time.Millisecond
)

// Grants keeps the limits that upstreams name for the requests of all daemons together.
// For each such upstream one daemon, chosen by rendezvous hashing over the live ones,
// grants the requests of all. The shares of Limits do not serve here: a share of a few
// requests a second is less than one request for each daemon of a large fleet.
//
// The exported fields must be set before the first use.
type Grants struct {
	Self     string // incarnation of this daemon
	OnChange func() // called when TakeChanges has a limit to return; must not call the Grants

	mutex     sync.Mutex
	upstreams map[string]*limitedUpstream // by incarnation
	silent    map[string]time.Time        // when to ask a daemon again that did not reply
	daemons   []string                    // that grant requests; empty means this one alone
	fleet     fleetSize
	visible   float64 // part of the known daemons that is live; 0 until SetDaemons is called
}

const (
	// missingDaemonTTL is how long a daemon counts that is not live any more.
	missingDaemonTTL = 15 * time.Second
	// assumedDaemons is the assumed number of daemons while a daemon that has just started
	// knows no other one.
	assumedDaemons = 16
)

// fleetSize is the number of daemons that were live recently. Those that are missing may be
// cut off and grant requests themselves. The daemons on each side of a cut therefore
// grant only their part of a limit, until the others count as gone.
type fleetSize struct {
	daemons int
	at      time.Time // when that many were last live
	started time.Time
}

// visible returns the part of the known daemons that is live.
func (f *fleetSize) visible(now time.Time, live int) float64 {
	if f.started.IsZero() {
		f.started = now
	}
	if live >= f.daemons || now.Sub(f.at) >= missingDaemonTTL {
		f.daemons, f.at = live, now
	}
	if f.daemons <= 1 && now.Sub(f.started) < missingDaemonTTL {
		return 1.0 / assumedDaemons
	}
	return float64(live) / float64(f.daemons)
}

// limitedUpstream is an upstream that has named a limit.
type limitedUpstream struct {
	Limit
	bucket       *bucket                 // of grants; nil unless this daemon grants the requests
	changed      time.Time               // when this daemon learned of the version
	seen         time.Time               // when this daemon last heard of the limit
	refusedUntil map[GrantKind]time.Time // before this time, no request of a kind is granted
	resumesUntil time.Time               // before this time, no new request is granted, since resumed ones wait
	reported     Limit                   // as of the last TakeChanges
	publish      bool                    // this daemon must publish the limit
}

// Permission is the decision whether a request may be sent to an upstream.
type Permission struct {
	Granted bool          // the request may be sent
	Wait    time.Duration // time after which the next request may be granted, if this one is not
	Granter string        // incarnation of the daemon that must be asked with Ask; empty if Granted and Wait decide
	Ask     GrantRequest
}

// GrantKind is the reason for a request to an upstream.
type GrantKind string

// Kinds of grants.
const (
	GrantNew    GrantKind = "new"    // the request has not been answered yet
	GrantResume GrantKind = "resume" // the rest of an answer, before new requests
	GrantForced GrantKind = "forced" // is sent in any case and only counts towards the limit
)

// GrantRequest asks the daemon that grants the requests to an upstream for one of them.
type GrantRequest struct {
	Limit Limit     `json:"limit"` // as the asking daemon knows it
	Kind  GrantKind `json:"kind"`
}

// Check reports the first invalid field.
func (r GrantRequest) Check() error {
	if r.Kind != GrantNew && r.Kind != GrantResume && r.Kind != GrantForced {
		return errors.Errorf("kind: %q is not new, resume or forced", r.Kind)
	}
	return r.Limit.Check()
}

// GrantReply is the reply to a GrantRequest.
type GrantReply struct {
	Limit   Limit                 `json:"limit"` // as the granting daemon knows it
	Granted bool                  `json:"granted"`
	Wait    cowslipproxy.Duration `json:"wait"` // time after which the next request may be granted, if this one is not
}

// Check reports the first invalid field.
func (r GrantReply) Check() error { return r.Limit.Check() }

// Request decides whether a request may be sent to an upstream, or which daemon to ask. The
// daemon's reply goes to HandleReply.
func (g *Grants) Request(now time.Time, upstream string, kind GrantKind) Permission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.upstreams[upstream]
	if u == nil || u.Lifted {
		return Permission{Granted: true}
	}
	if wait := u.refusedUntil[kind].Sub(now); wait > 0 {
		return Permission{Wait: wait}
	}
	granter := g.granter(upstream)
	if granter == g.Self {
		return u.apply(now, kind, g.grant(now, u, kind))
	}
	if until, isSilent := g.silent[granter]; isSilent && kind != GrantForced {
		if now.Before(until) {
			return Permission{Wait: until.Sub(now)}
		}
		g.silent[granter] = now.Add(retryDelay) // the other requests wait for the reply to this one
	}
	return Permission{Granter: granter, Ask: GrantRequest{Limit: u.Limit, Kind: kind}}
}

// Grant decides on the request of another daemon.
func (g *Grants) Grant(now time.Time, request GrantRequest) GrantReply {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	u := g.merge(now, request.Limit)
	switch {
	case u.Lifted:
		return GrantReply{Limit: u.Limit, Granted: true}
	case g.granter(u.Upstream) != g.Self:
		return GrantReply{Limit: u.Limit, Wait: cowslipproxy.Duration(retryDelay)}
	default:
		return g.grant(now, u, request.Kind)
	}
}

func (g *Grants) grant(now time.Time, u *limitedUpstream, kind GrantKind) GrantReply {
	g.fill(now, u)
	u.seen = now
	switch resumesFor := u.resumesUntil.Sub(now); {
	case kind == GrantForced:
		u.bucket.availableTokens = math.Max(u.bucket.availableTokens-1, -u.bucket.rate*maxGrantDebt.Seconds())
		return GrantReply{Limit: u.Limit, Granted: true}
	case kind == GrantNew && resumesFor > 0:
		return GrantReply{Limit: u.Limit, Wait: cowslipproxy.Duration(resumesFor)}
	}
	wait, granted := u.bucket.take(now, 1)
	if kind == GrantResume && !granted {
		u.resumesUntil = now.Add(wait + resumeTime)
	}
	return GrantReply{Limit: u.Limit, Granted: granted, Wait: cowslipproxy.Duration(wait)}
}

// fill makes the grants of an upstream available at the current rate. A daemon that becomes
// responsible for an upstream starts without any, since its predecessor may have given
// all of them a moment before.
func (g *Grants) fill(now time.Time, u *limitedUpstream) {
	if u.bucket == nil {
		u.bucket = &bucket{at: now}
	}
	rate := math.Max(u.Rate, minGrantRate) * orDefault(g.visible, 1)
	u.bucket.set(now, rate, math.Max(rate*grantBurst.Seconds(), 1))
}

// HandleReply applies the reply of the daemon that was asked.
func (g *Grants) HandleReply(now time.Time, asked Permission, reply GrantReply) Permission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.silent, asked.Granter)
	if reply.Limit.Upstream != asked.Ask.Limit.Upstream {
		return Permission{Wait: retryDelay}
	}
	return g.merge(now, reply.Limit).apply(now, asked.Ask.Kind, reply)
}

// HandleNoReply records that the daemon that was asked did not reply. Until it is asked
// again, no request is sent to the upstreams for which it is responsible.
func (g *Grants) HandleNoReply(now time.Time, asked Permission) Permission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.silent == nil {
		g.silent = map[string]time.Time{}
	}
	g.silent[asked.Granter] = now.Add(retryDelay)
	return Permission{Wait: retryDelay}
}

func (u *limitedUpstream) apply(now time.Time, kind GrantKind, reply GrantReply) Permission {
	if reply.Granted {
		return Permission{Granted: true}
	}
	if u.refusedUntil == nil {
		u.refusedUntil = map[GrantKind]time.Time{}
	}
	wait := min(time.Duration(reply.Wait), maxWait)
	u.refusedUntil[kind] = now.Add(wait)
	return Permission{Wait: wait}
}

// granter returns the daemon that grants the requests to an upstream.
func (g *Grants) granter(upstream string) string {
	if len(g.daemons) == 0 {
		return g.Self
	}
	return cowslipproxy.RendezvousOwner(upstream, g.daemons[0], g.daemons[1:])
}

// SetDaemons sets the daemons that grant requests, and the number of live ones. It is
// larger if some are about to stop.
func (g *Grants) SetDaemons(now time.Time, granting []string, live int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.daemons, g.visible = granting, g.fleet.visible(now, live)
	maps.DeleteFunc(g.silent, func(daemon string, _ time.Time) bool { return !slices.Contains(granting, daemon) })
	for _, u := range g.upstreams {
		g.updateGranter(now, u)
	}
}

// updateGranter starts or ends the grants of an upstream for which this daemon is or is
// not responsible. The responsible daemon publishes the limit, so that daemons which start
// later learn it.
func (g *Grants) updateGranter(now time.Time, u *limitedUpstream) {
	if u.Lifted || g.granter(u.Upstream) != g.Self {
		u.bucket = nil
		return
	}
	if u.bucket == nil {
		g.markPublished(u)
	}
	g.fill(now, u)
}

func (g *Grants) markPublished(u *limitedUpstream) {
	u.publish = true
	g.notify()
}

func (g *Grants) notify() {
	if g.OnChange != nil {
		g.OnChange()
	}
}
