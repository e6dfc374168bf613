// Package placer decides which engine holds which layers of a model. It starts
// no goroutine and does not read the clock.
package placer

import (
	"cmp"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
)

// Engine is an engine that accepts placement orders.
type Engine struct {
	ID     string
	Centre string
	Kind   string
	Range  cowslipproxy.LayerRange // layers that it holds or was ordered to load; empty for none
	Fixed  bool                    // it executes an order or did so recently, and must not be moved
}

// Move orders an engine to hold a range of layers.
type Move struct {
	ID    string
	Range cowslipproxy.LayerRange
}

// kvReserveTokens is the number of tokens for which each engine reserves KV cache in
// all the layers that it holds. A smaller reserve makes room for more copies of the
// model, but engines then preempt requests under load.
const kvReserveTokens = 85_000

// Capacity returns how many layers an engine of the given kind can hold beside
// its reserved KV cache.
func Capacity(profile cowslipproxy.EngineProfile, kind string) int {
	if profile.LayerSize <= 0 {
		return 0
	}
	const megabyte = 1e6
	memory := profile.Kinds[kind].Memory
	perLayer := profile.LayerSize + kvReserveTokens*profile.TokenSize/float64(max(profile.Layers, 1))/megabyte
	maxLayers := int((memory - 1) / profile.LayerSize) // as many as fit in memory without the reserve
	return min(max(int(memory/perLayer), min(maxLayers, 1)), profile.Layers, maxLayers)
}

// Plan returns the moves that the engines need. If no engine holds layers, it
// moves each engine that can hold some; otherwise it returns at most maxMoves.
func Plan(profile cowslipproxy.EngineProfile, engines []Engine, maxMoves int) []Move {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Range.Len() > 0 }) {
		return placeInitial(profile, engines)
	}
	return repair(profile, engines, maxMoves)
}

// placeInitial places all layers on empty engines. Each data centre gets as
// many complete chains as its engines can hold, so that most paths stay within
// one. The remaining engines form chains across data centres.
func placeInitial(profile cowslipproxy.EngineProfile, engines []Engine) []Move {
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
	var leftover []Engine
	for _, name := range names {
		remaining := centres[name]
		slices.SortStableFunc(remaining, func(a, b Engine) int {
			return cmp.Compare(Capacity(profile, b.Kind), Capacity(profile, a.Kind))
		})
		for totalCapacity(profile, remaining) >= profile.Layers {
			var chain []Move
			chain, remaining = fillChain(profile, remaining)
			moves = append(moves, chain...)
		}
		leftover = append(leftover, remaining...)
	}
	return append(moves, placeCyclic(profile, leftover)...)
}

func totalCapacity(profile cowslipproxy.EngineProfile, engines []Engine) (layers int) {
	for _, e := range engines {
		layers += Capacity(profile, e.Kind)
	}
	return layers
}

// fillChain assigns engines until they hold all layers. The last engine is the
// smallest one that can hold the remaining layers, to waste little memory.
func fillChain(profile cowslipproxy.EngineProfile, engines []Engine) (moves []Move, remaining []Engine) {
	remaining = slices.Clone(engines)
	for at := 0; at < profile.Layers; {
		chosen := 0
		for i, e := range remaining {
			if Capacity(profile, e.Kind) >= profile.Layers-at {
				chosen = i // engines are sorted by descending capacity
			}
		}
		end := min(at+Capacity(profile, remaining[chosen].Kind), profile.Layers)
		moves = append(moves, Move{remaining[chosen].ID, cowslipproxy.LayerRange{First: at, End: end}})
		remaining = slices.Delete(remaining, chosen, chosen+1)
		at = end
	}
	return moves, remaining
}

// placeCyclic assigns consecutive ranges to the engines, and continues with the
// first layer once the last one is assigned.
func placeCyclic(profile cowslipproxy.EngineProfile, engines []Engine) (moves []Move) {
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
