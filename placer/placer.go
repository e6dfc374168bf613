// Package placer decides which engine holds which layers of a model. It starts
// no goroutine and reads no clock.
package placer

import (
	"cmp"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
)

// Engine is an engine that can be given orders.
type Engine struct {
	ID     string
	Centre string
	Kind   string
	Range  cowslipproxy.LayerRange // that it holds or was ordered to hold; empty for none
	Fixed  bool                    // it was ordered lately, and is not moved again
}

// Move is an order for an engine.
type Move struct {
	ID    string
	Range cowslipproxy.LayerRange
}

// room is the memory that is kept for requests in an engine, in tokens of all
// the layers that it holds. Less memory lets the engines hold more copies of
// the model but preempts requests under load.
const room = 85_000

// Capacity returns the layers that an engine of a kind holds beside its room
// for requests.
func Capacity(profile cowslipproxy.EngineProfile, kind string) int {
	if profile.LayerSize <= 0 {
		return 0
	}
	const megabyte = 1e6
	memory := profile.Kinds[kind].Memory
	perLayer := profile.LayerSize + room*profile.TokenSize/float64(max(profile.Layers, 1))/megabyte
	most := int((memory - 1) / profile.LayerSize) // more would not fit
	return min(max(int(memory/perLayer), min(most, 1)), profile.Layers, most)
}

// Plan returns the moves that the engines need, at most the given number once
// some engine holds layers.
func Plan(profile cowslipproxy.EngineProfile, engines []Engine, most int) []Move {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Range.Len() > 0 }) {
		return layOut(profile, engines)
	}
	return repair(profile, engines, most)
}

// layOut places all layers on empty engines. Each data centre gets as many
// whole chains as its engines can hold, so that most paths stay inside one. The
// engines that are left over form chains across data centres.
func layOut(profile cowslipproxy.EngineProfile, engines []Engine) []Move {
	centres := map[string][]Engine{}
	for _, e := range engines {
		if Capacity(profile, e.Kind) > 0 {
			centres[e.Centre] = append(centres[e.Centre], e)
		}
	}
	var names []string
	for name := range centres {
		names = append(names, name)
	}
	slices.Sort(names)
	var moves []Move
	var left []Engine
	for _, name := range names {
		rest := centres[name]
		slices.SortStableFunc(rest, func(a, b Engine) int {
			return cmp.Compare(Capacity(profile, b.Kind), Capacity(profile, a.Kind))
		})
		for sum(profile, rest) >= profile.Layers {
			var chain []Move
			chain, rest = fillChain(profile, rest)
			moves = append(moves, chain...)
		}
		left = append(left, rest...)
	}
	return append(moves, wrap(profile, left)...)
}

func sum(profile cowslipproxy.EngineProfile, engines []Engine) (layers int) {
	for _, e := range engines {
		layers += Capacity(profile, e.Kind)
	}
	return layers
}

// fillChain takes engines until they hold all layers. The last engine is the
// smallest that holds the rest, so that little is wasted.
func fillChain(profile cowslipproxy.EngineProfile, engines []Engine) (moves []Move, rest []Engine) {
	rest = slices.Clone(engines)
	for at := 0; at < profile.Layers; {
		pick := 0
		for i, e := range rest {
			if Capacity(profile, e.Kind) >= profile.Layers-at {
				pick = i // sorted from large to small
			}
		}
		end := min(at+Capacity(profile, rest[pick].Kind), profile.Layers)
		moves = append(moves, Move{rest[pick].ID, cowslipproxy.LayerRange{First: at, End: end}})
		rest = slices.Delete(rest, pick, pick+1)
		at = end
	}
	return moves, rest
}

// wrap places engines one behind the other and starts again at the first layer.
func wrap(profile cowslipproxy.EngineProfile, engines []Engine) (moves []Move) {
	at := 0
	for _, e := range engines {
		end := min(at+Capacity(profile, e.Kind), profile.Layers)
		moves = append(moves, Move{e.ID, cowslipproxy.LayerRange{First: at, End: end}})
		if at = end; at == profile.Layers {
			at = 0
		}
	}
	return moves
}
