package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/estimator"
)

const (
	engineCount   = 93
	pathLength    = 6
	slowFactor    = 12.0
	reportLag     = 300 * time.Millisecond
	streamsPerSec = 230
	step          = 10 * time.Millisecond
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet plays daemons that share streams over random paths. Reports of engines are reportLag old.
type fleet struct {
	random   *rand.Rand
	daemons  []*estimator.Estimator
	slowFrom time.Time
	slowTo   time.Time
	slow     map[string]bool
	lateAll  bool // every stream is late, whatever its path
	queries  int
	knownAt  map[string]time.Time
}

func newFleet(daemons int, seed uint64, slowCount int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), slow: map[string]bool{}, knownAt: map[string]time.Time{}}
	for i := range daemons {
		e := &estimator.Estimator{Random: rand.New(rand.NewPCG(seed, uint64(i)))}
		e.SetDaemons(daemons)
		f.daemons = append(f.daemons, e)
	}
	for _, i := range f.random.Perm(engineCount)[:slowCount] {
		f.slow[hop(i).Incarnation()] = true
	}
	return f
}

func hop(i int) cowslipproxy.Hop {
	return cowslipproxy.Hop{Instance: fmt.Sprintf("engine-%d", i), StartedAt: start}
}

func (f *fleet) isSlow(incarnation string, at time.Time) bool {
	return f.slow[incarnation] && !at.Before(f.slowFrom) && at.Before(f.slowTo)
}

// play runs the fleet for a time. Each daemon merges what any other one learned after one step.
func (f *fleet) play(from time.Time, duration time.Duration) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(step) {
		for range max(streamsPerSec*int(step)/int(time.Second), 1) {
			f.playStream(now)
		}
		f.refresh(now)
		f.exchange(now)
	}
}

func (f *fleet) playStream(now time.Time) {
	var path []cowslipproxy.Hop
	late := f.lateAll
	for _, i := range f.random.Perm(engineCount)[:pathLength] {
		path = append(path, hop(i))
		late = late || f.isSlow(hop(i).Incarnation(), now)
	}
	daemon := f.daemons[f.random.IntN(len(f.daemons))]
	if !late {
		daemon.RecordInTime(now, path)
		return
	}
	for _, queried := range daemon.RecordLate(now, path) {
		f.report(now, daemon, queried.Incarnation())
	}
}

func (f *fleet) report(now time.Time, daemon *estimator.Estimator, incarnation string) {
	f.queries++
	slowdown := 1.0
	if f.isSlow(incarnation, now.Add(-reportLag)) {
		slowdown = slowFactor
	}
	daemon.RecordReport(now, now, incarnation, slowdown)
}

// refresh lets the first daemon query slow engines again and sweep.
func (f *fleet) refresh(now time.Time) {
	for i, daemon := range f.daemons {
		due := daemon.Refreshes(now, func(string) bool { return i == 0 })
		if i == 0 && daemon.Sweep(now) {
			for e := range engineCount {
				due = append(due, hop(e).Incarnation())
			}
		}
		for _, incarnation := range due {
			f.report(now, daemon, incarnation)
		}
	}
}

func (f *fleet) exchange(now time.Time) {
	for i, daemon := range f.daemons {
		speeds := daemon.Speeds(now)
		for j, other := range f.daemons {
			if i != j && len(speeds) > 0 {
				other.Merge(now, speeds)
			}
		}
	}
	for incarnation := range f.daemons[len(f.daemons)-1].Slowdowns(now) {
		if f.knownAt[incarnation].IsZero() {
			f.knownAt[incarnation] = now
		}
	}
}

// Guards against slow engines that keep getting work, and against engines that get none after they
// have recovered: each daemon must know within 1 s after the reports show a slow engine, and within
// 2 s after they show that it is sound.
func TestSlowEnginesAreFoundAndCleared(t *testing.T) {
	for _, daemons := range []int{4, 31, 126} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			f := newFleet(daemons, 7, engineCount/8)
			f.slowFrom, f.slowTo = start.Add(time.Second), start.Add(5*time.Second)
			f.play(start, 5*time.Second)
			require.Len(t, f.knownAt, len(f.slow))
			for incarnation, at := range f.knownAt {
				require.True(t, f.slow[incarnation])
				require.LessOrEqual(t, at.Sub(f.slowFrom), reportLag+time.Second)
			}
			f.play(f.slowTo, reportLag+2*time.Second)
			for _, daemon := range f.daemons {
				require.Empty(t, daemon.Slowdowns(f.slowTo.Add(reportLag+2*time.Second)))
			}
		})
	}
}

// Guards against sound engines that are blamed for an overload, a slow link or a slow daemon, and
// against queries without a bound while every stream is late.
func TestSoundEnginesAreNotBlamed(t *testing.T) {
	const seconds = 3
	for seed := range uint64(200) {
		f := newFleet(4, seed, 0)
		f.lateAll = true
		f.play(start, seconds*time.Second)
		require.Empty(t, f.knownAt)
		require.LessOrEqual(t, f.queries, (seconds+1)*200)
	}
}

// Guards against reports that two daemons send each other for ever, since each transfer makes them
// younger, and against reports that are used for much longer than MaxAge.
func TestReportsDoNotRenewThemselves(t *testing.T) {
	const transfer = 400 * time.Millisecond
	a, b := &estimator.Estimator{Random: rand.New(rand.NewPCG(1, 1))}, &estimator.Estimator{Random: rand.New(rand.NewPCG(1, 2))}
	a.RecordUnusable(start, "a")
	a.RecordReport(start, start, "a", slowFactor)
	b.RecordUnusable(start.Add(transfer), "a")
	b.RecordReport(start.Add(transfer), start.Add(transfer), "a", slowFactor)
	changes, now := 0, start.Add(transfer)
	for range 30 {
		fromA, fromB := a.Speeds(now), b.Speeds(now)
		now = now.Add(transfer)
		changes += len(a.Merge(now, fromB)) + len(b.Merge(now, fromA))
	}
	require.LessOrEqual(t, changes, 4)
	require.Empty(t, a.Slowdowns(start.Add(2*estimator.MaxAge)))
	require.Empty(t, b.Slowdowns(start.Add(2*estimator.MaxAge)))
	require.Empty(t, append(a.Speeds(now), b.Speeds(now)...))
}

// Guards against late streams that are recorded in another order than their times.
func TestLateStreamsMayBeOutOfOrder(t *testing.T) {
	e := &estimator.Estimator{Random: rand.New(rand.NewPCG(1, 1))}
	e.SetDaemons(1000)
	queries := 0
	for i := range 20 {
		queries += len(e.RecordLate(start.Add(-time.Duration(i)*time.Second), []cowslipproxy.Hop{hop(i)}))
	}
	require.LessOrEqual(t, queries, 3)
}

// Guards against a report that outlives its engine or its daemon, and against an older report that
// replaces a newer one.
func TestReportsExpireAndKeepTheirOrder(t *testing.T) {
	e := &estimator.Estimator{Random: rand.New(rand.NewPCG(1, 1))}
	e.RecordReport(start, start, "a", slowFactor)
	require.Empty(t, e.Merge(start.Add(time.Second), []cowslipproxy.EngineReport{{ID: 1, Incarnation: "a", Slowdown: 1, Age: 2 * time.Second}}))
	require.Contains(t, e.Slowdowns(start.Add(time.Second)), "a")
	require.Empty(t, e.Slowdowns(start.Add(estimator.MaxAge)))
	e.RecordReport(start.Add(time.Second), start.Add(time.Second), "a", 1)
	require.Empty(t, e.Slowdowns(start.Add(time.Second)))
	require.Len(t, e.Speeds(start.Add(time.Second)), 1, "others learn that it recovered")
	e.Retain(nil)
	require.Empty(t, e.Speeds(start.Add(time.Second)))
}
