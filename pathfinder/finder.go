// Package pathfinder chooses the engines that run a request's layers, for
// services whose engines forward the work to each other. It starts no goroutine
// and does not read the clock.
package pathfinder

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// suspectDuration is how long an engine gets no new work after it refused or
	// aborted work or stalled a path. The platform's list drops a crashed engine
	// after three heartbeats.
	suspectDuration = 3 * time.Second
	// memoryFullDuration is how long an engine that ran out of memory gets less
	// new work.
	memoryFullDuration = 300 * time.Millisecond
	// refusalDuration is how long an engine that refused work twice, and ran none in
	// between, gets no new work. It doubles, up to suspectDuration, each time that the
	// engine refuses again: it may be leaving or unloading layers before the list reports
	// it, or be too full for any request.
	refusalDuration = 600 * time.Millisecond
	// memoryFullCost is the load added to an engine that ran out of memory.
	memoryFullCost = 1.0
	// loadJitter is the largest random addition to an engine's load in the search
	// for a detour. It keeps daemons that avoid the same engine from all choosing
	// the same substitute.
	loadJitter = 0.5
)

// Finder chooses paths through the engines of one service. The exported fields
// must be set before the first use. It is safe for concurrent use.
type Finder struct {
	Centre string // data centre of this daemon
	Random *rand.Rand
	// Balancer chooses among the planned flows under load; nil for the least loaded of a few.
	Balancer cowslipproxy.Balancer

	mu             sync.Mutex
	profile        cowslipproxy.EngineProfile
	daemons        int // that share the links between data centres; 0 for this one alone
	engines        map[string]*engine
	listed         []*engine // the same engines, in the order given to Set
	flows          []flow
	plannedAt      time.Time           // when Choose last planned the flows
	plannedWithout []*engine           // suspect engines that Choose left out of the plan
	slowdowns      map[string]float64  // of slow engines, by incarnation
	speedsChanged  bool                // since the flows were planned
	needsSlow      bool                // the other engines do not suffice, so that slow ones get work too
	plannedLinkUse map[link]float64    // planned use of each link, as a fraction of its bandwidth
	isBalanced     bool                // the latest choice was made by Balancer
	links          map[link]*linkState // as observed by requests that crossed them
}

// engine holds what this daemon knows of an engine.
type engine struct {
	cowslipproxy.Instance
	memory       float64   // KV cache capacity for requests, in tokens x layers
	ownLoad      float64   // used by this daemon's requests, in tokens x layers
	otherLoad    float64   // used by other daemons' requests, in tokens x layers
	suspectUntil time.Time // gets no new work before this time
	fullUntil    time.Time // gets less new work before this time
	refusals     int       // refusals since it last ran work
	slowdown     float64   // factor by which it runs slower than its profile; 0 if not known to be slow
}

// use returns the memory that requests are known to occupy, in tokens x layers.
func (e *engine) use() float64 { return e.ownLoad + e.otherLoad }

// Need describes what a request requires of its path.
type Need struct {
	Tokens  int      // prompt and answer tokens
	Avoid   []string // engines that failed the request
	Entry   []string // engines that the path may start at; empty allows all
	AtLimit []string // engines that the path may not start at, since they accept no request for now
	// IsResumed is set if the caller waits for the rest of its answer, which goes before new
	// requests.
	IsResumed bool
}

// Path is a sequence of engines chosen for a request.
type Path struct {
	Hops     []cowslipproxy.Hop
	Wait     time.Duration // time until the links of the path have room for the request; it may not be sent before
	segments []segment
	tokens   float64
}

// First returns the engine that the request is sent to.
func (p *Path) First() cowslipproxy.Hop { return p.Hops[0] }

// Set replaces the engines that may get new work and recomputes the flows. An
// engine that remains keeps its load and its recorded failures.
func (f *Finder) Set(profile cowslipproxy.EngineProfile, instances []cowslipproxy.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.profile = profile
	old := f.engines
	f.engines = map[string]*engine{}
	f.listed = f.listed[:0]
	for _, instance := range instances {
		if instance.State != cowslipproxy.VMLive || !instance.HasLayers() || instance.Range.End > profile.Layers {
			continue
		}
		e := &engine{Instance: instance}
		if previous := old[instance.ID]; previous != nil && previous.StartedAt.Equal(instance.StartedAt) {
			e = previous
			e.Instance = instance
		}
		e.memory = KVCapacity(profile, instance.Kind, instance.Range.Len())
		f.engines[instance.ID] = e
		f.listed = append(f.listed, e)
	}
	f.applySlowdowns()
	f.flows, f.plannedAt, f.plannedWithout = f.planFlows(f.listed), time.Time{}, nil
	f.speedsChanged = len(f.slowdowns) > 0 // the plan has all engines, at their speeds
}

// KVCapacity returns the KV cache capacity, in tokens x layers, of an engine that
// holds the given number of layers.
func KVCapacity(profile cowslipproxy.EngineProfile, kind string, layers int) float64 {
	const megabyte = 1e6
	perToken := profile.TokenSize / float64(max(profile.Layers, 1))
	if perToken <= 0 {
		return 1
	}
	return max((profile.Kinds[kind].Memory-float64(layers)*profile.LayerSize)*megabyte/perToken, 1)
}

// Choose returns a path for a request. It prefers a planned flow. If none is
// usable, it searches for a detour, and reports false if there is no path even
// through suspect engines and those to be avoided.
func (f *Finder) Choose(now time.Time, need Need) (*Path, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replan(now)
	if chosen := f.balanced(now, need); chosen != nil {
		return f.chargeLinks(now, need, newPath(chosen.segments, float64(need.Tokens))), true
	}
	var best *flow
	var lowest float64
	start := 0
	if len(f.flows) > 0 {
		start = f.Random.IntN(len(f.flows))
	}
	for i, found := 0, 0; i < len(f.flows) && found < maxCandidates; i++ {
		candidate := &f.flows[(start+i*flowStride)%len(f.flows)]
		if !f.usable(now, candidate, need) || f.crossesAvoided(now, candidate.segments) || !need.mayStartAt(candidate.segments[0].engine) {
			continue
		}
		found++
		if cost := f.cost(now, candidate, need); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if best != nil {
		return f.chargeLinks(now, need, newPath(best.segments, float64(need.Tokens))), true
	}
	segments := f.detour(now, need)
	if segments == nil {
		return nil, false
	}
	return f.chargeLinks(now, need, newPath(segments, float64(need.Tokens))), true
}

const (
	// maxCandidates is how many usable flows are compared for a choice.
	maxCandidates = 3
	// flowStride is the step between the flows that are compared, so that these are
	// not adjacent in the plan. It is coprime to the number of flows, so that all
	// are visited.
	flowStride = 19
)

// mayStartAt reports whether a path may start at an engine.
func (n Need) mayStartAt(e *engine) bool {
	return (len(n.Entry) == 0 || slices.Contains(n.Entry, e.ID)) && !slices.Contains(n.AtLimit, e.ID)
}

func (f *Finder) usable(now time.Time, candidate *flow, need Need) bool {
	for _, segment := range candidate.segments {
		if f.isAvoidedEngine(now, segment.engine) || slices.Contains(need.Avoid, segment.engine.ID) {
			return false
		}
	}
	return true
}

// cost returns the use of a flow, raised by remoteEntryFactor if it starts in another data
// centre.
func (f *Finder) cost(now time.Time, candidate *flow, need Need) float64 {
	use := f.use(now, candidate, need)
	if candidate.segments[0].engine.Centre != f.Centre {
		use *= remoteEntryFactor
	}
	return use
}

// use returns the load of the most loaded engine, with this request added.
func (*Finder) use(now time.Time, candidate *flow, need Need) float64 {
	var worst float64
	for _, segment := range candidate.segments {
		use := (segment.engine.use() + float64(need.Tokens*segment.layers.Len())) / segment.engine.memory
		if now.Before(segment.engine.fullUntil) {
			use += memoryFullCost
		}
		worst = max(worst, use)
	}
	return worst
}

// remoteEntryFactor raises the cost of a path that starts in another data
// centre, since traffic between data centres is billed.
const remoteEntryFactor = 1.3

// detour searches for a path around engines that are suspect or to be avoided.
// If there is none, it allows suspect engines, and then also those to be
// avoided, unless there are engines that accept requests again soon.
func (f *Finder) detour(now time.Time, need Need) []segment {
	for _, accept := range []func(e *engine) bool{
		func(e *engine) bool { return !f.isAvoidedEngine(now, e) && !slices.Contains(need.Avoid, e.ID) },
		func(e *engine) bool { return !now.Before(e.suspectUntil) && !slices.Contains(need.Avoid, e.ID) },
		func(e *engine) bool { return !slices.Contains(need.Avoid, e.ID) },
		func(*engine) bool { return true },
	} {
		var usable []*engine
		for _, e := range f.listed {
			if accept(e) && (e.Range.First > 0 || need.mayStartAt(e)) {
				usable = append(usable, e)
			}
		}
		allLayers := cowslipproxy.LayerRange{First: 0, End: f.profile.Layers}
		if segments := f.shortest(usable, allLayers, f.decodeCosts(f.jitteredLoad(now))); segments != nil {
			return segments
		}
		if len(need.AtLimit) > 0 {
			return nil
		}
	}
	return nil
}

// jitteredLoad returns the loads known to this daemon with random jitter.
func (f *Finder) jitteredLoad(now time.Time) load {
	memory := func(e *engine) float64 {
		use := e.use()/e.memory + loadJitter*f.Random.Float64()
		if now.Before(e.fullUntil) {
			use += memoryFullCost
		}
		return use
	}
	return load{memory: memory, linkUse: func(a, b string) float64 { return f.plannedLinkUse[linkBetween(a, b)] }, detour: func(a, b string) float64 { return f.detourCrossing(now, a, b) }}
}

func newPath(segments []segment, tokens float64) *Path {
	p := &Path{segments: segments, tokens: tokens}
	for _, s := range segments {
		p.Hops = append(p.Hops, cowslipproxy.Hop{Instance: s.engine.ID, StartedAt: s.engine.StartedAt, Address: s.engine.Address, Range: s.layers})
	}
	return p
}

// OwnLoads returns the memory occupied by this daemon's requests by engine, in
// tokens x layers.
func (f *Finder) OwnLoads() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	ownLoad := map[string]float64{}
	for _, e := range f.listed {
		if e.ownLoad > 0 {
			ownLoad[e.ID] = e.ownLoad
		}
	}
	return ownLoad
}

// SetOtherLoads sets the memory occupied by other daemons' requests by engine, in
// tokens x layers.
func (f *Finder) SetOtherLoads(loads map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.listed {
		e.otherLoad = loads[e.ID]
	}
}

// Begin adds a request to the load of the engines on its path.
func (f *Finder) Begin(path *Path) { f.addLoad(path, 1) }

// End removes a request from the load of the engines on its path.
func (f *Finder) End(path *Path) { f.addLoad(path, -1) }

func (f *Finder) addLoad(path *Path, sign float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.segments {
		s.engine.ownLoad += sign * path.tokens * float64(s.layers.Len())
	}
}

// Suspects returns the engines of a path that are suspect.
func (f *Finder) Suspects(now time.Time, path *Path) (found []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.segments {
		if now.Before(s.engine.suspectUntil) {
			found = append(found, s.engine.Address)
		}
	}
	return found
}

// ReportFailure records that an engine refused or aborted work or stalled a path.
func (f *Finder) ReportFailure(now time.Time, address netip.AddrPort) {
	f.updateEngine(address, func(e *engine) { e.suspectUntil = later(e.suspectUntil, now.Add(suspectDuration)) })
}

// ReportRefusal records that an engine refused work, as it does when it is out of memory,
// leaving, unloading layers or dead. It reports whether the engine keeps refusing and gets no
// new work from now on.
func (f *Finder) ReportRefusal(now time.Time, address netip.AddrPort) (suspected bool) {
	f.updateEngine(address, func(e *engine) {
		e.fullUntil = now.Add(memoryFullDuration)
		if now.Before(e.suspectUntil) {
			return // the request was sent before
		}
		if e.refusals = min(e.refusals+1, maxRefusals); e.refusals > 1 {
			e.suspectUntil = now.Add(min(refusalDuration<<(e.refusals-2), suspectDuration))
			suspected = true
		}
	})
	return suspected
}

// maxRefusals is the number of refusals in a row after which refusalDuration has reached
// suspectDuration.
const maxRefusals = 5

// ReportAccepted records that the engines of a path run a request.
func (f *Finder) ReportAccepted(path *Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.segments {
		s.engine.refusals = 0
	}
}

func (f *Finder) updateEngine(address netip.AddrPort, change func(e *engine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.listed {
		if e.Address == address {
			change(e)
		}
	}
}
