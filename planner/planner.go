// Package planner decides which engine holds which layers, and returns the orders
// that get there.
package planner

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// DefaultSaved is how long unused bytes of the weight store's rate are saved.
const DefaultSaved = 10 * time.Second

// Planner makes plans within the weight store's rate. Loads are charged when
// they are ordered. A load larger than what is saved is ordered when nothing is
// owed, and later ones wait until it is paid for.
type Planner struct {
	Saved time.Duration // time for which the rate is saved while nothing is loaded

	mutex  sync.Mutex
	credit float64 // bytes
	at     time.Time
}

// Move is an order to one engine. Its id names the wanted state, so that the same
// order has the same id. The caller adds the fencing number.
type Move struct {
	VM    string
	Order cowslipproxy.Order
	Bytes int64 // to load from the weight store
}

// Gap is a stage with fewer replicas than wanted.
type Gap struct {
	Model string
	Range cowslipproxy.LayerRange
	Have  int
	Want  int
}

// Plan is what to order now, and what remains afterwards: gaps that wait for the
// weight store's rate or for engines.
type Plan struct {
	Moves []Move
	Gaps  []Gap
}

// Plan returns the orders that the present state needs. Engines keep what they
// hold unless a stage lacks replicas and no engine is free for it.
func (p *Planner) Plan(now time.Time, in Input) (Plan, error) {
	if err := in.Check(); err != nil {
		return Plan{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.earn(now, in.Rate)
	layout, plan := newLayout(in), Plan{}
	for p.credit >= 0 {
		move, ok := layout.improve()
		if !ok {
			break
		}
		p.credit -= float64(move.Bytes)
		plan.Moves = append(plan.Moves, move)
	}
	plan.Gaps = layout.gaps()
	return plan, nil
}

func (p *Planner) earn(now time.Time, rate float64) {
	saved := p.Saved
	if saved == 0 {
		saved = DefaultSaved
	}
	if !p.at.IsZero() && now.After(p.at) {
		p.credit = math.Min(p.credit+rate*now.Sub(p.at).Seconds(), rate*saved.Seconds())
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
