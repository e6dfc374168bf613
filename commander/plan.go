package commander

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/planner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// executePlan makes a plan from the engines' reports and sends its orders.
func (c *Commander) executePlan(ctx context.Context, now time.Time) {
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
		c.sendOrder(ctx, move)
	}
}

// sendOrder sends an order to an engine in the background. It checks the lease right
// before sending. Engines that ignore fencing tokens may execute a late order from a
// former lease holder. Since an order sets the desired state, the next plan sees its
// effect in the engine's report and corrects it.
func (c *Commander) sendOrder(ctx context.Context, move planner.Move) {
	engine, ok := c.Engine(move.VM)
	if !ok {
		return
	}
	c.mu.Lock()
	c.pending[move.VM] = planner.Holding{Model: move.Order.Model, Version: move.Order.Version, Range: move.Order.Range}
	c.mu.Unlock()
	c.group.Go(func() {
		defer c.endOrder(move.VM)
		fence, holds := c.Lease.Holds()
		if !holds {
			return
		}
		move.Order.Fence = fence
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reporter.EventOrderSent.Log(ctx, c.Logger, slog.String("engine", move.VM), slog.String("order", move.Order.ID), slog.Uint64("fence", fence))
		if err := engine.Order(ctx, move.Order); err != nil {
			reporter.EventOrderFailed.Log(ctx, c.Logger, slog.String("engine", move.VM), slog.Any("error", err))
		}
	})
}

// endOrder records that no order to an engine is in progress.
func (c *Commander) endOrder(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, vm)
}

// input returns the models that the commander places and the engines that may hold them.
// It excludes engines that report no maximum number of layers, and engines that serve a
// model which operators place.
func (c *Commander) input(ctx context.Context) (planner.Input, error) {
	active, _ := c.ActiveConfiguration()
	in := planner.Input{Rate: unlimitedRate}
	if c.Weights != nil {
		var err error
		if in.Rate, err = c.Weights.Rate(ctx); err != nil {
			return in, err
		}
	}
	placedModels := map[string]bool{}
	for _, model := range active.Models {
		if model.Stage == 0 {
			continue
		}
		var layerSize int64
		var err error
		if layerSize, err = c.layerSize(ctx, model); err != nil {
			return in, err
		}
		placedModels[model.Name] = true
		in.Models = append(in.Models, planner.Model{Model: model, Stage: model.Stage, Bytes: layerSize})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.Engines() {
		report := engine.Report
		if report.MaxLayers == 0 || report.Role == cowslipproxy.RoleServe && !placedModels[report.Model] {
			continue
		}
		in.Engines = append(in.Engines, c.engine(engine, in.Models))
	}
	return in, nil
}

// engine returns the planner's view of an engine. The layers of an order in progress
// count as held.
func (c *Commander) engine(engine Engine, models []planner.Model) planner.Engine {
	planned := planner.Engine{VM: engine.VM, Centre: engine.Centre, Memory: map[string]int{}}
	for _, model := range models {
		planned.Memory[model.Name] = engine.Report.MaxLayers
	}
	if engine.Report.Role == cowslipproxy.RoleServe {
		planned.Holds = planner.Holding{Model: engine.Report.Model, Version: engine.Report.Version, Range: engine.Report.Range}
	}
	if pending, ok := c.pending[engine.VM]; ok {
		planned.Holds = pending
	}
	return planned
}

// layerSize returns the size of one layer of a model in bytes, or 1 if no weight store is
// set.
func (c *Commander) layerSize(ctx context.Context, model cowslipproxy.Model) (int64, error) {
	if c.Weights == nil {
		return 1, nil
	}
	key := model.Name + "\x00" + model.Version
	if layerSize, ok := c.layerSizes[key]; ok {
		return layerSize, nil
	}
	var layerSize int64
	var err error
	if layerSize, err = c.Weights.Size(ctx, model.Name, model.Version, cowslipproxy.LayerRange{First: 0, End: 1}); err != nil {
		return 0, err
	}
	c.layerSizes[key] = max(layerSize, 1)
	return c.layerSizes[key], nil
}
