package commander

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/planner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// carryOut plans from what the engines report, and gives the orders.
func (c *Commander) carryOut(ctx context.Context, now time.Time) {
	var input planner.Input
	var err error
	if input, err = c.input(ctx); err != nil {
		reporter.EventPlanFailed.Log(ctx, c.Logger, slog.Any("error", err))
		return
	}
	var plan planner.Plan
	if plan, err = c.planner.Plan(now, input); err != nil {
		reporter.EventPlanFailed.Log(ctx, c.Logger, slog.Any("error", err))
		return
	}
	for _, move := range plan.Moves {
		c.order(ctx, move)
	}
}

// order gives one order. The lease is checked right before it is sent. An engine
// that ignores fencing numbers is safe too: an order names the wanted state, so
// a late one of a former holder changes what the next plan sees and corrects.
func (c *Commander) order(ctx context.Context, move planner.Move) {
	engine, ok := c.Engine(move.VM)
	if !ok {
		return
	}
	c.mu.Lock()
	c.ordered[move.VM] = planner.Holding{Model: move.Order.Model, Version: move.Order.Version, Range: move.Order.Range}
	c.mu.Unlock()
	c.group.Go(func() {
		defer c.done(move.VM)
		fence, holds := c.Lease.Holds()
		if !holds {
			return
		}
		move.Order.Fence = fence
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		reporter.EventOrder.Log(ctx, c.Logger, slog.String("engine", move.VM), slog.String("order", move.Order.ID), slog.Uint64("fence", fence))
		if err := engine.Order(ctx, move.Order); err != nil {
			reporter.EventOrderFailed.Log(ctx, c.Logger, slog.String("engine", move.VM), slog.Any("error", err))
		}
	})
}

func (c *Commander) done(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ordered, vm)
}

// input joins the declared models with the engines that may hold them. Engines
// of models that operators place themselves are left alone.
func (c *Commander) input(ctx context.Context) (planner.Input, error) {
	settled, _ := c.Settled()
	in := planner.Input{Rate: freeRate}
	if c.Weights != nil {
		var err error
		if in.Rate, err = c.Weights.Rate(ctx); err != nil {
			return in, err
		}
	}
	placed := map[string]bool{}
	for _, model := range settled.Models {
		if model.Stage == 0 {
			continue
		}
		var size int64
		var err error
		if size, err = c.size(ctx, model); err != nil {
			return in, err
		}
		placed[model.Name] = true
		in.Models = append(in.Models, planner.Model{Model: model, Stage: model.Stage, Bytes: size})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.Engines() {
		report := engine.Report
		if report.Room == 0 || report.Role == cowslipproxy.RoleServe && !placed[report.Model] {
			continue
		}
		in.Engines = append(in.Engines, c.engine(engine, in.Models))
	}
	return in, nil
}

func (c *Commander) engine(engine Engine, models []planner.Model) planner.Engine {
	planned := planner.Engine{VM: engine.VM, Centre: engine.Centre, Memory: map[string]int{}}
	for _, model := range models {
		planned.Memory[model.Name] = engine.Report.Room
	}
	if engine.Report.Role == cowslipproxy.RoleServe {
		planned.Holds = planner.Holding{Model: engine.Report.Model, Version: engine.Report.Version, Range: engine.Report.Range}
	}
	if ordered, ok := c.ordered[engine.VM]; ok {
		planned.Holds = ordered
	}
	return planned
}

// size returns the bytes of one layer.
func (c *Commander) size(ctx context.Context, model cowslipproxy.Model) (int64, error) {
	if c.Weights == nil {
		return 1, nil
	}
	key := model.Name + "\x00" + model.Version
	if size, ok := c.sizes[key]; ok {
		return size, nil
	}
	var size int64
	var err error
	if size, err = c.Weights.Size(ctx, model.Name, model.Version, cowslipproxy.LayerRange{First: 0, End: 1}); err != nil {
		return 0, err
	}
	c.sizes[key] = max(size, 1)
	return c.sizes[key], nil
}
