package relay

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/estimator"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

// speedInterval is the time between two checks which slow engines must be queried again.
const speedInterval = 100 * time.Millisecond

// speeds keeps what this daemon and others know of the speed of engines. It implements
// relayer.Speeds.
type speeds struct {
	*estimator.Estimator
	daemon *Daemon
}

func (s *speeds) build(d *Daemon) {
	s.daemon, s.Estimator = d, &estimator.Estimator{Random: newRandom()}
}

// RecordLate implements relayer.Speeds.
func (s *speeds) RecordLate(ctx context.Context, now time.Time, path []cowslipproxy.Hop) {
	for _, hop := range s.Estimator.RecordLate(now, path) {
		go s.query(context.WithoutCancel(ctx), cowslipproxy.Instance{ID: hop.Instance, StartedAt: hop.StartedAt, Address: hop.Address})
	}
}

// query asks an engine for its state. RecordReport gets the answer.
func (s *speeds) query(ctx context.Context, engine cowslipproxy.Instance) {
	s.daemon.limits.Charge(ctx, engine.Incarnation())
	state, err := s.daemon.Platform.Engines.State(ctx, engine)
	if err != nil {
		reporter.EventOrderFailed.Log(ctx, s.daemon.Logger, slog.String("engine", engine.ID), slog.Any("error", err))
		return
	}
	s.RecordReport(ctx, s.daemon.Clock(), engine.Incarnation(), state)
}

// RecordReport implements relayer.Speeds.
func (s *speeds) RecordReport(ctx context.Context, now time.Time, incarnation string, state cowslipproxy.EngineState) {
	if state.Slowdown <= 0 {
		return
	}
	if change, changed := s.Estimator.RecordReport(now, incarnation, state.Slowdown); changed {
		s.handleChanges(ctx, now, []estimator.Change{change})
		s.announce(context.WithoutCancel(ctx))
	}
}

// announce sends what this daemon knows to the readers of all data centres, which pass it on with a
// share. Other shares would take up to two intervals.
func (s *speeds) announce(ctx context.Context) {
	d := s.daemon
	now := d.Clock()
	announcement := sharer.Share{From: d.owner.Name, RequestList: true, ListPosition: d.sharing.position(&d.sharing.list), ConfigurationVersion: d.configurationVersion(), Speeds: s.Speeds(now)}
	for _, reader := range d.sharing.readers() {
		if reader.Owner == d.owner {
			d.share(ctx)
			continue
		}
		go func() {
			if _, err := d.exchangeShare(ctx, reader.Peer, announcement); err != nil {
				reporter.EventShareFailed.Log(ctx, d.Logger, slog.String("to", reader.Name), slog.Duration("took", d.Clock().Sub(now)), slog.Bool("complete", false), slog.Any("error", err))
			}
		}()
	}
}

// merge records what another daemon knows, and reports whether an engine became slow or recovered.
func (s *speeds) merge(now time.Time, reported []cowslipproxy.EngineSpeed) (changed bool) {
	changes := s.Merge(now, reported)
	if len(changes) > 0 {
		s.handleChanges(context.Background(), now, changes)
	}
	return len(changes) > 0
}

func (s *speeds) handleChanges(ctx context.Context, now time.Time, changes []estimator.Change) {
	addresses := map[string]netip.AddrPort{}
	for _, instance := range s.daemon.registrar.Instances() {
		addresses[instance.Incarnation()] = instance.Address
	}
	for _, change := range changes {
		reporter.EventEngineSpeedChanged.Log(ctx, s.daemon.Logger, slog.String("upstream", change.Incarnation), slog.Any("address", addresses[change.Incarnation]), slog.Bool("slow", change.Slow),
			slog.Float64("slowdown", change.Slowdown), slog.Duration("age", change.Age), slog.Float64("evidence", change.Evidence))
	}
	s.daemon.pools.setSlowdowns(s.Slowdowns(now))
}

// refresh queries slow engines again until they have recovered.
func (s *speeds) refresh(ctx context.Context) {
	ticker := time.NewTicker(speedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.daemon.Clock()
		s.daemon.pools.setSlowdowns(s.Slowdowns(now))
		if len(s.Slowdowns(now)) > 0 {
			s.refreshEngines(ctx, now)
		}
	}
}

func (s *speeds) refreshEngines(ctx context.Context, now time.Time) {
	engines := map[string]cowslipproxy.Instance{}
	for _, instance := range s.daemon.registrar.Instances() {
		if instance.HasLayers() {
			engines[instance.Incarnation()] = instance
		}
	}
	isOwn := func(incarnation string) bool {
		return s.daemon.sharing.isReaderOf(s.daemon.owner, engines[incarnation].Centre)
	}
	due := s.Refreshes(now, isOwn)
	if s.Sweep(now) {
		due = slices.DeleteFunc(slices.Collect(maps.Keys(engines)), func(incarnation string) bool { return !isOwn(incarnation) })
	}
	for _, incarnation := range due {
		if engine, ok := engines[incarnation]; ok {
			go s.query(ctx, engine)
		}
	}
}

// retain forgets the engines that the list does not have any more.
func (s *speeds) retain(instances []cowslipproxy.Instance) {
	incarnations := map[string]bool{}
	for _, instance := range instances {
		incarnations[instance.Incarnation()] = true
	}
	s.Retain(incarnations)
}

// readers returns the daemons that read the store for their data centres.
func (s *sharing) readers() []cowslipproxy.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sharer.Readers(s.members)
}

// isReaderOf reports whether a daemon reads the store for a data centre.
func (s *sharing) isReaderOf(self cowslipproxy.Owner, centre string) bool {
	for _, reader := range s.readers() {
		if reader.Centre == centre {
			return reader.Owner == self
		}
	}
	return false
}
