package planner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/planner"
)

var epoch = time.Unix(1_700_000_000, 0)

// A fixed seed of rapid makes the results of the tests reproducible.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// fleet draws an input with enough engines for all stages in each data centre.
func fleet(t *rapid.T) planner.Input {
	in := planner.Input{Rate: 100}
	needed := 0
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		m := planner.Model{Stage: rapid.IntRange(1, 5).Draw(t, "stage"), Bytes: 10}
		m.Name, m.Version = fmt.Sprint("model-", i), "1"
		m.Layers, m.Replicas = rapid.IntRange(1, 20).Draw(t, "layers"), rapid.IntRange(1, 4).Draw(t, "replicas")
		needed += (m.Layers + m.Stage - 1) / m.Stage * m.Replicas
		in.Models = append(in.Models, m)
	}
	for i := range 3 * needed {
		in.Engines = append(in.Engines, engine(t, fmt.Sprintf("vm-%03d", i), fmt.Sprint("centre-", i%3)))
	}
	return in
}

func engine(t *rapid.T, name, centre string) planner.Engine {
	e := planner.Engine{VM: name, Centre: centre, Memory: map[string]int{}}
	for i := range 3 {
		e.Memory[fmt.Sprint("model-", i)] = rapid.IntRange(5, 12).Draw(t, "memory")
	}
	return e
}

// executePlans makes and executes plans until a plan leaves no gap. It returns the
// number of moves.
func executePlans(t require.TestingT, p *planner.Planner, now *time.Time, in *planner.Input) (moves int) {
	start, loaded := *now, int64(0)
	for range 10000 {
		plan, err := p.Plan(*now, *in)
		require.NoError(t, err)
		largest := int64(0)
		for _, move := range plan.Moves {
			require.NoError(t, move.Order.Check())
			apply(in, move)
			loaded, largest = loaded+move.Bytes, max(largest, move.Bytes)
		}
		allowed := in.Rate * (now.Sub(start) + planner.DefaultBurst).Seconds()
		require.LessOrEqual(t, float64(loaded-largest), allowed, "the loads exceed the weight store's rate")
		moves += len(plan.Moves)
		if len(plan.Gaps) == 0 {
			return moves
		}
		*now = now.Add(time.Second)
	}
	require.Fail(t, "stages still have fewer replicas than wanted")
	return moves
}

func apply(in *planner.Input, move planner.Move) {
	for i := range in.Engines {
		if in.Engines[i].VM == move.VM {
			in.Engines[i].Holds = planner.Holding{Model: move.Order.Model, Version: move.Order.Version, Range: move.Order.Range}
		}
	}
}

// holders returns the number of engines that hold a layer, and their data centres.
func holders(in planner.Input, m planner.Model, layer int) (engines int, centres map[string]bool) {
	centres = map[string]bool{}
	for _, e := range in.Engines {
		if h := e.Holds; h.Model == m.Name && h.Version == m.Version && h.Range.First <= layer && layer < h.Range.End {
			engines++
			centres[e.Centre] = true
		}
	}
	return engines, centres
}

func checkReplicas(t require.TestingT, in planner.Input) {
	for _, m := range in.Models {
		for layer := range m.Layers {
			engines, centres := holders(in, m, layer)
			require.GreaterOrEqual(t, engines, m.Replicas)
			require.GreaterOrEqual(t, len(centres), min(m.Replicas, 2))
		}
	}
}

// Guards against layers with too few replicas or with all replicas in one data
// centre, against loads that exceed the rate, and against moves that are not needed
// after a VM is lost or added.
func TestPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, in := &planner.Planner{}, epoch, fleet(t)
		executePlans(t, p, &now, &in)
		checkReplicas(t, in)
		in.Engines = append(in.Engines, engine(t, "vm-new", "centre-0"))
		require.Zero(t, executePlans(t, p, &now, &in), "a new VM caused moves")

		lost := rapid.IntRange(0, len(in.Engines)-1).Draw(t, "lost")
		stages := 0
		for _, m := range in.Models {
			if h := in.Engines[lost].Holds; h.Model == m.Name {
				stages = (h.Range.Len() + m.Stage - 1) / m.Stage
			}
		}
		in.Engines = append(in.Engines[:lost], in.Engines[lost+1:]...)
		require.LessOrEqual(t, executePlans(t, p, &now, &in), stages, "a lost VM caused more moves than the stages that it held")
		checkReplicas(t, in)
	})
}

// Guards against a new version that replaces the last engines of an old version that
// requests still need, and against a stage that stays without replicas while another
// stage has two.
func TestScarceEnginesKeepNeededLayers(t *testing.T) {
	m := planner.Model{Model: cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 2, Replicas: 2}, Stage: 1, Bytes: 1}
	in := planner.Input{Rate: 100, Models: []planner.Model{m}}
	for i := range 2 { // both engines hold layer 0
		holds := planner.Holding{Model: "scribe", Version: "1", Range: cowslipproxy.LayerRange{First: 0, End: 1}}
		in.Engines = append(in.Engines, planner.Engine{VM: fmt.Sprint("vm-", i), Memory: map[string]int{"scribe": 1}, Holds: holds})
	}
	p := &planner.Planner{}
	plan, err := p.Plan(epoch, in)
	require.NoError(t, err)
	require.Len(t, plan.Moves, 1)
	require.Equal(t, cowslipproxy.LayerRange{First: 1, End: 2}, plan.Moves[0].Order.Range)
	require.Len(t, plan.Gaps, 2)
	apply(&in, plan.Moves[0])

	in.Models[0].Version = "2"
	plan, err = p.Plan(epoch.Add(time.Minute), in)
	require.NoError(t, err)
	require.Empty(t, plan.Moves, "each layer of version 1 has one holder")
	for i := range 2 {
		in.Engines = append(in.Engines, planner.Engine{VM: fmt.Sprint("vm-", 8+i), Memory: map[string]int{"scribe": 1}})
	}
	now := epoch.Add(2 * time.Minute)
	require.Equal(t, 4, executePlans(t, p, &now, &in))
}
