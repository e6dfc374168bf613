// Package planner places layers on engines and returns the orders that lead to the
// placement.
package planner

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// DefaultBurst is the default of Planner.Burst.
const DefaultBurst = 10 * time.Second

// Planner makes plans within the rate of the weight store, which it enforces with a
// token bucket. Loads are charged when they are ordered. A load larger than the
// credit is ordered unless the credit is negative; later loads wait until the credit
// is no longer negative.
type Planner struct {
	Burst time.Duration // maximum credit, as the time in which it accumulates; default 10 s

	mutex  sync.Mutex
	credit float64 // bytes
	at     time.Time
}

// Move is an order to one engine. The ID of the order is derived from the wanted
// state, so that equal orders have equal IDs. The caller adds the fencing token.
type Move struct {
	VM    string
	Order cowslipproxy.Order
	Bytes int64 // bytes to load from the weight store
}

// Gap is a stage with fewer replicas than wanted.
type Gap struct {
	Model string
	Range cowslipproxy.LayerRange
	Have  int
	Want  int
}

// Plan contains the moves to order now, and the gaps that remain after them because
// the weight store's rate or the engines do not suffice.
type Plan struct {
	Moves []Move
	Gaps  []Gap
}

// Plan returns the plan for the current state. Engines keep their layers unless a
// stage lacks replicas and no engine is free.
func (p *Planner) Plan(now time.Time, in Input) (Plan, error) {
	if err := in.Check(); err != nil {
		return Plan{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refill(now, in.Rate)
	layout, plan := newLayout(in), Plan{}
	for p.credit >= 0 {
		move, ok := layout.nextMove()
		if !ok {
			break
		}
		p.credit -= float64(move.Bytes)
		plan.Moves = append(plan.Moves, move)
	}
	plan.Gaps = layout.gaps()
	return plan, nil
}

// refill adds the credit for the time since the last plan.
func (p *Planner) refill(now time.Time, rate float64) {
	burst := p.Burst
	if burst == 0 {
		burst = DefaultBurst
	}
	if !p.at.IsZero() && now.After(p.at) {
		p.credit = math.Min(p.credit+rate*now.Sub(p.at).Seconds(), rate*burst.Seconds())
	}
	p.at = now
}

func newMove(e Engine, m Model, r cowslipproxy.LayerRange) Move {
	loaded := r.Len()
	if e.Holds.Model == m.Name && e.Holds.Version == m.Version {
		loaded -= max(min(r.End, e.Holds.Range.End)-max(r.First, e.Holds.Range.First), 0)
	}
	return Move{VM: e.VM, Bytes: int64(loaded) * m.Bytes, Order: cowslipproxy.Order{
		ID:    fmt.Sprintf("%s/%s/%s/%d-%d", e.VM, m.Name, m.Version, r.First, r.End),
		Model: m.Name, Version: m.Version, Adapters: m.Adapters, Layers: m.Layers, Range: r, Role: cowslipproxy.RoleServe,
	}}
}
