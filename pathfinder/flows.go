package pathfinder

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// flowCount is the number of paths that requests are spread over. More paths
	// match the capacity of the engines more closely but take longer to compute.
	flowCount = 48
	// targetUse is the fraction of the total capacity that the plan uses.
	targetUse = 0.6
	// loadExponent is the exponent by which the cost of an engine or a link grows
	// with its load.
	loadExponent = 4.0
	// crossingCost is the cost of crossing between data centres on an idle link,
	// in milliseconds of decode time. It grows with the planned use of the link.
	crossingCost = 4.0
	// memoryHoldTime is how long a request occupies memory, in seconds: about 150
	// tokens at 25 ms each.
	memoryHoldTime = 4.0
	// hopCost is the cost of each hop, in milliseconds. It keeps paths short.
	hopCost = 0.3
	// memoryCost is the cost of occupying an idle engine's whole capacity, in
	// milliseconds.
	memoryCost = 20.0
)

// segment is a part of a path: an engine and the layers that it runs.
type segment struct {
	engine *engine
	layers cowslipproxy.LayerRange
}

// flow is one of the paths that requests are spread over evenly.
type flow struct {
	segments []segment
	credit   float64 // requests that the flow is owed, kept by the balancer
}

// load gives the utilisation that a search assumes: of engine memory and of
// links between data centres, as fractions.
type load struct {
	memory  func(*engine) float64
	linkUse func(a, b string) float64
	detour  func(a, b string) float64 // least cost of crossing a link in a detour; nil for planned flows
}

// costModel gives the costs that a search minimises, in milliseconds.
type costModel struct {
	layer    func(*engine) float64     // of one layer
	crossing func(a, b string) float64 // from one data centre to another
	from     string                    // data centre before the first engine; empty for none
}

// decodeCosts returns the costs of decode steps.
func (f *Finder) decodeCosts(use load) costModel {
	return costModel{
		layer: func(e *engine) float64 { return f.layerCost(e, use.memory(e)) },
		crossing: func(a, b string) float64 {
			cost := crossingCost * math.Exp(loadExponent*use.linkUse(a, b))
			if use.detour != nil {
				cost = max(cost, use.detour(a, b))
			}
			return cost
		},
	}
}

// link is the pair of data centres that a network link connects, in sorted
// order.
type link struct{ a, b string }

func linkBetween(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// planFlows returns paths that together load the engines in proportion to their
// capacity.
func (f *Finder) planFlows(engines []*engine) []flow {
	if len(engines) == 0 {
		return nil
	}
	var memory float64
	for _, e := range engines {
		memory += e.memory
	}
	flowTokens := targetUse * memory / float64(f.profile.Layers) / flowCount // tokens per flow
	flowLinkUse := 0.0                                                       // fraction of a link's bandwidth that a crossing flow uses
	if f.profile.Pipe > 0 {
		const bitsPerMegabit, bitsPerByte = 1e6, 8
		flowLinkUse = flowTokens / memoryHoldTime * f.profile.Activation * bitsPerByte / (f.profile.Pipe * bitsPerMegabit)
	}
	used, plannedLinkUse := map[*engine]float64{}, map[link]float64{}
	planned := load{
		memory:  func(e *engine) float64 { return used[e] / e.memory },
		linkUse: func(a, b string) float64 { return plannedLinkUse[linkBetween(a, b)] },
	}
	var flows []flow
	for range flowCount {
		segments := f.shortest(engines, cowslipproxy.LayerRange{First: 0, End: f.profile.Layers}, f.decodeCosts(planned))
		if segments == nil {
			return nil
		}
		for i, s := range segments {
			used[s.engine] += flowTokens * float64(s.layers.Len())
			if i > 0 && segments[i-1].engine.Centre != s.engine.Centre {
				plannedLinkUse[linkBetween(segments[i-1].engine.Centre, s.engine.Centre)] += flowLinkUse
			}
		}
		flows = append(flows, flow{segments, f.Random.Float64()})
	}
	f.plannedLinkUse = plannedLinkUse
	return flows
}

const (
	// replanInterval is the shortest time between two plans because of suspect engines. A
	// plan for 200 engines takes several milliseconds on a small VM.
	replanInterval = time.Second
	// replanLoss is the fraction of the flows that suspect engines may interrupt before the
	// flows are planned without these. The load of the interrupted flows would go to the
	// others, however full these are.
	replanLoss = 1.0 / 3
)

// replan plans the flows without the suspect and the slow engines if these interrupt many flows, when
// an engine became slow or recovered, and once none of the suspects that were left out is suspect any
// more.
func (f *Finder) replan(now time.Time) {
	if now.Sub(f.plannedAt) < replanInterval {
		return
	}
	interrupted := 0
	for i := range f.flows {
		if !f.usable(now, &f.flows[i], Need{}) {
			interrupted++
		}
	}
	isSuspect := func(e *engine) bool { return now.Before(e.suspectUntil) }
	var trusted, suspects []*engine
	for _, e := range f.listed {
		if !f.isAvoidedEngine(now, e) {
			trusted = append(trusted, e)
		}
		if isSuspect(e) {
			suspects = append(suspects, e)
		}
	}
	isInterrupted := float64(interrupted) > replanLoss*float64(len(f.flows))
	hasRecovered := len(f.plannedWithout) > 0 && !slices.ContainsFunc(f.plannedWithout, isSuspect)
	if !isInterrupted && !hasRecovered && !f.speedsChanged {
		return
	}
	f.plannedAt, f.speedsChanged = now, false
	if flows := f.planFlows(trusted); flows != nil {
		f.flows, f.plannedWithout = flows, suspects
	}
}

// partialPath is the cheapest path over the layers before a boundary that ends
// in a given data centre.
type partialPath struct {
	cost   float64
	engine *engine
	from   int // index of the previous boundary
	centre int // index of the previous data centre; -1 at the start
}

// shortest returns the cheapest path over the layers, or nil if some layer is
// held by no engine. An engine may run any part of its layers between two
// boundaries of other engines' ranges.
func (f *Finder) shortest(engines []*engine, layers cowslipproxy.LayerRange, model costModel) []segment {
	bounds, centres := gridAxes(engines, layers)
	table := make([]partialPath, len(bounds)*len(centres))
	for i := range table {
		table[i].cost = math.Inf(1)
	}
	crossings := make([]float64, len(centres)*len(centres))
	for i, a := range centres {
		for j, b := range centres {
			if i != j {
				crossings[i*len(centres)+j] = model.crossing(a, b)
			}
		}
	}
	starts := make([]float64, len(centres))
	for i, centre := range centres {
		if model.from != "" && model.from != centre {
			starts[i] = model.crossing(model.from, centre)
		}
	}
	costs := make([]float64, len(engines))
	for i, e := range engines {
		costs[i] = model.layer(e)
	}
	for at := range len(bounds) - 1 {
		for i, e := range engines {
			if e.Range.First > bounds[at] || e.Range.End <= bounds[at] {
				continue
			}
			extend(table, searchGrid{bounds, centres, crossings, starts}, at, e, costs[i])
		}
	}
	return backtrack(table, bounds, centres)
}

// gridAxes returns the boundaries of engine ranges within the layers, and the
// data centres.
func gridAxes(engines []*engine, layers cowslipproxy.LayerRange) (bounds []int, centres []string) {
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

// layerCost returns the cost of running one layer on an engine, in
// milliseconds.
func (f *Finder) layerCost(e *engine, load float64) float64 {
	requestShare := float64(f.profile.Prompt+f.profile.Answer+1) / e.memory // fraction of e.memory that a layer of a typical request uses
	return f.decodeTime(e) + memoryCost*requestShare*math.Exp(loadExponent*load)
}

// decodeTime returns the time of a decode step through one layer of an engine, in milliseconds.
func (f *Finder) decodeTime(e *engine) float64 {
	pace := f.profile.Kinds[e.Kind].Pace
	if pace <= 0 {
		pace = 1
	}
	return max(e.slowdown, 1) * pace * float64(f.profile.Step.Microseconds()) / 1000 / float64(f.profile.Layers)
}

// searchGrid holds the axes of the search table and the costs between data
// centres.
type searchGrid struct {
	bounds    []int
	centres   []string
	crossings []float64 // cost from one data centre to another
	starts    []float64 // cost of starting in a data centre
}

// extend appends an engine to the paths that end at a boundary, up to each
// boundary within the engine's range.
func extend(table []partialPath, g searchGrid, at int, e *engine, cost float64) {
	bounds, centres := g.bounds, g.centres
	centre := slices.Index(centres, e.Centre)
	start, previous := math.Inf(1), -1
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
		if total < start && !onPath(table, len(centres), at, c, e) {
			start, previous = total, c
		}
	}
	for to := at + 1; to < len(bounds) && bounds[to] <= e.Range.End; to++ {
		total := start + hopCost + cost*float64(bounds[to]-bounds[at])
		if cell := &table[to*len(centres)+centre]; total < cell.cost {
			*cell = partialPath{cost: total, engine: e, from: at, centre: previous}
		}
	}
}

// onPath reports whether the engine is on the path that leads to a boundary. A
// path must not use an engine twice.
func onPath(table []partialPath, centres, at, centre int, e *engine) bool {
	for at > 0 {
		cell := &table[at*centres+centre]
		if cell.engine == e {
			return true
		}
		at, centre = cell.from, cell.centre
	}
	return false
}

// backtrack returns the segments of the cheapest path over all layers, or nil if
// there is none.
func backtrack(table []partialPath, bounds []int, centres []string) []segment {
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
	var segments []segment
	for at > 0 {
		cell := table[at*len(centres)+centre]
		layers := cowslipproxy.LayerRange{First: bounds[cell.from], End: bounds[at]}
		segments = append(segments, segment{cell.engine, layers})
		at, centre = cell.from, cell.centre
	}
	slices.Reverse(segments)
	return segments
}
