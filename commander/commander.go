// Package commander gives engines their orders, by a plan, while this daemon
// holds the lease for it.
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

// Stream is the log stream of leases.
const Stream = "leases"

const (
	period       = time.Second
	orderTime    = 2 * time.Minute // loading the weights of an engine
	settlePeriod = 5 * time.Second // daemons see engines within this; a plan on fewer would move too much
	freeRate     = 1e15            // bytes per second, when no weight store is set
)

// Engine is an engine as this daemon sees it.
type Engine struct {
	VM     string
	Centre string
	Report cowslipproxy.Report
}

// Commander follows the lease and carries out plans. Its fields are set before Run.
type Commander struct {
	Lease   *holder.Holder
	Settled func() (cowslipproxy.Settled, bool)
	Engines func() []Engine // engines that are connected and get new work
	Engine  func(name string) (cowslipproxy.Engine, bool)
	Weights cowslipproxy.WeightStore // nil when loads are not limited
	Clock   func() time.Time
	Logger  *slog.Logger

	planner planner.Planner
	mu      sync.Mutex
	ordered map[string]planner.Holding // by engine: what it was ordered to hold and still loads
	sizes   map[string]int64           // bytes of one layer by model and version
	group   sync.WaitGroup
}

// Run follows the lease and gives orders until the context ends.
func (c *Commander) Run(ctx context.Context) error {
	c.ordered = map[string]planner.Holding{}
	c.sizes = map[string]int64{}
	c.group.Go(func() { c.Lease.Follow(ctx) })
	defer c.group.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var since time.Time // when this daemon got the lease
	for {
		select {
		case <-ctx.Done():
			c.Lease.Release()
			return nil
		case <-ticker.C:
		}
		if !c.hasWork() {
			continue
		}
		now := c.Clock()
		c.Lease.Claim(ctx, now)
		if _, holds := c.Lease.Holds(); !holds {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = now
			reporter.EventLeaseTaken.Log(ctx, c.Logger)
		}
		if now.Sub(since) >= settlePeriod {
			c.carryOut(ctx, now)
		}
	}
}

// hasWork reports whether a model's placement is left to the system.
func (c *Commander) hasWork() bool {
	settled, ready := c.Settled()
	if !ready {
		return false
	}
	for _, model := range settled.Models {
		if model.Stage > 0 {
			return true
		}
	}
	return false
}
