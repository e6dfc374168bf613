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
}

// Move is an order for an engine.
type Move struct {
	ID    string
	Range cowslipproxy.LayerRange
}

// room is the memory that is kept for requests in an engine, in tokens of all
// the layers that it holds. Less memory lets the engines hold more copies of
// the model but preempts requests under load.
const room = 40_000

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

// Plan returns the moves that the engines need.
func Plan(profile cowslipproxy.EngineProfile, engines []Engine) []Move {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.ContainsFunc(engines, func(e Engine) bool { return e.Range.Len() > 0 }) {
		return layOut(profile, engines)
	}
	return repair(profile, engines)
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

// repair gives empty engines the layers that have the fewest copies.
func repair(profile cowslipproxy.EngineProfile, engines []Engine) []Move {
	cover := newCover(profile.Layers)
	for _, e := range engines {
		cover.add(e.Range, e.Centre)
	}
	var moves []Move
	for _, e := range engines {
		size := Capacity(profile, e.Kind)
		if e.Range.Len() > 0 || size == 0 {
			continue
		}
		layers := cover.weakest(size, e.Centre)
		cover.add(layers, e.Centre)
		moves = append(moves, Move{e.ID, layers})
	}
	return moves
}

// cover counts the copies of each layer.
type cover struct {
	all    []int
	near   map[string][]int // by data centre
	layers int
	starts []int // boundaries of the ranges that are held
}

func newCover(layers int) *cover {
	return &cover{all: make([]int, layers), near: map[string][]int{}, layers: layers, starts: []int{0}}
}

func (c *cover) add(r cowslipproxy.LayerRange, centre string) {
	if c.near[centre] == nil {
		c.near[centre] = make([]int, c.layers)
	}
	if r.Len() <= 0 || r.First < 0 || r.End > c.layers {
		return
	}
	for layer := r.First; layer < r.End; layer++ {
		c.all[layer]++
		c.near[centre][layer]++
	}
	c.starts = append(c.starts, r.First, r.End)
}

// weakest returns the range of the given size with the fewest copies. Layers
// with the fewest copies of all weigh most; among equals those that the data
// centre itself lacks. Ranges begin or end at boundaries of others, so that
// engines can stand in for each other.
func (c *cover) weakest(size int, centre string) cowslipproxy.LayerRange {
	if c.near[centre] == nil {
		c.near[centre] = make([]int, c.layers)
	}
	var best cowslipproxy.LayerRange
	var least float64
	for _, start := range c.starts {
		for _, first := range []int{start, start - size} {
			first = max(min(first, c.layers-size), 0)
			r := cowslipproxy.LayerRange{First: first, End: min(first+size, c.layers)}
			var weight float64
			for layer := r.First; layer < r.End; layer++ {
				weight -= 1/(0.1+float64(c.all[layer])) + nearWeight/(0.1+float64(c.near[centre][layer]))
			}
			if weight /= float64(r.Len()); best.Len() == 0 || weight < least {
				best, least = r, weight
			}
		}
	}
	return best
}

// nearWeight is the weight of copies in the engine's own data centre against
// copies anywhere.
const nearWeight = 0.2
