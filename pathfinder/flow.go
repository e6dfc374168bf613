package pathfinder

import (
	"math"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// flowCount is the number of paths among which requests are spread. More
	// paths follow the engines' room more closely and take longer to compute.
	flowCount = 48
	// fill is the part of the engines' room that the spread plans to use.
	fill = 0.6
	// steep is how much the cost of an engine grows with its planned use.
	steep = 4.0
	// crossCost is the cost of a path's crossing between data centres, in
	// milliseconds of decode time. It grows with the planned use of the pipe.
	crossCost = 4.0
	// holdTime is how long a request holds its memory, in seconds: some 150
	// tokens at 25 ms each.
	holdTime = 4.0
	// hopCost keeps paths short, in milliseconds.
	hopCost = 0.3
	// roomCost weighs the planned use of an engine's room, in milliseconds.
	roomCost = 20.0
)

// step is an engine of a path with the layers that it runs.
type step struct {
	engine *engine
	layers cowslipproxy.LayerRange
}

// flow is one of the paths among which requests are spread evenly.
type flow struct{ steps []step }

// load is what a decision takes to be in use: parts of the engines' rooms and of
// the pipes between data centres.
type load struct {
	room func(*engine) float64
	pipe func(a, b string) float64
	slow func(a, b string) bool // whether requests met a slow pipe; nil for no
}

// weights are the costs that a search adds up, in milliseconds.
type weights struct {
	layer    func(*engine) float64     // of one layer
	crossing func(a, b string) float64 // from one data centre to another
	from     string                    // data centre that the work comes from; empty for none
}

// decoding weighs the time of decode steps.
func (f *Finder) decoding(use load) weights {
	return weights{
		layer: func(e *engine) float64 { return f.layerCost(e, use.room(e)) },
		crossing: func(a, b string) float64 {
			if use.slow != nil && use.slow(a, b) {
				return slowCrossing
			}
			return crossCost * math.Exp(steep*use.pipe(a, b))
		},
	}
}

// pair names the pipe between two data centres.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// spread returns paths that together use the engines by their room.
func (f *Finder) spread(engines []*engine) []flow {
	if len(engines) == 0 {
		return nil
	}
	var room float64
	for _, e := range engines {
		room += e.room
	}
	unit := fill * room / float64(f.profile.Layers) / flowCount // tokens of one flow
	crossing := 0.0                                             // part of a pipe that a crossing of one flow takes
	if f.profile.Pipe > 0 {
		const bitsPerMegabit, bitsPerByte = 1e6, 8
		crossing = unit / holdTime * f.profile.Activation * bitsPerByte / (f.profile.Pipe * bitsPerMegabit)
	}
	used, pipes := map[*engine]float64{}, map[pair]float64{}
	planned := load{
		room: func(e *engine) float64 { return used[e] / e.room },
		pipe: func(a, b string) float64 { return pipes[pairOf(a, b)] },
	}
	var flows []flow
	for range flowCount {
		steps := f.shortest(engines, cowslipproxy.LayerRange{First: 0, End: f.profile.Layers}, f.decoding(planned))
		if steps == nil {
			return nil
		}
		for i, s := range steps {
			used[s.engine] += unit * float64(s.layers.Len())
			if i > 0 && steps[i-1].engine.Centre != s.engine.Centre {
				pipes[pairOf(steps[i-1].engine.Centre, s.engine.Centre)] += crossing
			}
		}
		flows = append(flows, flow{steps})
	}
	f.pipes = pipes
	return flows
}

// reached is the cheapest way to run the layers before a boundary that ends in
// a data centre.
type reached struct {
	cost   float64
	engine *engine
	from   int // index of the boundary before
	centre int // index of the data centre before; -1 at the start
}

// shortest returns the cheapest path over the layers, or nil. An engine may run
// any part of its layers between two boundaries of other engines' ranges.
func (f *Finder) shortest(engines []*engine, layers cowslipproxy.LayerRange, w weights) []step {
	bounds, centres := axes(engines, layers)
	table := make([]reached, len(bounds)*len(centres))
	for i := range table {
		table[i].cost = math.Inf(1)
	}
	crossings := make([]float64, len(centres)*len(centres))
	for i, a := range centres {
		for j, b := range centres {
			if i != j {
				crossings[i*len(centres)+j] = w.crossing(a, b)
			}
		}
	}
	starts := make([]float64, len(centres))
	for i, centre := range centres {
		if w.from != "" && w.from != centre {
			starts[i] = w.crossing(w.from, centre)
		}
	}
	costs := make([]float64, len(engines))
	for i, e := range engines {
		costs[i] = w.layer(e)
	}
	for at := range len(bounds) - 1 {
		for i, e := range engines {
			if e.Range.First > bounds[at] || e.Range.End <= bounds[at] {
				continue
			}
			extend(table, grid{bounds, centres, crossings, starts}, at, e, costs[i])
		}
	}
	return backtrack(table, bounds, centres)
}

// axes returns the boundaries of ranges within the layers, and the data centres.
func axes(engines []*engine, layers cowslipproxy.LayerRange) (bounds []int, centres []string) {
	bounds = append(bounds, layers.First, layers.End)
	for _, e := range engines {
		for _, bound := range []int{e.Range.First, e.Range.End} {
			if bound > layers.First && bound < layers.End {
				bounds = append(bounds, bound)
			}
		}
		if !slices.Contains(centres, e.Centre) {
			centres = append(centres, e.Centre)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds), centres
}

// layerCost is the cost of one layer, in milliseconds.
func (f *Finder) layerCost(e *engine, load float64) float64 {
	pace := f.profile.Kinds[e.Kind].Pace
	if pace <= 0 {
		pace = 1
	}
	decode := pace * float64(f.profile.Step.Microseconds()) / 1000 / float64(f.profile.Layers)
	reference := float64(f.profile.Prompt+f.profile.Answer+1) / e.room // of its room, for one request's layer
	return decode + roomCost*reference*math.Exp(steep*load)
}

// grid is what a path may be made of.
type grid struct {
	bounds    []int
	centres   []string
	crossings []float64 // cost from one data centre to another
	starts    []float64 // cost to begin in a data centre
}

// extend tries an engine from a boundary on, up to each boundary that it reaches.
func extend(table []reached, g grid, at int, e *engine, cost float64) {
	bounds, centres := g.bounds, g.centres
	centre := slices.Index(centres, e.Centre)
	start, before := math.Inf(1), -1
	if at == 0 {
		start = g.starts[centre]
	}
	for c := range centres {
		if at == 0 {
			break
		}
		total := table[at*len(centres)+c].cost
		if math.IsInf(total, 1) {
			continue
		}
		total += g.crossings[c*len(centres)+centre]
		if total < start && !stands(table, len(centres), at, c, e) {
			start, before = total, c
		}
	}
	for to := at + 1; to < len(bounds) && bounds[to] <= e.Range.End; to++ {
		total := start + hopCost + cost*float64(bounds[to]-bounds[at])
		if cell := &table[to*len(centres)+centre]; total < cell.cost {
			*cell = reached{cost: total, engine: e, from: at, centre: before}
		}
	}
}

// stands reports whether the engine is in the way that leads to a boundary. An
// engine may stand only once in a path.
func stands(table []reached, centres, at, centre int, e *engine) bool {
	for at > 0 {
		cell := &table[at*centres+centre]
		if cell.engine == e {
			return true
		}
		at, centre = cell.from, cell.centre
	}
	return false
}

func backtrack(table []reached, bounds []int, centres []string) []step {
	at, centre := len(bounds)-1, -1
	best := math.Inf(1)
	for c := range centres {
		if cost := table[at*len(centres)+c].cost; cost < best {
			best, centre = cost, c
		}
	}
	if centre < 0 {
		return nil
	}
	var steps []step
	for at > 0 {
		cell := table[at*len(centres)+centre]
		layers := cowslipproxy.LayerRange{First: bounds[cell.from], End: bounds[at]}
		steps = append(steps, step{cell.engine, layers})
		at, centre = cell.from, cell.centre
	}
	slices.Reverse(steps)
	return steps
}
