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
	// fleetQueries is the number of queries after late streams that all daemons together may make, per
	// second, beside the first ones of each daemon. In an overload all streams are late and no
	// engine is slow.
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
	// unusableInterval is the time within which further reports that an engine is unusable are ignored.
	// All daemons notice the same failure at about the same time.
	unusableInterval = 300 * time.Millisecond
	// takeoverQueries is the number of queries that all daemons together make at each check of an engine
	// whose report was not refreshed.
	takeoverQueries = 3.0
	// memoryTime is how long an engine that was slow is remembered. One that is still slow then has not
	// become slow again, so that no sweep follows.
	memoryTime = 10 * time.Second
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
	seen       map[uint64]time.Time // reports that were taken, by id, with the time
	slowdown   float64              // as the engine reported; 0 if it reported none
	measuredAt time.Time            // of the report
	slowAt     time.Time            // of the last report that it is slow
	reportID   uint64               // of the report of its slowdown
	unusableAt time.Time            // when it was last reported as unusable
	unusableID uint64               // of that report
	leavingAt  time.Time            // when it was reported as leaving
	leavingID  uint64               // of that report
}

// isSlow reports whether the engine is known to be slow.
func (e *engine) isSlow(now time.Time) bool {
	return e.slowdown >= SlowThreshold && now.Sub(e.measuredAt) < MaxAge
}

// decayedEvidence returns the evidence at the given time.
func (e *engine) decayedEvidence(now time.Time) float64 {
	return e.evidence * math.Exp2(-max(now.Sub(e.evidenceAt), 0).Seconds()/evidenceHalfLife.Seconds())
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
	if s.allowedAt.IsZero() {
		s.allowance, s.allowedAt = s.Random.Float64()*burst, now
	}
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

// Change is an engine that became slow, recovered, or was reported as unusable or leaving.
type Change struct {
	cowslipproxy.EngineReport
	Slow     bool    // unless Unusable is set
	Evidence float64 // late streams against it, decayed
}

// RecordReport records the slowdown that an engine reported to this daemon, which asked it at the given
// time. It reports whether the engine became slow or recovered.
func (s *Estimator) RecordReport(now, asked time.Time, incarnation string, slowdown float64) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(now, cowslipproxy.EngineReport{ID: s.Random.Uint64(), Incarnation: incarnation, Slowdown: slowdown, Age: max(now.Sub(asked), 0)})
}

// RecordUnusable records that an engine was reported to this daemon as unusable. It reports whether
// this was not known.
func (s *Estimator) RecordUnusable(now time.Time, incarnation string) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(now, cowslipproxy.EngineReport{ID: s.Random.Uint64(), Incarnation: incarnation, Unusable: true})
}

// RecordLeaving records that an engine reported to this daemon that it is leaving. It reports whether
// this was not known.
func (s *Estimator) RecordLeaving(now time.Time, incarnation string) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(now, cowslipproxy.EngineReport{ID: s.Random.Uint64(), Incarnation: incarnation, Leaving: true})
}

// Merge records what another daemon knows, and returns the changes.
func (s *Estimator) Merge(now time.Time, speeds []cowslipproxy.EngineReport) (changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, speed := range speeds {
		if change, changed := s.set(now, speed); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// set records a report, unless it is old or was taken before: a report that two daemons send each other
// would get younger by the time of each transfer. The caller holds the lock.
func (s *Estimator) set(now time.Time, report cowslipproxy.EngineReport) (Change, bool) {
	if report.Age >= MaxAge || !report.Unusable && !report.Leaving && report.Slowdown == 0 {
		return Change{}, false
	}
	e := s.engine(report.Incarnation)
	if e.isSeen(now, report.ID) {
		return Change{}, false
	}
	change := Change{EngineReport: report, Evidence: e.decayedEvidence(now)}
	if report.Unusable {
		return change, e.setUnusable(now.Add(-report.Age), report.ID)
	}
	if report.Leaving {
		isNew := e.leavingAt.IsZero()
		if isNew {
			e.leavingAt, e.leavingID = now.Add(-report.Age), report.ID
		}
		return change, isNew
	}
	reportedAt := now.Add(-report.Age)
	if !reportedAt.After(e.measuredAt) {
		return Change{}, false
	}
	wasSlow := e.isSlow(now)
	e.slowdown, e.measuredAt, e.reportID = report.Slowdown, reportedAt, report.ID
	change.Slow = e.isSlow(now)
	if change.Slow {
		if now.Sub(e.slowAt) > memoryTime {
			s.slowedAt = now
		}
		e.slowAt = reportedAt
	}
	return change, change.Slow != wasSlow
}

// setUnusable records that the engine is unusable, and reports whether that was not known.
func (e *engine) setUnusable(reportedAt time.Time, id uint64) bool {
	if reportedAt.Sub(e.unusableAt) < unusableInterval {
		return false
	}
	e.unusableAt, e.unusableID = reportedAt, id
	return true
}

// isSeen reports whether a report was taken before, and records it.
func (e *engine) isSeen(now time.Time, id uint64) bool {
	if _, ok := e.seen[id]; ok {
		return true
	}
	if e.seen == nil {
		e.seen = map[uint64]time.Time{}
	}
	for other, at := range e.seen {
		if now.Sub(at) > memoryTime {
			delete(e.seen, other)
		}
	}
	e.seen[id] = now
	return false
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

// Speeds returns the reports for other daemons: of engines that are slow or recovered within MaxAge, and
// of those that were reported as unusable or leaving within it.
func (s *Estimator) Speeds(now time.Time) (speeds []cowslipproxy.EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, e := range s.engines {
		if age := max(now.Sub(e.measuredAt), 0); e.isReported(age) {
			speeds = append(speeds, cowslipproxy.EngineReport{ID: e.reportID, Incarnation: incarnation, Slowdown: e.slowdown, Age: age})
		}
		if age := now.Sub(e.leavingAt); age < MaxAge {
			speeds = append(speeds, cowslipproxy.EngineReport{ID: e.leavingID, Incarnation: incarnation, Leaving: true, Age: max(age, 0)})
		}
		if age := now.Sub(e.unusableAt); age < MaxAge {
			speeds = append(speeds, cowslipproxy.EngineReport{ID: e.unusableID, Incarnation: incarnation, Unusable: true, Age: max(age, 0)})
		}
	}
	return speeds
}

// isReported reports whether others need the report of the engine's slowdown, which has the given age:
// the engine is slow, or was until shortly before.
func (e *engine) isReported(age time.Duration) bool {
	return age < MaxAge && (e.slowdown >= SlowThreshold || e.measuredAt.Sub(e.slowAt) < MaxAge+memoryTime)
}

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

// Refreshes returns the slow engines that this daemon must query again. The function isOwn reports
// whether this daemon refreshes an engine; it is called with the lock held. Others take over if the
// report gets old.
func (s *Estimator) Refreshes(now time.Time, isOwn func(incarnation string) bool) (due []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	takeover := takeoverQueries / float64(max(s.daemons, 1))
	for incarnation, e := range s.engines {
		age := now.Sub(e.measuredAt)
		if !e.isSlow(now) || now.Sub(e.queriedAt) < RefreshAge || age < RefreshAge {
			continue
		}
		if isOwn(incarnation) || age >= takeoverAge && s.Random.Float64() < takeover {
			e.queriedAt = now
			due = append(due, incarnation)
		}
	}
	return due
}
