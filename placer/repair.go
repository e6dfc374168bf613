package placer

import (
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

const (
	// worthMoving is the part by which a move must lower the strain. An engine
	// that loads serves nothing for some seconds.
	worthMoving = 0.06
	// scarce is the room of a layer that nobody holds, in tokens. It must not be
	// 0, so that two lost layers are worse than one.
	scarce = 1000.0
	// mostRoom bounds what a layer of one engine counts for, in parts of the room
	// that engines are planned to keep.
	mostRoom = 1.25
	// single is the strain of a layer that only one engine holds: its loss would
	// stop all requests until the layer is loaded again.
	single = 1 / 10_000.0
	// nearWeight is the weight of the room in single data centres against the
	// room of all. Paths that stay in one need no pipe between them.
	nearWeight = 0.3
	// nearScarce is the same as scarce for single data centres, which need not
	// hold every layer.
	nearScarce = 30_000.0
)

// repair moves engines to layers that have little room for requests. Empty
// engines get layers first.
func repair(profile cowslipproxy.EngineProfile, engines []Engine, most int) []Move {
	c := newCover(profile, engines)
	var moves []Move
	for len(moves) < most {
		index, layers, ok := c.improve(engines)
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

// cover is the room for requests of each layer, in tokens.
type cover struct {
	profile cowslipproxy.EngineProfile
	all     []float64
	copies  []int                // engines that hold each layer
	near    map[string][]float64 // by data centre
}

func newCover(profile cowslipproxy.EngineProfile, engines []Engine) *cover {
	c := &cover{profile: profile, all: make([]float64, profile.Layers), copies: make([]int, profile.Layers), near: map[string][]float64{}}
	for _, e := range engines {
		if c.near[e.Centre] == nil {
			c.near[e.Centre] = make([]float64, profile.Layers)
		}
		c.add(e, 1)
	}
	return c
}

// room returns the tokens that each layer of an engine counts for. An engine
// with few layers has room for more, but its layers need other copies all the
// same.
func (c *cover) room(kind string, layers int) float64 {
	return min(pathfinder.Room(c.profile, kind, layers)/float64(max(layers, 1)), mostRoom*room)
}

func (c *cover) add(e Engine, sign float64) {
	room := sign * c.room(e.Kind, e.Range.Len())
	for layer := max(e.Range.First, 0); layer < min(e.Range.End, c.profile.Layers); layer++ {
		c.all[layer] += room
		c.copies[layer] += int(sign)
		c.near[e.Centre][layer] += room
	}
}

// strain is the sum over layers of what a request's share of the room is.
func (c *cover) strain() (sum float64) {
	for layer, room := range c.all {
		sum += 1 / (max(room, 0) + scarce)
		if c.copies[layer] == 1 {
			sum += single
		}
	}
	for _, near := range c.near {
		for _, room := range near {
			sum += nearWeight / (max(room, 0) + nearScarce)
		}
	}
	return sum
}

// improve returns the move that lowers the strain most. An engine that holds
// nothing is always placed.
func (c *cover) improve(engines []Engine) (index int, layers cowslipproxy.LayerRange, ok bool) {
	now := c.strain()
	least := now * (1 - worthMoving)
	empty := slices.ContainsFunc(engines, func(e Engine) bool { return !e.Fixed && e.Range.Len() == 0 && Capacity(c.profile, e.Kind) > 0 })
	if empty {
		least = now
	}
	starts := c.starts(engines)
	for i, e := range engines {
		size := Capacity(c.profile, e.Kind)
		if e.Fixed || size == 0 || empty && e.Range.Len() > 0 {
			continue
		}
		c.add(e, -1)
		for _, first := range starts {
			first = max(min(first, c.profile.Layers-size), 0)
			moved := e
			moved.Range = cowslipproxy.LayerRange{First: first, End: first + size}
			if moved.Range == e.Range {
				continue
			}
			c.add(moved, 1)
			if strain := c.strain(); strain < least {
				index, layers, least, ok = i, moved.Range, strain, true
			}
			c.add(moved, -1)
		}
		c.add(e, 1)
	}
	return index, layers, ok
}

// starts returns where ranges may begin: at the boundaries of others, so that
// engines can stand in for each other, and where they end at one.
func (c *cover) starts(engines []Engine) []int {
	starts := []int{0}
	sizes := map[int]bool{}
	for _, e := range engines {
		sizes[Capacity(c.profile, e.Kind)] = true
	}
	for _, e := range engines {
		if e.Range.Len() == 0 {
			continue
		}
		starts = append(starts, e.Range.First, e.Range.End)
		for size := range sizes {
			starts = append(starts, e.Range.First-size, e.Range.End-size)
		}
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}
