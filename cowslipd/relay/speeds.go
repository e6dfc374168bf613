package relay

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/estimator"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	// speedInterval is the time between two checks of which slow engines must be queried again.
	speedInterval = 100 * time.Millisecond
	// announceInterval is the time between two announcements of this daemon.
	announceInterval = 100 * time.Millisecond
	// sweepTime is the time over which the queries of a sweep are spread.
	sweepTime = 300 * time.Millisecond
)

// speeds keeps what this daemon and others know of the speed of engines. It implements
// relayer.Speeds.
type speeds struct {
	*estimator.Estimator
	daemon *Daemon

	mu        sync.Mutex
	unsent    []cowslipproxy.EngineReport // that other daemons must get at once
	announced chan struct{}               // has an entry while unsent is not empty
}

func (s *speeds) build(d *Daemon) {
	s.daemon, s.Estimator, s.announced = d, &estimator.Estimator{Random: newRandom()}, make(chan struct{}, 1)
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
	asked := s.daemon.Clock()
	state, err := s.daemon.Platform.Engines.State(ctx, engine)
	if err != nil {
		return // a stream that stalls at the engine has it suspected
	}
	s.RecordReport(ctx, asked, engine.Incarnation(), state)
}

// RecordReport implements relayer.Speeds.
func (s *speeds) RecordReport(ctx context.Context, asked time.Time, incarnation string, state cowslipproxy.EngineState) {
	now := s.daemon.Clock()
	if change, changed := s.recordLeaving(now, incarnation, state); changed {
		s.announce(change.EngineReport)
	}
	if state.Slowdown <= 0 {
		return
	}
	if change, changed := s.Estimator.RecordReport(now, asked, incarnation, state.Slowdown); changed {
		s.handleChanges(ctx, now, []estimator.Change{change})
		s.announce(change.EngineReport)
	}
}

func (s *speeds) recordLeaving(now time.Time, incarnation string, state cowslipproxy.EngineState) (estimator.Change, bool) {
	if !state.Leaving {
		return estimator.Change{}, false
	}
	s.daemon.limits.Leaving(incarnation)
	return s.RecordLeaving(now, incarnation)
}

// RecordUnusable implements relayer.Speeds.
func (s *speeds) RecordUnusable(ctx context.Context, now time.Time, incarnation string) {
	if change, changed := s.Estimator.RecordUnusable(now, incarnation); changed {
		s.handleChanges(ctx, now, []estimator.Change{change})
		s.announce(change.EngineReport)
	}
}

// announce has a report sent to the readers of all data centres.
func (s *speeds) announce(report cowslipproxy.EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = append(s.unsent, report)
	select {
	case s.announced <- struct{}{}:
	default: // an announcement is already due
	}
}

// sendAnnouncements sends reports to the readers of all data centres, which pass them on with a
// share. Other shares would take up to two intervals.
func (s *speeds) sendAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announced:
		}
		s.mu.Lock()
		reports := s.unsent
		s.unsent = nil
		s.mu.Unlock()
		s.sendAnnouncement(ctx, reports)
		waiter.Wait(ctx, announceInterval)
	}
}

func (s *speeds) sendAnnouncement(ctx context.Context, reports []cowslipproxy.EngineReport) {
	d := s.daemon
	// The position keeps the reader from sending its list.
	announcement := sharer.Share{From: d.owner.Name, RequestList: true, ListPosition: math.MaxUint64, ConfigurationVersion: d.configurationVersion(), Speeds: reports}
	start := d.Clock()
	var group sync.WaitGroup
	for _, reader := range d.sharing.readers() {
		if reader.Owner == d.owner {
			d.share(ctx)
			continue
		}
		group.Go(func() {
			if _, err := d.exchangeShare(ctx, reader.Peer, announcement); err != nil {
				reporter.EventShareFailed.Log(ctx, d.Logger, slog.String("to", reader.Name), slog.Duration("took", d.Clock().Sub(start)), slog.Bool("complete", false), slog.Any("error", err))
			}
		})
	}
	group.Wait()
}

// merge records what another daemon knows, and reports whether an engine became slow or recovered.
func (s *speeds) merge(now time.Time, reported []cowslipproxy.EngineReport) (changed bool) {
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
		if change.Leaving {
			s.daemon.limits.Leaving(change.Incarnation)
			continue
		}
		if change.Unusable {
			s.daemon.pools.reportUnusable(now.Add(-change.Age), addresses[change.Incarnation])
			continue
		}
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
		slow := s.Slowdowns(now)
		s.daemon.pools.setSlowdowns(slow)
		if len(slow) > 0 {
			s.refreshEngines(ctx, now)
		}
	}
}

func (s *speeds) refreshEngines(ctx context.Context, now time.Time) {
	isOwnCentre := s.daemon.sharing.ownCentres(s.daemon.owner)
	engines := map[string]cowslipproxy.Instance{}
	var own []cowslipproxy.Instance
	for _, instance := range s.daemon.registrar.Instances() {
		if !instance.HasLayers() {
			continue
		}
		engines[instance.Incarnation()] = instance
		if isOwnCentre(instance.Centre) {
			own = append(own, instance)
		}
	}
	for _, incarnation := range s.Refreshes(now, func(incarnation string) bool { return isOwnCentre(engines[incarnation].Centre) }) {
		if engine, ok := engines[incarnation]; ok {
			go s.query(ctx, engine)
		}
	}
	if s.Sweep(now) {
		go s.sweep(ctx, own)
	}
}

// sweep queries engines one after the other, without waiting for the answers.
func (s *speeds) sweep(ctx context.Context, engines []cowslipproxy.Instance) {
	for _, engine := range engines {
		go s.query(ctx, engine)
		waiter.Wait(ctx, sweepTime/time.Duration(len(engines)))
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

// ownCentres returns a function that reports whether a daemon queries the engines of a data centre: it
// reads the store for it, or it is the first reader and the data centre has none.
func (s *sharing) ownCentres(self cowslipproxy.Owner) func(centre string) bool {
	readers := s.readers()
	return func(centre string) bool {
		i := max(slices.IndexFunc(readers, func(reader cowslipproxy.Member) bool { return reader.Centre == centre }), 0)
		return len(readers) > 0 && readers[i].Owner == self
	}
}
