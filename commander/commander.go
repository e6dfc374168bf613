// Package commander plans the placement of models and sends the orders to engines
// while this daemon holds the control lease.
package commander

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/holder"
	"github.com/cowslipproxy/cowslipproxy/planner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Stream is the log stream of control leases.
const Stream = "leases"

const (
	planPeriod    = time.Second
	orderTimeout  = 2 * time.Minute // includes the time in which the engine loads weights
	settleTime    = 5 * time.Second // time for engines to connect after the lease is acquired; a plan for only some of them would move too many layers
	unlimitedRate = 1e15            // bytes per second; used if no weight store is set
)

// Engine is an engine as known to this daemon.
type Engine struct {
	VM     string
	Centre string
	Report cowslipproxy.Report
}

// Commander claims the control lease and carries out plans. Its exported fields are
// set before Run.
type Commander struct {
	Lease               *holder.Holder
	ActiveConfiguration func() (cowslipproxy.ActiveConfiguration, bool)
	Engines             func() []Engine // connected engines that may get new work
	Engine              func(name string) (cowslipproxy.Engine, bool)
	Weights             cowslipproxy.WeightStore // nil if loads are not limited
	Clock               func() time.Time
	Logger              *slog.Logger

	planner    planner.Planner
	mu         sync.Mutex
	pending    map[string]planner.Holding // by engine: layers of an order in progress
	layerSizes map[string]int64           // bytes of one layer, by model and version
	group      sync.WaitGroup
}

// Run claims the lease and sends orders until the context ends.
func (c *Commander) Run(ctx context.Context) error {
	c.pending = map[string]planner.Holding{}
	c.layerSizes = map[string]int64{}
	c.group.Go(func() { c.Lease.Follow(ctx) })
	defer c.group.Wait()
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	var leaseStart time.Time // when this daemon acquired the lease
	for {
		select {
		case <-ctx.Done():
			c.Lease.Release()
			return nil
		case <-ticker.C:
		}
		if !c.placesModels() {
			continue
		}
		now := c.Clock()
		c.Lease.Claim(ctx, now)
		if _, holds := c.Lease.Holds(); !holds {
			leaseStart = time.Time{}
			continue
		}
		if leaseStart.IsZero() {
			leaseStart = now
			reporter.EventLeaseTaken.Log(ctx, c.Logger)
		}
		if now.Sub(leaseStart) >= settleTime {
			c.executePlan(ctx, now)
		}
	}
}

// placesModels reports whether any declared model is placed by the commander, not by
// operators.
func (c *Commander) placesModels() bool {
	active, ready := c.ActiveConfiguration()
	if !ready {
		return false
	}
	for _, model := range active.Models {
		if model.Stage > 0 {
			return true
		}
	}
	return false
}
