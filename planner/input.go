package planner

import (
	"math"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Model is a declared model with the values that the placement uses.
type Model struct {
	cowslipproxy.Model
	Stage  int     // layers per stage; engines hold complete stages, so that their ranges always tile
	Bytes  int64   // size of the weights of one layer
	Demand float64 // requested tokens per second
	Rate   float64 // tokens per second that one replica serves; zero if not measured
}

// Engine is an engine that accepts orders.
type Engine struct {
	VM     string
	Centre string
	Memory map[string]int // number of layers that fit into memory, by model; depends on the accelerator kind
	Holds  Holding        // layers that it holds, or was ordered to hold and is loading
}

// Holding is the layer range of a model version that an engine holds. The zero
// value means that it holds none.
type Holding struct {
	Model   string
	Version string
	Range   cowslipproxy.LayerRange
}

// Input is the state from which a plan is made. The caller omits engines that are
// leaving or fail their probes.
type Input struct {
	Models  []Model
	Engines []Engine
	Rate    float64 // bytes per second that the weight store has available for loading
}

// Check reports the first invalid field.
func (in Input) Check() error {
	for _, m := range in.Models {
		if m.Stage < 1 || m.Layers < 1 || m.Replicas < 1 || m.Bytes < 1 {
			return errors.Errorf("model %s: stage %d, layers %d, replicas %d or bytes %d is not at least 1", m.Name, m.Stage, m.Layers, m.Replicas, m.Bytes)
		}
	}
	seen := map[string]bool{}
	for _, e := range in.Engines {
		if e.VM == "" || seen[e.VM] {
			return errors.Errorf("engine %q: name is empty or a duplicate; names must be unique", e.VM)
		}
		seen[e.VM] = true
	}
	return nil
}

// stages returns the number of stages; the last one may be shorter.
func (m Model) stages() int { return (m.Layers + m.Stage - 1) / m.Stage }

// wantedReplicas returns the declared number of replicas, or the number that the
// demand needs if it is higher.
func (m Model) wantedReplicas() int {
	if m.Rate <= 0 {
		return m.Replicas
	}
	return max(m.Replicas, int(math.Ceil(math.Min(m.Demand/m.Rate, 1e6))))
}

// layers returns the layers of the stages [first, end).
func (m Model) layers(first, end int) cowslipproxy.LayerRange {
	return cowslipproxy.LayerRange{First: first * m.Stage, End: min(end*m.Stage, m.Layers)}
}

// stagesOf returns the stages [first, end) of a holding. It reports false if the
// holding does not consist of complete stages of the declared version.
func (m Model) stagesOf(h Holding) (first, end int, ok bool) {
	r := h.Range
	if h.Model != m.Name || h.Version != m.Version || r.Len() < 1 || r.First < 0 || r.End > m.Layers {
		return 0, 0, false
	}
	first, end = r.First/m.Stage, (r.End+m.Stage-1)/m.Stage
	return first, end, m.layers(first, end) == r
}
