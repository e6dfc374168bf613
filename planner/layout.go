package planner

import (
	"cmp"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
)

// layout is the placement that a plan changes move by move.
type layout struct {
	models       []Model
	engines      []Engine
	holders      map[string][][]int     // indexes of the engines that hold a stage, by model and stage
	holderCounts map[modelVersion][]int // number of engines that hold each layer, by model version
	moved        map[int]bool           // indexes of the engines that already have a move in this plan
}

// modelVersion is a version of a model.
type modelVersion struct{ model, version string }

// stage is a stage with fewer replicas than wanted.
type stage struct {
	model Model
	index int
	have  int // replicas
}

func newLayout(in Input) *layout {
	l := &layout{models: slices.Clone(in.Models), engines: slices.Clone(in.Engines), holders: map[string][][]int{}, holderCounts: map[modelVersion][]int{}, moved: map[int]bool{}}
	slices.SortFunc(l.models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(l.engines, func(a, b Engine) int { return cmp.Compare(a.VM, b.VM) })
	for _, e := range l.engines {
		l.countLayers(e.Holds, 1)
	}
	for _, m := range l.models {
		l.holders[m.Name] = make([][]int, m.stages())
		for i, e := range l.engines {
			l.addHolder(i, m, e.Holds)
		}
	}
	return l
}

// countLayers adds delta to the number of holders of each layer of a holding.
func (l *layout) countLayers(h Holding, delta int) {
	version := modelVersion{h.Model, h.Version}
	if missing := h.Range.End - len(l.holderCounts[version]); missing > 0 {
		l.holderCounts[version] = append(l.holderCounts[version], make([]int, missing)...)
	}
	for layer := max(h.Range.First, 0); layer < h.Range.End; layer++ {
		l.holderCounts[version][layer] += delta
	}
}

// addHolder records the engine as a holder of the stages of a holding.
func (l *layout) addHolder(engine int, m Model, h Holding) {
	first, end, ok := m.stagesOf(h)
	for s := first; ok && s < end; s++ {
		l.holders[m.Name][s] = append(l.holders[m.Name][s], engine)
	}
}

// nextMove makes the most urgent move, or reports false if none is possible. Stages
// that lack the largest share of their replicas come first, and among equals those
// of the model with the highest demand.
func (l *layout) nextMove() (Move, bool) {
	underReplicated := l.underReplicated()
	slices.SortStableFunc(underReplicated, func(a, b stage) int {
		return cmp.Or(cmp.Compare(a.have*b.model.wantedReplicas(), b.have*a.model.wantedReplicas()), -cmp.Compare(a.model.Demand, b.model.Demand))
	})
	for _, s := range underReplicated {
		if engine, ok := l.pickEngine(s); ok {
			return l.move(engine, s), true
		}
	}
	return Move{}, false
}

// underReplicated returns the stages with fewer replicas than wanted.
func (l *layout) underReplicated() (all []stage) {
	for _, m := range l.models {
		for i, engines := range l.holders[m.Name] {
			if len(engines) < m.wantedReplicas() {
				all = append(all, stage{m, i, len(engines)})
			}
		}
	}
	return all
}

func (l *layout) gaps() (gaps []Gap) {
	for _, s := range l.underReplicated() {
		gaps = append(gaps, Gap{s.model.Name, s.model.layers(s.index, s.index+1), s.have, s.model.wantedReplicas()})
	}
	return gaps
}

// pickEngine returns the engine with the lowest loss for loading the stage. Among
// equals it prefers the data centre with the fewest replicas of the stage, then the
// engine with the most memory.
func (l *layout) pickEngine(s stage) (best int, ok bool) {
	type score struct{ loss, replicasInCentre, memory int }
	var lowest score
	for i, e := range l.engines {
		if e.Memory[s.model.Name] < s.model.layers(s.index, s.index+1).Len() {
			continue
		}
		loss, movable := l.loss(i, s)
		if !movable {
			continue
		}
		current := score{loss, l.replicasInCentre(e, s.model, s.index), e.Memory[s.model.Name]}
		order := cmp.Or(cmp.Compare(current.loss, lowest.loss), cmp.Compare(current.replicasInCentre, lowest.replicasInCentre), -cmp.Compare(current.memory, lowest.memory))
		if !ok || order < 0 {
			best, lowest, ok = i, current, true
		}
	}
	return best, ok
}

// replicasInCentre counts the replicas of a stage in the engine's data centre.
func (l *layout) replicasInCentre(e Engine, m Model, stage int) (count int) {
	for _, other := range l.holders[m.Name][stage] {
		if l.engines[other].Centre == e.Centre {
			count++
		}
	}
	return count
}

// Losses caused by moving an engine, in ascending order.
const (
	lossNone    = iota // the engine holds nothing
	lossStale          // its model is not declared, or its layers are of an old version or incomplete stages and are not needed
	lossSurplus        // its stages all have more replicas than wanted
	lossReplica        // some of its stages are left with fewer replicas than wanted
)

// loss returns the loss caused by replacing the layers of the engine with the
// stage, and whether the engine may be moved. A wanted replica may be replaced only
// for a stage without any replica, and only if it is not the last one.
func (l *layout) loss(engine int, s stage) (loss int, movable bool) {
	h := l.engines[engine].Holds
	if l.moved[engine] || h == (Holding{}) {
		return lossNone, !l.moved[engine]
	}
	index := slices.IndexFunc(l.models, func(m Model) bool { return m.Name == h.Model })
	if index < 0 {
		return lossStale, true
	}
	m := l.models[index]
	first, end, ok := m.stagesOf(h)
	if !ok {
		return lossStale, !l.stillNeeded(h, m)
	}
	loss = lossSurplus
	for i := first; i < end; i++ {
		have := len(l.holders[m.Name][i])
		if have > m.wantedReplicas() {
			continue
		}
		if s.have > 0 || have < 2 {
			return 0, false
		}
		loss = lossReplica
	}
	return loss, true
}

// stillNeeded reports whether requests need the old version that an engine holds:
// the declared version has stages without replicas, and the engine is the only
// holder of at least one of its layers.
func (l *layout) stillNeeded(h Holding, m Model) bool {
	if !slices.ContainsFunc(l.holders[m.Name], func(engines []int) bool { return len(engines) == 0 }) {
		return false
	}
	counts := l.holderCounts[modelVersion{h.Model, h.Version}]
	return slices.Contains(counts[max(h.Range.First, 0):max(h.Range.End, 0)], 1)
}

// move assigns the stage to the engine, together with as many adjacent
// under-replicated stages as fit into its memory. An adjacent stage is included only
// if the engine's data centre has no more replicas of it than of the stage.
func (l *layout) move(engine int, s stage) Move {
	m, e := s.model, l.engines[engine]
	l.moved[engine] = true
	l.countLayers(e.Holds, -1)
	for name, stages := range l.holders {
		for i, engines := range stages {
			l.holders[name][i] = slices.DeleteFunc(engines, func(other int) bool { return other == engine })
		}
	}
	replicasInCentre := l.replicasInCentre(e, m, s.index)
	extendable := func(i int) bool {
		return i >= 0 && i < m.stages() && len(l.holders[m.Name][i]) < m.wantedReplicas() && l.replicasInCentre(e, m, i) <= replicasInCentre
	}
	first, end := s.index, s.index+1
	for extendable(end) && m.layers(first, end+1).Len() <= e.Memory[m.Name] {
		end++
	}
	for extendable(first-1) && m.layers(first-1, end).Len() <= e.Memory[m.Name] {
		first--
	}
	move := newMove(e, m, m.layers(first, end))
	l.engines[engine].Holds = holdingOf(move.Order)
	l.countLayers(l.engines[engine].Holds, 1)
	l.addHolder(engine, m, l.engines[engine].Holds)
	return move
}

// holdingOf returns the holding that an order leads to.
func holdingOf(o cowslipproxy.Order) Holding { return Holding{o.Model, o.Version, o.Range} }
