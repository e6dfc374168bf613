// Package estimator determines which engines run slower than their profile. A daemon sees
// only the times of whole paths, which several engines share: late streams are evidence
// against the engines of their paths, streams in time are evidence for them, and the
// engine with the most evidence against it is queried for its slowdown. The package starts
// no goroutine and does not read the clock.
package estimator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// SlowThreshold is the slowdown from which an engine counts as slow. At this factor it
	// runs half of the work that its profile promises, so that its usual part of the load
	// makes every stream that crosses it late.
	SlowThreshold = 2.0
	// MaxAge is how long a reported slowdown is used. Another report arrives before that
	// while the engine is slow.
	MaxAge = 2500 * time.Millisecond
	// RefreshAge is the age of a slowdown at which the daemon that refreshes it queries the
	// engine again.
	RefreshAge = 500 * time.Millisecond
	// takeoverAge is the age at which other daemons query the engine too, because the one
	// that refreshes it may be down. Reports take up to 1.4 s to reach all daemons.
	takeoverAge = 2 * time.Second
	// queryInterval is the shortest time between two queries of an engine after late streams.
	queryInterval = time.Second
	// fleetQueries is the number of queries after late streams that all daemons together may
	// make, per second. In an overload all streams are late and no engine is slow.
	fleetQueries = 200.0
	// queryBurst is the time whose queries a daemon may make at once.
	queryBurst = time.Second
	// sweepInterval is the shortest time between two sweeps. The reports that one sweep gets may be
	// from before a fault that slowed many engines at once.
	sweepInterval = 700 * time.Millisecond
	// queriesPerStream is the number of engines that are queried for one late event.
	queriesPerStream = 3
	// evidenceHalfLife is the time after which evidence counts half as much.
	evidenceHalfLife = 500 * time.Millisecond
	// inTimeWeight is what is left of the evidence against an engine after a stream in time.
	inTimeWeight = 0.5
)

// Estimator keeps what a daemon knows of the speed of engines. Its exported fields must be set
// before the first use. It is safe for concurrent use.
type Estimator struct {
	Random *rand.Rand

	mu        sync.Mutex
	engines   map[string]*engine // by incarnation
	daemons   int                // that share fleetQueries
	allowance float64            // queries that this daemon may make now
	allowedAt time.Time          // when allowance was last updated
	slowedAt  time.Time          // when an engine last became slow
	sweptAt   time.Time          // last sweep
}

type engine struct {
	evidence   float64   // late streams that crossed it and are not explained, decayed
	evidenceAt time.Time // when evidence was last updated
	queriedAt  time.Time
	slowdown   float64   // as the engine reported; 0 if it reported none
	measuredAt time.Time // of the report
	wasSlow    bool      // it was slow by some report
}

// isSlow reports whether the engine is known to be slow.
func (e *engine) isSlow(now time.Time) bool {
	return e.slowdown >= SlowThreshold && now.Sub(e.measuredAt) < MaxAge
}

// decayedEvidence returns the evidence at the given time.
func (e *engine) decayedEvidence(now time.Time) float64 {
	return e.evidence * math.Exp2(-now.Sub(e.evidenceAt).Seconds()/evidenceHalfLife.Seconds())
}

// SetDaemons sets how many daemons share the queries after late streams.
func (s *Estimator) SetDaemons(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = count
}

// RecordLate records a stream whose event is late, and returns the engines of its path to query:
// those with the most evidence against them. A path with an engine that is known to be slow is
// explained and adds no evidence.
func (s *Estimator) RecordLate(now time.Time, path []cowslipproxy.Hop) (query []cowslipproxy.Hop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hop := range path {
		if s.engine(hop.Incarnation()).isSlow(now) {
			return nil
		}
	}
	weights := map[string]float64{}
	for _, hop := range path {
		e := s.engine(hop.Incarnation())
		e.evidence, e.evidenceAt = e.decayedEvidence(now)+1, now
		if now.Sub(e.queriedAt) >= queryInterval {
			// The random part decides among engines with equal evidence, so that daemons query different ones.
			weights[hop.Incarnation()] = e.evidence + s.Random.Float64()/2
			query = append(query, hop)
		}
	}
	slices.SortFunc(query, func(a, b cowslipproxy.Hop) int {
		return cmp.Compare(weights[b.Incarnation()], weights[a.Incarnation()])
	})
	query = query[:min(len(query), queriesPerStream, s.allowedQueries(now))]
	for _, hop := range query {
		s.engine(hop.Incarnation()).queriedAt = now
	}
	s.allowance -= float64(len(query))
	return query
}

// allowedQueries returns the number of queries that this daemon may make now. The caller holds the
// lock.
func (s *Estimator) allowedQueries(now time.Time) int {
	rate := fleetQueries / float64(max(s.daemons, 1))
	burst := max(rate*queryBurst.Seconds(), queriesPerStream)
	// Streams that are late at the same time may record it in another order than they read the clock.
	if elapsed := now.Sub(s.allowedAt); elapsed > 0 {
		s.allowance, s.allowedAt = min(s.allowance+rate*elapsed.Seconds(), burst), now
	}
	return int(s.allowance)
}

// RecordInTime records a stream whose events are in time.
func (s *Estimator) RecordInTime(now time.Time, path []cowslipproxy.Hop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hop := range path {
		if e := s.engines[hop.Incarnation()]; e != nil && e.evidence > 0 {
			e.evidence, e.evidenceAt = e.decayedEvidence(now)*inTimeWeight, now
		}
	}
}

// Change is an engine that became slow or recovered.
type Change struct {
	cowslipproxy.EngineSpeed
	Slow     bool
	Evidence float64 // late streams against it, decayed
}

// RecordReport records the slowdown that an engine reported to this daemon. It reports whether
// the engine became slow or recovered.
func (s *Estimator) RecordReport(now time.Time, incarnation string, slowdown float64) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(now, cowslipproxy.EngineSpeed{Incarnation: incarnation, Slowdown: slowdown})
}

// Merge records slowdowns that another daemon knows, and returns the engines that became slow or
// recovered.
func (s *Estimator) Merge(now time.Time, speeds []cowslipproxy.EngineSpeed) (changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, speed := range speeds {
		if change, changed := s.set(now, speed); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// set records a slowdown, unless a newer one is known. The caller holds the lock.
func (s *Estimator) set(now time.Time, speed cowslipproxy.EngineSpeed) (Change, bool) {
	measuredAt := now.Add(-speed.Age)
	e := s.engine(speed.Incarnation)
	if speed.Age >= MaxAge || !measuredAt.After(e.measuredAt) {
		return Change{}, false
	}
	wasSlow := e.isSlow(now)
	e.slowdown, e.measuredAt = speed.Slowdown, measuredAt
	e.wasSlow = e.wasSlow || speed.Slowdown >= SlowThreshold
	change := Change{speed, e.isSlow(now), e.decayedEvidence(now)}
	if change.Slow && !wasSlow {
		s.slowedAt = now
	}
	return change, change.Slow != wasSlow
}

// engine returns the state of an engine, creating it where there is none. The caller holds the lock.
func (s *Estimator) engine(incarnation string) *engine {
	if s.engines == nil {
		s.engines = map[string]*engine{}
	}
	if s.engines[incarnation] == nil {
		s.engines[incarnation] = &engine{}
	}
	return s.engines[incarnation]
}

// Retain forgets all engines but the given incarnations.
func (s *Estimator) Retain(incarnations map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation := range s.engines {
		if !incarnations[incarnation] {
			delete(s.engines, incarnation)
		}
	}
}

// Slowdowns returns the slowdown of each engine that is known to be slow, by incarnation.
func (s *Estimator) Slowdowns(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := map[string]float64{}
	for incarnation, e := range s.engines {
		if e.isSlow(now) {
			slow[incarnation] = e.slowdown
		}
	}
	return slow
}

// Speeds returns the reported slowdowns for other daemons, with those of engines that recovered
// within MaxAge.
func (s *Estimator) Speeds(now time.Time) (speeds []cowslipproxy.EngineSpeed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, e := range s.engines {
		if age := now.Sub(e.measuredAt); e.isKnown(age) {
			speeds = append(speeds, cowslipproxy.EngineSpeed{Incarnation: incarnation, Slowdown: e.slowdown, Age: age})
		}
	}
	return speeds
}

// isKnown reports whether the engine is or was slow and reported its slowdown recently enough.
func (e *engine) isKnown(age time.Duration) bool { return e.wasSlow && age < MaxAge }

// Sweep reports whether all engines must be queried: one became slow since the last sweep, so that
// others may be slow for the same reason.
func (s *Estimator) Sweep(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.slowedAt.After(s.sweptAt) || now.Sub(s.sweptAt) < sweepInterval {
		return false
	}
	s.sweptAt = now
	return true
}

// Refreshes returns the slow engines that this daemon must query again. The function isOwn
// reports whether this daemon refreshes an engine; others take over if its report gets old.
func (s *Estimator) Refreshes(now time.Time, isOwn func(incarnation string) bool) (due []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, e := range s.engines {
		if !e.isSlow(now) || now.Sub(e.queriedAt) < RefreshAge {
			continue
		}
		age := now.Sub(e.measuredAt)
		if age >= takeoverAge || age >= RefreshAge && isOwn(incarnation) {
			e.queriedAt = now
			due = append(due, incarnation)
		}
	}
	return due
}
