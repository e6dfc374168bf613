package pathfinder

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// burden is what a transfer between data centres counts for against reading: all
// streams that cross the pipe wait for it, and they are some of those that an
// engine has.
const burden = 5

// Mend returns the path with other engines in place of those at the addresses,
// or false if the first engine is one of them or nothing can stand in for one.
func (f *Finder) Mend(now time.Time, path *Path, addresses []netip.AddrPort) (*Path, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(addresses, path.Hops[0].Address) {
		return nil, false
	}
	for _, accept := range []func(e *engine) bool{
		func(e *engine) bool { return !now.Before(e.suspect) && !now.Before(e.full) },
		func(e *engine) bool { return !now.Before(e.suspect) },
	} {
		var usable []*engine
		for _, e := range f.order {
			if accept(e) && !path.has(e) {
				usable = append(usable, e)
			}
		}
		if steps := f.replace(now, path, addresses, usable); steps != nil {
			return newPath(steps, path.tokens), true
		}
	}
	return nil, false
}

func (p *Path) has(e *engine) bool {
	return slices.ContainsFunc(p.steps, func(s step) bool { return s.engine == e })
}

// replace returns the path's steps with usable engines in place of those at the
// addresses, or nil.
func (f *Finder) replace(now time.Time, path *Path, addresses []netip.AddrPort, usable []*engine) (all []step) {
	w := f.reading(now, path.tokens)
	for _, kept := range path.steps {
		if !slices.Contains(addresses, kept.engine.Address) {
			all = append(all, kept)
			continue
		}
		w.from = all[len(all)-1].engine.Centre
		steps := f.shortest(usable, kept.layers, w)
		if steps == nil {
			return nil
		}
		for _, s := range steps {
			usable = slices.DeleteFunc(usable, func(e *engine) bool { return e == s.engine })
		}
		all = append(all, steps...)
	}
	return all
}

// reading weighs the time to read a request's tokens anew and to send them to
// the engine. All streams through a dead engine change their paths at once, and
// their daemons don't know of each other. So each time is multiplied by a random
// number with an exponential distribution: the least product falls on an engine
// or a pipe as often as it is fast.
func (f *Finder) reading(now time.Time, tokens float64) weights {
	const second, bitsPerMegabit, bitsPerByte = 1e3, 1e6, 8 // milliseconds
	transfer := 0.0
	if f.profile.Pipe > 0 {
		transfer = second * tokens * f.profile.Activation * bitsPerByte / (f.profile.Pipe * bitsPerMegabit)
	}
	crossings := map[pair]float64{}
	return weights{
		layer: func(e *engine) float64 {
			return f.Random.ExpFloat64() * f.readTime(e, tokens) * math.Exp(steep*e.use()/e.room)
		},
		crossing: func(a, b string) float64 {
			if f.isSlow(now, a, b) {
				return slowCrossing
			}
			if _, ok := crossings[pairOf(a, b)]; !ok {
				crossings[pairOf(a, b)] = f.Random.ExpFloat64() * burden * transfer
			}
			return crossings[pairOf(a, b)]
		},
	}
}

// readTime is how long an engine reads tokens through one layer, in
// milliseconds: the reading itself, and the steps between two parts of it.
func (f *Finder) readTime(e *engine, tokens float64) float64 {
	const second = 1e3
	kind := f.profile.Kinds[e.Kind]
	steps := math.Ceil(tokens/float64(max(f.profile.Chunk, 1))) * float64(max(f.profile.Stride, 1))
	stepTime := float64(f.profile.Step.Microseconds()) / second
	return (second*tokens*kind.Read/max(f.profile.Reading, 1) + steps*stepTime*kind.Pace) / float64(max(f.profile.Layers, 1))
}
