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
	placePeriod = 250 * time.Millisecond
	// leaseLength lets a successor place lost layers within seconds.
	leaseLength = 4 * time.Second
	// settleTime is how long the list must not change before the first
	// placement, and settleLimit how long that is waited for. All servers
	// register within a heartbeat of about 1.2 s.
	settleTime  = 700 * time.Millisecond
	settleLimit = 3 * time.Second
	// unsureTime is how long an order without an answer may still be carried
	// out before the engine is asked.
	unsureTime = 1500 * time.Millisecond
	// listTime is how long the list may take to show what an engine holds: three
	// heartbeats of 1.2 s.
	listTime = 4 * time.Second
	// restTime is how long an engine keeps its layers before it is moved again.
	restTime = 5 * time.Second
	// loadSlack is added to the time that a load takes before it counts as failed.
	loadSlack = 5 * time.Second
)

// pending is an order that the list doesn't show as carried out yet.
type pending struct {
	layers cowslipproxy.LayerRange
	born   time.Time
	until  time.Time
}

// orders counts the orders that an engine accepted since its start.
type orders struct {
	born  time.Time
	count int
}

// placement is what the holder of the lease remembers of its orders.
type placement struct {
	mu       sync.Mutex
	pending  map[string]pending
	accepted map[string]orders
	rest     map[string]time.Time // until when an engine is not moved again
	version  uint64
	since    time.Time // when the list last changed
	first    time.Time // when engines were first seen
}

func newPlacement() *placement {
	return &placement{pending: map[string]pending{}, accepted: map[string]orders{}, rest: map[string]time.Time{}}
}

// begin remembers an order and returns how many the engine accepted before it.
// A former holder may have given others: then the engine refuses this one and
// is asked for the number.
func (s *placement) begin(engine cowslipproxy.Instance, order pending) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[engine.ID] = order
	known := s.accepted[engine.ID]
	if !known.born.Equal(engine.Born) {
		known = orders{born: engine.Born}
	}
	s.accepted[engine.ID] = orders{born: engine.Born, count: known.count + 1}
	return known.count
}

// placeLayers gives engines their layers while this daemon holds the lease.
func (d *Daemon) placeLayers(ctx context.Context) {
	state := newPlacement()
	ticker := time.NewTicker(placePeriod)
	defer ticker.Stop()
	holds := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.stopping.Load() || !d.listed.Load() || d.matcher.Load() == nil {
			continue
		}
		now := d.Clock()
		if d.sharing.isReader() {
			d.lease.Claim(ctx, now)
		}
		_, held := d.lease.Holds()
		if held && !holds {
			reporter.EventLeaseTaken.Log(ctx, d.Logger)
			state = newPlacement()
		}
		if holds = held; held && state.settled(now, d.registrar.Version()) {
			d.plan(ctx, now, state)
		}
	}
}

// settled reports whether the list is complete enough for a plan.
func (s *placement) settled(now time.Time, version uint64) bool {
	if s.first.IsZero() {
		s.first = now
	}
	if version != s.version {
		s.version, s.since = version, now
	}
	return now.Sub(s.since) >= settleTime || now.Sub(s.first) >= settleLimit
}

func (d *Daemon) plan(ctx context.Context, now time.Time, state *placement) {
	m := d.matcher.Load()
	instances := map[string]cowslipproxy.Instance{}
	for _, service := range m.Engines() {
		var engines []placer.Engine
		for _, instance := range d.registrar.Instances() {
			if instance.Service != service.Name || instance.State != cowslipproxy.VMLive {
				continue
			}
			instances[instance.ID] = instance
			engines = append(engines, state.engine(now, instance))
		}
		loads := max(service.Engine.Loads, 1) - state.loading()
		for _, move := range placer.Plan(*service.Engine, engines, loads) {
			d.order(ctx, now, state, instances[move.ID], move.Range, loadTime(*service.Engine, move.Range))
		}
	}
}

func loadTime(profile cowslipproxy.EngineProfile, layers cowslipproxy.LayerRange) time.Duration {
	return profile.Load * time.Duration(layers.Len()) / time.Duration(max(profile.Layers, 1))
}

// engine returns an engine with the layers that it holds or will hold.
func (s *placement) engine(now time.Time, instance cowslipproxy.Instance) placer.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine := placer.Engine{ID: instance.ID, Centre: instance.Centre, Kind: instance.Kind, Range: instance.Range}
	engine.Fixed = now.Before(s.rest[instance.ID])
	order, ok := s.pending[instance.ID]
	if !ok {
		return engine
	}
	if !instance.Born.Equal(order.born) || now.After(order.until) {
		delete(s.pending, instance.ID)
		return engine
	}
	if instance.Range == order.layers {
		delete(s.pending, instance.ID)
		s.rest[instance.ID] = now.Add(restTime)
		engine.Fixed = true
		return engine
	}
	engine.Range, engine.Fixed = order.layers, true
	return engine
}

// loading returns how many engines carry out orders.
func (s *placement) loading() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// order tells an engine which layers it shall hold. It names the wanted state
// and how many orders the engine must have accepted, so that a repeated or late
// order changes nothing.
func (d *Daemon) order(ctx context.Context, now time.Time, state *placement, engine cowslipproxy.Instance, layers cowslipproxy.LayerRange, load time.Duration) {
	accepted := state.begin(engine, pending{layers: layers, born: engine.Born, until: now.Add(3*load + loadSlack)})
	go func() {
		if _, holds := d.lease.Holds(); !holds {
			return
		}
		err := d.Platform.Engines.Place(ctx, engine, layers, accepted)
		reporter.EventOrder.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.String("order", layers.String()), slog.Int("accepted", accepted))
		if err == nil {
			return
		}
		reporter.EventOrderFailed.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.Any("error", err))
		var conflict *cowslipproxy.ConflictError
		if !errors.As(err, &conflict) && !waiter.Wait(ctx, unsureTime) {
			return
		}
		d.inquire(ctx, state, engine)
	}()
}

// inquire asks an engine for its state after an order that failed or got no
// answer.
func (d *Daemon) inquire(ctx context.Context, state *placement, engine cowslipproxy.Instance) {
	found, err := d.Platform.Engines.State(ctx, engine)
	if err != nil {
		reporter.EventOrderFailed.Log(ctx, d.Logger, slog.String("engine", engine.ID), slog.Any("error", err))
		state.drop(engine)
		return
	}
	state.learn(d.Clock(), engine, found)
}

// drop forgets an order to an engine that doesn't answer.
func (s *placement) drop(engine cowslipproxy.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, engine.ID)
}

// learn takes in what an engine says of itself, which is newer than the list.
func (s *placement) learn(now time.Time, engine cowslipproxy.Instance, found cowslipproxy.EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted[engine.ID] = orders{born: engine.Born, count: found.Sequence}
	delete(s.pending, engine.ID)
	switch {
	case found.Busy: // with an order that isn't known here; the list shows it when it is done
		s.rest[engine.ID] = now.Add(restTime)
	case found.Range.Len() > 0 && found.Range != engine.Range:
		s.pending[engine.ID] = pending{layers: found.Range, born: engine.Born, until: now.Add(listTime)}
	}
}
