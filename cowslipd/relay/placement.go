package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/placer"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	placeInterval = 250 * time.Millisecond
	// leaseDuration is the lifetime of the lease. It is short, so that a successor
	// can place lost layers within seconds.
	leaseDuration = 4 * time.Second
	// settleTime is how long the instance list must be unchanged before the first
	// placement. After settleLimit, placement starts in any case. All servers
	// register within a heartbeat interval of about 1.2 s.
	settleTime  = 700 * time.Millisecond
	settleLimit = 3 * time.Second
	// unansweredWait is the delay before an engine that did not answer an order is
	// queried for its state, since it may still execute the order.
	unansweredWait = 1500 * time.Millisecond
	// listDelay is how long the instance list may take to show the layers that an
	// engine reported: three heartbeats of 1.2 s.
	listDelay = 4 * time.Second
	// cooldownTime is how long an engine keeps its layers before it may get other
	// ones.
	cooldownTime = 5 * time.Second
	// loadMargin is added to three times the expected load time. A load that takes
	// longer counts as failed.
	loadMargin = 5 * time.Second
)

// pendingOrder is an order whose result the instance list does not show yet.
type pendingOrder struct {
	layers    cowslipproxy.LayerRange
	startedAt time.Time // start of the engine
	expiresAt time.Time // when the order counts as failed
}

// orderCount is the number of orders that an engine accepted since its start.
type orderCount struct {
	startedAt time.Time // start of the engine
	count     int
}

// placement is the state of the orders that the lease holder has sent.
type placement struct {
	mu            sync.Mutex
	pendingOrders map[string]pendingOrder // by engine, as are the other maps
	accepted      map[string]orderCount
	cooldownUntil map[string]time.Time // end of the time in which an engine keeps its layers
	version       uint64               // latest version of the instance list
	listChanged   time.Time            // last change of the instance list
	firstCheck    time.Time            // first check whether the instance list is stable
}

func newPlacement() *placement {
	return &placement{pendingOrders: map[string]pendingOrder{}, accepted: map[string]orderCount{}, cooldownUntil: map[string]time.Time{}}
}

// recordOrder records an order and returns how many orders the engine is known to
// have accepted before. If a former lease holder sent other orders, the engine
// refuses this one and is then queried for the number.
func (s *placement) recordOrder(engine cowslipproxy.Instance, order pendingOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingOrders[engine.ID] = order
	known := s.accepted[engine.ID]
	if !known.startedAt.Equal(engine.StartedAt) {
		known = orderCount{startedAt: engine.StartedAt}
	}
	s.accepted[engine.ID] = orderCount{startedAt: engine.StartedAt, count: known.count + 1}
	return known.count
}

// placeLayers assigns layers to engines while this daemon holds the lease.
func (d *Daemon) placeLayers(ctx context.Context) {
	state := newPlacement()
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	wasHeld := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.stopping.Load() || !d.listKnown.Load() || d.matcher.Load() == nil {
			continue
		}
		now := d.Clock()
		if d.sharing.isReader() {
			d.lease.Claim(ctx, now)
		}
		_, held := d.lease.Holds()
		if held && !wasHeld {
			reporter.EventLeaseTaken.Log(ctx, d.Logger)
			state = newPlacement()
		}
		if wasHeld = held; held && state.settled(now, d.registrar.Version()) {
			d.plan(ctx, now, state)
		}
	}
}

// settled reports whether the instance list is complete enough for a placement.
func (s *placement) settled(now time.Time, version uint64) bool {
	if s.firstCheck.IsZero() {
		s.firstCheck = now
	}
	if version != s.version {
		s.version, s.listChanged = version, now
	}
	return now.Sub(s.listChanged) >= settleTime || now.Sub(s.firstCheck) >= settleLimit
}

// plan sends the orders that the services with split models need.
func (d *Daemon) plan(ctx context.Context, now time.Time, state *placement) {
	m := d.matcher.Load()
	instances := map[string]cowslipproxy.Instance{}
	for _, service := range m.SplitServices() {
		var engines []placer.Engine
		for _, instance := range d.registrar.Instances() {
			if instance.Service != service.Name || instance.State != cowslipproxy.VMLive {
				continue
			}
			instances[instance.ID] = instance
			engines = append(engines, state.planned(now, instance))
		}
		maxMoves := max(service.Engine.Loads, 1) - state.pendingCount()
		for _, move := range placer.Plan(*service.Engine, engines, maxMoves) {
			d.sendOrder(ctx, now, state, instances[move.ID], move.Range, loadTime(*service.Engine, move.Range))
		}
	}
}

// loadTime returns the expected time to load the layers.
func loadTime(profile cowslipproxy.EngineProfile, layers cowslipproxy.LayerRange) time.Duration {
	return profile.Load * time.Duration(layers.Len()) / time.Duration(max(profile.Layers, 1))
}

// planned returns an engine with the layers that it holds, or that it will hold
// once it has executed its pending order. It deletes a pending order that expired,
// whose engine restarted, or whose result the instance list shows.
func (s *placement) planned(now time.Time, instance cowslipproxy.Instance) placer.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := placer.Engine{ID: instance.ID, Centre: instance.Centre, Kind: instance.Kind, Range: instance.Range}
	planned.Fixed = now.Before(s.cooldownUntil[instance.ID])
	order, ok := s.pendingOrders[instance.ID]
	if !ok {
		return planned
	}
	if !instance.StartedAt.Equal(order.startedAt) || now.After(order.expiresAt) {
		delete(s.pendingOrders, instance.ID)
		return planned
	}
	if instance.Range == order.layers {
		delete(s.pendingOrders, instance.ID)
		s.cooldownUntil[instance.ID] = now.Add(cooldownTime)
		planned.Fixed = true
		return planned
	}
	planned.Range, planned.Fixed = order.layers, true
	return planned
}

// pendingCount returns how many engines have a pending order.
func (s *placement) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingOrders)
}

// sendOrder orders an engine to hold a range of layers. The order contains the
// wanted state and the number of orders that the engine must have accepted, so
// that a repeated or delayed order has no effect.
func (d *Daemon) sendOrder(ctx context.Context, now time.Time, state *placement, engine cowslipproxy.Instance, layers cowslipproxy.LayerRange, load time.Duration) {
	accepted := state.recordOrder(engine, pendingOrder{layers: layers, startedAt: engine.StartedAt, expiresAt: now.Add(3*load + loadMargin)})
	go func() {
		if _, holds := d.lease.Holds(); !holds {
			return
		}
		d.limits.Charge(ctx, engine.Incarnation())
		err := d.Platform.Engines.Place(ctx, engine, layers, accepted)
		reporter.EventOrderSent.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.String("order", layers.String()), slog.Int("accepted", accepted))
		if err == nil {
			return
		}
		reporter.EventOrderFailed.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.Any("error", err))
		var conflict *cowslipproxy.ConflictError
		if !errors.As(err, &conflict) && !waiter.Wait(ctx, unansweredWait) {
			return
		}
		d.queryEngine(ctx, state, engine)
	}()
}

// queryEngine queries an engine for its state after an order that failed or got
// no answer.
func (d *Daemon) queryEngine(ctx context.Context, state *placement, engine cowslipproxy.Instance) {
	d.limits.Charge(ctx, engine.Incarnation())
	reported, err := d.Platform.Engines.State(ctx, engine)
	if err != nil {
		reporter.EventOrderFailed.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.Any("error", err))
		state.drop(engine)
		return
	}
	state.update(d.Clock(), engine, reported)
}

// drop deletes the pending order of an engine that does not answer.
func (s *placement) drop(engine cowslipproxy.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingOrders, engine.ID)
}

// update records the state that an engine reported, which is newer than the
// instance list.
func (s *placement) update(now time.Time, engine cowslipproxy.Instance, reported cowslipproxy.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[engine.ID] = orderCount{startedAt: engine.StartedAt, count: reported.Sequence}
	delete(s.pendingOrders, engine.ID)
	switch {
	case reported.Busy: // executes an order of another holder; the instance list will show its result
		s.cooldownUntil[engine.ID] = now.Add(cooldownTime)
	case reported.Range.Len() > 0 && reported.Range != engine.Range:
		s.pendingOrders[engine.ID] = pendingOrder{layers: reported.Range, startedAt: engine.StartedAt, expiresAt: now.Add(listDelay)}
	}
}
