// Package commander gives engines their orders, by a plan, while this daemon
// holds the lease for it.
package commander

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/leaser"
	"github.com/cowslipproxy/cowslipproxy/planner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Stream is the log stream of leases.
const Stream = "leases"

const (
	period       = time.Second
	longPoll     = 2 * time.Second
	appendTime   = time.Second
	orderTime    = 2 * time.Minute // loading the weights of an engine
	retryWait    = 500 * time.Millisecond
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
	Log     cowslipproxy.Log
	Leaser  *leaser.Leaser
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
	c.group.Go(func() { c.follow(ctx) })
	defer c.group.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var since time.Time // when this daemon got the lease
	for {
		select {
		case <-ctx.Done():
			c.release()
			return nil
		case <-ticker.C:
		}
		if !c.hasWork() {
			continue
		}
		now := c.Clock()
		c.claim(ctx, now)
		if _, holds := c.Leaser.Holds(c.Clock()); !holds {
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

func (c *Commander) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var batch cowslipproxy.Batch
		var err error
		if batch, err = c.Log.Read(ctx, Stream, c.Leaser.Offset(), longPoll); err != nil {
			pause(ctx, retryWait) // while the log is out the lease runs out and no orders are given
			continue
		}
		c.Leaser.Fold(c.Clock(), batch)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// claim takes or renews the lease when that is possible. Its answer may be
// lost: the lease counts once its record was read.
func (c *Commander) claim(ctx context.Context, now time.Time) {
	if now.Before(c.Leaser.Next(now)) {
		return
	}
	record, ok := c.Leaser.Claim(now, uuid.NewString())
	if !ok {
		return
	}
	data, err := json.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTime)
		defer cancel()
		_, err = c.Log.Append(ctx, Stream, data)
	}
	if err != nil {
		reporter.EventLeaseFailed.Log(ctx, c.Logger, slog.Any("error", err))
	}
}

// release lets a successor begin at once after a planned stop.
func (c *Commander) release() {
	record, held := c.Leaser.Release(c.Clock(), uuid.NewString())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTime)
	defer cancel()
	if data, err := json.Marshal(record); err == nil {
		_, _ = c.Log.Append(ctx, Stream, data) // if it is lost, the successor waits the lease out
	}
}
