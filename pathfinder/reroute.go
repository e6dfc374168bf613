package pathfinder

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// crossingWeight is the weight of a transfer between data centres against
// prefill time. Every stream that crosses a link waits for its transfers, while
// an engine serves only some of these streams.
const crossingWeight = 5

// Reroute returns the path with the engines at the given addresses replaced by
// others. It reports false if the first engine is one of them or an engine has
// no substitute.
func (f *Finder) Reroute(now time.Time, path *Path, addresses []netip.AddrPort) (*Path, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(addresses, path.Hops[0].Address) {
		return nil, false
	}
	for _, accept := range []func(e *engine) bool{
		func(e *engine) bool { return !f.isAvoidedEngine(now, e) && !now.Before(e.fullUntil) },
		func(e *engine) bool { return !f.isAvoidedEngine(now, e) },
	} {
		var usable []*engine
		for _, e := range f.listed {
			if accept(e) && !path.includes(e) {
				usable = append(usable, e)
			}
		}
		if segments := f.replace(now, path, addresses, usable); segments != nil {
			return newPath(segments, path.tokens), true
		}
	}
	return nil, false
}

func (p *Path) includes(e *engine) bool {
	return slices.ContainsFunc(p.segments, func(s segment) bool { return s.engine == e })
}

// replace returns the path's segments with the engines at the addresses
// replaced by usable ones, or nil.
func (f *Finder) replace(now time.Time, path *Path, addresses []netip.AddrPort, usable []*engine) (all []segment) {
	model := f.prefillCosts(now, path.tokens)
	for _, original := range path.segments {
		if !slices.Contains(addresses, original.engine.Address) {
			all = append(all, original)
			continue
		}
		model.from = all[len(all)-1].engine.Centre
		segments := f.shortest(usable, original.layers, model)
		if segments == nil {
			return nil
		}
		for _, s := range segments {
			usable = slices.DeleteFunc(usable, func(e *engine) bool { return e == s.engine })
		}
		all = append(all, segments...)
	}
	return all
}

// prefillCosts returns the costs of repeating the prefill of a request's tokens
// on a substitute engine, and of sending the activations to it. All streams
// through a failed engine are rerouted at once, by daemons that do not
// coordinate. Each time is therefore multiplied by an exponentially distributed
// random number, so that an engine or a link is chosen with a probability
// proportional to its speed.
func (f *Finder) prefillCosts(now time.Time, tokens float64) costModel {
	const second, bitsPerMegabit, bitsPerByte = 1e3, 1e6, 8 // second in milliseconds
	transfer := 0.0
	if f.profile.Pipe > 0 {
		transfer = second * tokens * f.profile.Activation * bitsPerByte / (f.profile.Pipe * bitsPerMegabit)
	}
	crossings := map[link]float64{}
	return costModel{
		layer: func(e *engine) float64 {
			return f.Random.ExpFloat64() * f.prefillTime(e, tokens) * math.Exp(loadExponent*e.use()/e.memory)
		},
		crossing: func(a, b string) float64 {
			if f.isAvoided(now, a, b) {
				return avoidedLinkCost
			}
			if _, ok := crossings[linkBetween(a, b)]; !ok {
				crossings[linkBetween(a, b)] = f.Random.ExpFloat64() * crossingWeight * transfer
			}
			return crossings[linkBetween(a, b)]
		},
	}
}

// prefillTime returns how long the prefill of tokens takes for one layer of an
// engine, in milliseconds: the computation and the decode steps that run
// between its chunks.
func (f *Finder) prefillTime(e *engine, tokens float64) float64 {
	const second = 1e3
	kind := f.profile.Kinds[e.Kind]
	steps := math.Ceil(tokens/float64(max(f.profile.Chunk, 1))) * float64(max(f.profile.Stride, 1))
	stepTime := float64(f.profile.Step.Microseconds()) / second
	slowdown := max(e.slowdown, 1)
	return slowdown * (second*tokens*kind.Read/max(f.profile.Reading, 1) + steps*stepTime*kind.Pace) / float64(max(f.profile.Layers, 1))
}
