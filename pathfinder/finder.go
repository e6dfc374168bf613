// Package pathfinder decides which engines run a request's layers, where the
// engines pass the work on among themselves. It starts no goroutine and reads
// no clock.
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
	// suspectTime is how long an engine gets no new work after paths through it
	// stalled. A crashed engine is dropped from the list after three heartbeats.
	suspectTime = 3 * time.Second
	// fullTime is how long an engine that had no memory left gets less new work.
	fullTime = 300 * time.Millisecond
	// refusedTime is how long an engine that refused twice within fullTime gets
	// no new work: it may leave or give up layers without the list's word yet.
	refusedTime = 600 * time.Millisecond
	// fullCost is the cost of an engine that had no memory left.
	fullCost = 1.0
	// noise is the part by which costs of a detour vary at random, so that
	// daemons which avoid the same engine don't all choose the same other one.
	noise = 0.5
)

// Finder chooses paths through the engines of one service. Its exported fields
// are set before the first use. It is safe for concurrent use.
type Finder struct {
	Centre string // data centre of this daemon
	Random *rand.Rand

	mu      sync.Mutex
	profile cowslipproxy.EngineProfile
	engines map[string]*engine
	order   []*engine // by id
	flows   []flow
	pipes   map[pair]float64 // parts of the pipes that the flows are planned to use
	met     map[pair]*pipe   // what requests met that crossed the pipes
}

// engine is what is known of an engine.
type engine struct {
	cowslipproxy.Instance
	room    float64   // tokens x layers of memory for requests
	held    float64   // tokens x layers of this daemon's requests
	others  float64   // the same of other daemons' requests
	suspect time.Time // until when it is suspected
	full    time.Time // until when its memory is taken to be full
}

// use returns the tokens x layers that requests are known to take.
func (e *engine) use() float64 { return e.held + e.others }

// Need is what a request asks of a path.
type Need struct {
	Tokens int      // of prompt and answer
	Avoid  []string // engines that failed the request
	Begin  []string // engines that the path may begin at; empty for all
}

// Path is a chosen path.
type Path struct {
	Hops   []cowslipproxy.Hop
	steps  []step
	tokens float64
}

// First returns the engine that the request is sent to.
func (p *Path) First() cowslipproxy.Hop { return p.Hops[0] }

// Set takes in the engines that may get new work.
func (f *Finder) Set(profile cowslipproxy.EngineProfile, instances []cowslipproxy.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.profile = profile
	old := f.engines
	f.engines = map[string]*engine{}
	f.order = f.order[:0]
	for _, instance := range instances {
		if instance.State != cowslipproxy.VMLive || !instance.HasLayers() || instance.Range.End > profile.Layers {
			continue
		}
		e := &engine{Instance: instance}
		if before := old[instance.ID]; before != nil && before.Born.Equal(instance.Born) {
			e = before
			e.Instance = instance
		}
		e.room = Room(profile, instance.Kind, instance.Range.Len())
		f.engines[instance.ID] = e
		f.order = append(f.order, e)
	}
	f.flows = f.spread(f.order)
}

// Room returns the tokens x layers of requests that an engine has memory for
// beside the given number of layers.
func Room(profile cowslipproxy.EngineProfile, kind string, layers int) float64 {
	const megabyte = 1e6
	perToken := profile.TokenSize / float64(max(profile.Layers, 1))
	if perToken <= 0 {
		return 1
	}
	return max((profile.Kinds[kind].Memory-float64(layers)*profile.LayerSize)*megabyte/perToken, 1)
}

// Choose returns a path for a request, or false if no engines hold some layer.
func (f *Finder) Choose(now time.Time, need Need) (*Path, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *flow
	var least float64
	start := 0
	if len(f.flows) > 0 {
		start = f.Random.IntN(len(f.flows))
	}
	for i, found := 0, 0; i < len(f.flows) && found < tries; i++ {
		candidate := &f.flows[(start+i*stride)%len(f.flows)]
		if !usable(now, candidate, need) || f.crossesSlow(now, candidate.steps) || !need.begins(candidate.steps[0].engine) {
			continue
		}
		found++
		if cost := f.cost(now, candidate, need); best == nil || cost < least {
			best, least = candidate, cost
		}
	}
	if best != nil {
		return newPath(best.steps, float64(need.Tokens)), true
	}
	steps := f.detour(now, need)
	if steps == nil {
		return nil, false
	}
	return newPath(steps, float64(need.Tokens)), true
}

const (
	// tries is how many usable paths are compared for a choice.
	tries = 3
	// stride visits all flows in an order in which neighbours differ; it has no
	// factor in common with their number.
	stride = 19
)

// begins reports whether a path may begin at an engine.
func (n Need) begins(e *engine) bool { return len(n.Begin) == 0 || slices.Contains(n.Begin, e.ID) }

func usable(now time.Time, candidate *flow, need Need) bool {
	for _, step := range candidate.steps {
		if now.Before(step.engine.suspect) || slices.Contains(need.Avoid, step.engine.ID) {
			return false
		}
	}
	return true
}

// cost weighs this daemon's own share of the fullest engine.
func (f *Finder) cost(now time.Time, candidate *flow, need Need) float64 {
	var worst float64
	for _, step := range candidate.steps {
		use := (step.engine.use() + float64(need.Tokens*step.layers.Len())) / step.engine.room
		if now.Before(step.engine.full) {
			use += fullCost
		}
		worst = max(worst, use)
	}
	if candidate.steps[0].engine.Centre != f.Centre {
		worst *= farStart
	}
	return worst
}

// farStart raises the cost of a path that begins in another data centre, since
// bytes between data centres are priced.
const farStart = 1.3

// detour finds a path around engines that are suspected or to be avoided, and
// takes suspected ones, and then those to be avoided, where there are no others.
func (f *Finder) detour(now time.Time, need Need) []step {
	for _, accept := range []func(e *engine) bool{
		func(e *engine) bool { return !now.Before(e.suspect) && !slices.Contains(need.Avoid, e.ID) },
		func(e *engine) bool { return !slices.Contains(need.Avoid, e.ID) },
		func(*engine) bool { return true },
	} {
		var usable []*engine
		for _, e := range f.order {
			if accept(e) && (e.Range.First > 0 || need.begins(e)) {
				usable = append(usable, e)
			}
		}
		whole := cowslipproxy.LayerRange{First: 0, End: f.profile.Layers}
		if steps := f.shortest(usable, whole, f.decoding(f.noisyLoad(now))); steps != nil {
			return steps
		}
	}
	return nil
}

// noisyLoad returns what this daemon knows of the loads, with noise.
func (f *Finder) noisyLoad(now time.Time) load {
	room := func(e *engine) float64 {
		use := e.use()/e.room + noise*f.Random.Float64()
		if now.Before(e.full) {
			use += fullCost
		}
		return use
	}
	return load{room: room, pipe: func(a, b string) float64 { return f.pipes[pairOf(a, b)] }, slow: func(a, b string) bool { return f.isSlow(now, a, b) }}
}

func newPath(steps []step, tokens float64) *Path {
	p := &Path{steps: steps, tokens: tokens}
	for _, s := range steps {
		p.Hops = append(p.Hops, cowslipproxy.Hop{Instance: s.engine.ID, Address: s.engine.Address, Range: s.layers})
	}
	return p
}

// Held returns the tokens x layers of this daemon's requests by engine.
func (f *Finder) Held() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := map[string]float64{}
	for _, e := range f.order {
		if e.held > 0 {
			held[e.ID] = e.held
		}
	}
	return held
}

// SetOthers takes in what other daemons' requests take, by engine.
func (f *Finder) SetOthers(loads map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.order {
		e.others = loads[e.ID]
	}
}

// Begin counts a request that runs on a path.
func (f *Finder) Begin(path *Path) { f.count(path, 1) }

// End counts a request that no longer runs on a path.
func (f *Finder) End(path *Path) { f.count(path, -1) }

func (f *Finder) count(path *Path, sign float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.steps {
		s.engine.held += sign * path.tokens * float64(s.layers.Len())
	}
}

// Suspects returns the engines of a path that are suspected.
func (f *Finder) Suspects(now time.Time, path *Path) (found []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.steps {
		if now.Before(s.engine.suspect) {
			found = append(found, s.engine.Address)
		}
	}
	return found
}

// Broken takes in that an engine refused work or broke off.
func (f *Finder) Broken(now time.Time, address netip.AddrPort) {
	f.mark(address, func(e *engine) { e.suspect = now.Add(suspectTime) })
}

// Full takes in that an engine had no memory left.
func (f *Finder) Full(now time.Time, address netip.AddrPort) {
	f.mark(address, func(e *engine) {
		if now.Before(e.full) {
			e.suspect = now.Add(refusedTime) // refuses again and again
		}
		e.full = now.Add(fullTime)
	})
}

func (f *Finder) mark(address netip.AddrPort, change func(e *engine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.order {
		if e.Address == address {
			change(e)
		}
	}
}
