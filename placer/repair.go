package placer

import (
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

const (
	// minImprovement is the fraction by which a move must lower the scarcity
	// score. An engine serves nothing for a few seconds while it loads layers.
	minImprovement = 0.06
	// emptyLayerTokens is the capacity assumed for a layer that no engine holds,
	// in tokens. It is added to the capacity of every layer and must be greater
	// than 0, so that two lost layers score worse than one.
	emptyLayerTokens = 1000.0
	// maxReserveFactor bounds the capacity that one engine contributes to a
	// layer, as a multiple of kvReserveTokens.
	maxReserveFactor = 1.25
	// singleCopyScore is added to the scarcity score for each layer that only one
	// engine holds. Losing that engine would stop all requests until the layer is
	// loaded again.
	singleCopyScore = 1 / 10_000.0
	// localWeight is the weight of the capacity within single data centres
	// against the total capacity. Paths that stay within one data centre need no
	// link to another.
	localWeight = 0.3
	// localEmptyLayerTokens is the counterpart of emptyLayerTokens for a single data
	// centre. It is larger, since a data centre need not hold every layer.
	localEmptyLayerTokens = 30_000.0
)

// repair moves engines to layers with little capacity for requests. Empty
// engines are placed first.
func repair(profile cowslipproxy.EngineProfile, engines []Engine, maxMoves int) []Move {
	c := newLayerCapacity(profile, engines)
	var moves []Move
	for len(moves) < maxMoves {
		index, layers, ok := c.bestMove(engines)
		if !ok {
			break
		}
		c.add(engines[index], -1)
		engines[index].Range, engines[index].Fixed = layers, true
		c.add(engines[index], 1)
		moves = append(moves, Move{engines[index].ID, layers})
	}
	return moves
}

// layerCapacity is the KV cache capacity for requests of each layer, in tokens.
type layerCapacity struct {
	profile cowslipproxy.EngineProfile
	all     []float64
	copies  []int                // number of engines that hold each layer
	local   map[string][]float64 // per data centre
}

func newLayerCapacity(profile cowslipproxy.EngineProfile, engines []Engine) *layerCapacity {
	c := &layerCapacity{profile: profile, all: make([]float64, profile.Layers), copies: make([]int, profile.Layers), local: map[string][]float64{}}
	for _, e := range engines {
		if c.local[e.Centre] == nil {
			c.local[e.Centre] = make([]float64, profile.Layers)
		}
		c.add(e, 1)
	}
	return c
}

// kvTokensPerLayer returns the capacity that an engine contributes to each of its layers,
// in tokens. The result is bounded: an engine with few layers has capacity for many
// tokens, but its layers need other copies as well.
func (c *layerCapacity) kvTokensPerLayer(kind string, layers int) float64 {
	return min(pathfinder.KVCapacity(c.profile, kind, layers)/float64(max(layers, 1)), maxReserveFactor*kvReserveTokens)
}

// add adds the capacity of an engine, or removes it if sign is -1.
func (c *layerCapacity) add(e Engine, sign float64) {
	kvTokens := sign * c.kvTokensPerLayer(e.Kind, e.Range.Len())
	for layer := max(e.Range.First, 0); layer < min(e.Range.End, c.profile.Layers); layer++ {
		c.all[layer] += kvTokens
		c.copies[layer] += int(sign)
		c.local[e.Centre][layer] += kvTokens
	}
}

// scarcity returns the score to minimise: the sum over the layers of the
// reciprocal of their capacity, in total and, with a lower weight, in each data
// centre, plus a penalty for layers with a single copy.
func (c *layerCapacity) scarcity() (score float64) {
	for layer, kvTokens := range c.all {
		score += 1 / (max(kvTokens, 0) + emptyLayerTokens)
		if c.copies[layer] == 1 {
			score += singleCopyScore
		}
	}
	for _, local := range c.local {
		for _, kvTokens := range local {
			score += localWeight / (max(kvTokens, 0) + localEmptyLayerTokens)
		}
	}
	return score
}

// bestMove returns the move that lowers the scarcity score most. It reports false
// if no move lowers the score by minImprovement. Engines without layers are moved
// first, and for any improvement.
func (c *layerCapacity) bestMove(engines []Engine) (index int, layers cowslipproxy.LayerRange, ok bool) {
	current := c.scarcity()
	lowest := current * (1 - minImprovement)
	hasEmpty := slices.ContainsFunc(engines, func(e Engine) bool { return !e.Fixed && e.Range.Len() == 0 && Capacity(c.profile, e.Kind) > 0 })
	if hasEmpty {
		lowest = current
	}
	candidateStarts := c.candidateStarts(engines)
	for i, e := range engines {
		size := Capacity(c.profile, e.Kind)
		if e.Fixed || size == 0 || hasEmpty && e.Range.Len() > 0 {
			continue
		}
		c.add(e, -1)
		for _, first := range candidateStarts {
			first = max(min(first, c.profile.Layers-size), 0)
			moved := e
			moved.Range = cowslipproxy.LayerRange{First: first, End: first + size}
			if moved.Range == e.Range {
				continue
			}
			c.add(moved, 1)
			if scarcity := c.scarcity(); scarcity < lowest {
				index, layers, lowest, ok = i, moved.Range, scarcity, true
			}
			c.add(moved, -1)
		}
		c.add(e, 1)
	}
	return index, layers, ok
}

// candidateStarts returns the layers at which a moved range may start. The range
// then starts or ends at a boundary of another one, since engines with common
// boundaries can replace each other.
func (c *layerCapacity) candidateStarts(engines []Engine) []int {
	candidateStarts := []int{0}
	sizes := map[int]bool{}
	for _, e := range engines {
		sizes[Capacity(c.profile, e.Kind)] = true
	}
	for _, e := range engines {
		if e.Range.Len() == 0 {
			continue
		}
		candidateStarts = append(candidateStarts, e.Range.First, e.Range.End)
		for size := range sizes {
			candidateStarts = append(candidateStarts, e.Range.First-size, e.Range.End-size)
		}
	}
	slices.Sort(candidateStarts)
	return slices.Compact(candidateStarts)
}
