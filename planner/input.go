package planner

import (
	"math"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Model is a declared model with what a placement needs to know of it.
type Model struct {
	cowslipproxy.Model
	Stage  int     // layers of a stage; engines hold whole stages, so that ranges always tile
	Bytes  int64   // weights of one layer
	Demand float64 // tokens per second that are asked for
	Rate   float64 // tokens per second that one replica serves; zero when not measured
}

// Engine is an engine that can be given orders.
type Engine struct {
	VM     string
	Centre string
	Memory map[string]int // layers that fit, by model; depends on the kind of accelerator
	Holds  Holding        // what it holds, or was ordered to hold and still loads
}

// Holding is a range of layers of a model version. The zero value holds nothing.
type Holding struct {
	Model   string
	Version string
	Range   cowslipproxy.LayerRange
}

// Input is the state that a plan starts from. Engines that are leaving or that
// fail probes are left out by the caller.
type Input struct {
	Models  []Model
	Engines []Engine
	Rate    float64 // bytes per second that the weight store has left for loads
}

// Check reports the first field that is out of range.
func (in Input) Check() error {
	for _, m := range in.Models {
		if m.Stage < 1 || m.Layers < 1 || m.Replicas < 1 || m.Bytes < 1 {
			return errors.Errorf("model %s: found stage %d, layers %d, replicas %d, bytes %d, accepted are numbers from 1", m.Name, m.Stage, m.Layers, m.Replicas, m.Bytes)
		}
	}
	seen := map[string]bool{}
	for _, e := range in.Engines {
		if e.VM == "" || seen[e.VM] {
			return errors.Errorf("engine %q: accepted is a name that stands once", e.VM)
		}
		seen[e.VM] = true
	}
	return nil
}

// stages returns the number of stages; the last one may be shorter.
func (m Model) stages() int { return (m.Layers + m.Stage - 1) / m.Stage }

// want returns the replicas that are declared, or that demand needs if more.
func (m Model) want() int {
	if m.Rate <= 0 {
		return m.Replicas
	}
	return max(m.Replicas, int(math.Ceil(math.Min(m.Demand/m.Rate, 1e6))))
}

// layers returns the layers of the stages [first, end).
func (m Model) layers(first, end int) cowslipproxy.LayerRange {
	return cowslipproxy.LayerRange{First: first * m.Stage, End: min(end*m.Stage, m.Layers)}
}

// span returns the stages of a holding, and false if it isn't made of whole
// stages of the declared version.
func (m Model) span(h Holding) (first, end int, ok bool) {
	r := h.Range
	if h.Model != m.Name || h.Version != m.Version || r.Len() < 1 || r.First < 0 || r.End > m.Layers {
		return 0, 0, false
	}
	first, end = r.First/m.Stage, (r.End+m.Stage-1)/m.Stage
	return first, end, m.layers(first, end) == r
}
