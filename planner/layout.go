package planner

import (
	"cmp"
	"slices"

	"github.com/cowslipproxy/cowslipproxy"
)

// layout is a placement that is improved move by move.
type layout struct {
	models  []Model
	engines []Engine
	cover   map[string][][]int // by model and stage: indexes of the engines that hold it
	layers  map[release][]int  // holders of each layer, of all versions
	moved   map[int]bool       // engines that got an order in this plan
}

// release is a version of a model.
type release struct{ model, version string }

// stage names a stage that lacks replicas.
type stage struct {
	model Model
	index int
	have  int
}

func newLayout(in Input) *layout {
	l := &layout{models: slices.Clone(in.Models), engines: slices.Clone(in.Engines), cover: map[string][][]int{}, layers: map[release][]int{}, moved: map[int]bool{}}
	slices.SortFunc(l.models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(l.engines, func(a, b Engine) int { return cmp.Compare(a.VM, b.VM) })
	for _, e := range l.engines {
		l.count(e.Holds, 1)
	}
	for _, m := range l.models {
		l.cover[m.Name] = make([][]int, m.stages())
		for i, e := range l.engines {
			l.hold(i, m, e.Holds)
		}
	}
	return l
}

func (l *layout) count(h Holding, step int) {
	r := release{h.Model, h.Version}
	if short := h.Range.End - len(l.layers[r]); short > 0 {
		l.layers[r] = append(l.layers[r], make([]int, short)...)
	}
	for layer := max(h.Range.First, 0); layer < h.Range.End; layer++ {
		l.layers[r][layer] += step
	}
}

func (l *layout) hold(engine int, m Model, h Holding) {
	first, end, ok := m.span(h)
	for s := first; ok && s < end; s++ {
		l.cover[m.Name][s] = append(l.cover[m.Name][s], engine)
	}
}

// improve makes the most urgent move. Stages that lack the largest part of their
// replicas go first, then those of the models with the largest demand.
func (l *layout) improve() (Move, bool) {
	lacking := l.lacking()
	slices.SortStableFunc(lacking, func(a, b stage) int {
		return cmp.Or(cmp.Compare(a.have*b.model.want(), b.have*a.model.want()), -cmp.Compare(a.model.Demand, b.model.Demand))
	})
	for _, s := range lacking {
		if engine, ok := l.pick(s); ok {
			return l.move(engine, s), true
		}
	}
	return Move{}, false
}

func (l *layout) lacking() (all []stage) {
	for _, m := range l.models {
		for i, engines := range l.cover[m.Name] {
			if len(engines) < m.want() {
				all = append(all, stage{m, i, len(engines)})
			}
		}
	}
	return all
}

func (l *layout) gaps() (gaps []Gap) {
	for _, s := range l.lacking() {
		gaps = append(gaps, Gap{s.model.Name, s.model.layers(s.index, s.index+1), s.have, s.model.want()})
	}
	return gaps
}

// pick returns the engine that loses least by taking the stage, and among equals
// one in a data centre that doesn't hold it yet.
func (l *layout) pick(s stage) (best int, ok bool) {
	type score struct{ loss, near, memory int }
	var least score
	for i, e := range l.engines {
		if e.Memory[s.model.Name] < s.model.layers(s.index, s.index+1).Len() {
			continue
		}
		loss, free := l.loss(i, s)
		if !free {
			continue
		}
		rated := score{loss, l.near(e, s.model, s.index), e.Memory[s.model.Name]}
		order := cmp.Or(cmp.Compare(rated.loss, least.loss), cmp.Compare(rated.near, least.near), -cmp.Compare(rated.memory, least.memory))
		if !ok || order < 0 {
			best, least, ok = i, rated, true
		}
	}
	return best, ok
}

// near counts the replicas of a stage in the engine's data centre.
func (l *layout) near(e Engine, m Model, stage int) (count int) {
	for _, other := range l.cover[m.Name][stage] {
		if l.engines[other].Centre == e.Centre {
			count++
		}
	}
	return count
}

// Losses of moving an engine, from none upwards.
const (
	lossNone    = iota // holds nothing
	lossStale          // holds what is not declared, or a former version that isn't needed
	lossSurplus        // holds only stages with more replicas than wanted
	lossReplica        // leaves stages with fewer replicas than wanted
)

// loss rates what is lost if the engine gives up what it holds for the stage.
// Only a stage that no engine holds takes a replica that is wanted elsewhere, and
// never the last one.
func (l *layout) loss(engine int, s stage) (loss int, free bool) {
	h := l.engines[engine].Holds
	if l.moved[engine] || h == (Holding{}) {
		return lossNone, !l.moved[engine]
	}
	index := slices.IndexFunc(l.models, func(m Model) bool { return m.Name == h.Model })
	if index < 0 {
		return lossStale, true
	}
	m := l.models[index]
	first, end, ok := m.span(h)
	if !ok {
		return lossStale, !l.serving(h, m)
	}
	loss = lossSurplus
	for i := first; i < end; i++ {
		have := len(l.cover[m.Name][i])
		if have > m.want() {
			continue
		}
		if s.have > 0 || have < 2 {
			return 0, false
		}
		loss = lossReplica
	}
	return loss, true
}

// serving reports whether requests need a former version that an engine holds:
// the declared one isn't covered yet, and no other engine holds all the same layers.
func (l *layout) serving(h Holding, m Model) bool {
	if !slices.ContainsFunc(l.cover[m.Name], func(engines []int) bool { return len(engines) == 0 }) {
		return false
	}
	counts := l.layers[release{h.Model, h.Version}]
	return slices.Contains(counts[max(h.Range.First, 0):max(h.Range.End, 0)], 1)
}

// move gives the engine the stage and as many lacking neighbours as fit and as
// its data centre doesn't hold more often.
func (l *layout) move(engine int, s stage) Move {
	m, e := s.model, l.engines[engine]
	l.moved[engine] = true
	l.count(e.Holds, -1)
	for name, stages := range l.cover {
		for i, engines := range stages {
			l.cover[name][i] = slices.DeleteFunc(engines, func(other int) bool { return other == engine })
		}
	}
	near := l.near(e, m, s.index)
	lacks := func(i int) bool {
		return i >= 0 && i < m.stages() && len(l.cover[m.Name][i]) < m.want() && l.near(e, m, i) <= near
	}
	first, end := s.index, s.index+1
	for lacks(end) && m.layers(first, end+1).Len() <= e.Memory[m.Name] {
		end++
	}
	for lacks(first-1) && m.layers(first-1, end).Len() <= e.Memory[m.Name] {
		first--
	}
	move := newMove(e, m, m.layers(first, end))
	l.engines[engine].Holds = holding(move.Order)
	l.count(l.engines[engine].Holds, 1)
	l.hold(engine, m, l.engines[engine].Holds)
	return move
}

func holding(o cowslipproxy.Order) Holding { return Holding{o.Model, o.Version, o.Range} }
