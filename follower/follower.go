package follower

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

const (
	// readWait is how long a read waits for the first record.
	readWait = 2 * time.Second
	// peersTime bounds one round of asking other daemons for their snapshots.
	peersTime = 2 * time.Second
	// defaultRetention is used when the log's retention is not set.
	defaultRetention = 24 * time.Hour
)

// Follower follows the configuration in the log. Fields are set before Run.
type Follower struct {
	Log       cowslipproxy.Log
	Name      string        // of this daemon; snapshot ids start with it
	Retention time.Duration // of the log; 0 means 24 h
	// Peers returns the snapshots of other daemons. It is called when this daemon
	// is not ready and the log can't help. Optional.
	Peers func(ctx context.Context) [][]resolver.Part
	// OnChange is called from Run with each configuration that comes into force. Optional.
	OnChange func(cowslipproxy.Settled)
	Logger   *slog.Logger // nil means slog.Default()
	Random   Random       // of pauses and of the time of snapshots; nil means the runtime's

	mu       sync.Mutex
	resolver resolver.Resolver
	current  atomic.Pointer[view]
	timer    snapshotTimer
	read     atomic.Int64 // when the log was read last, in Unix nanoseconds
}

// view is what readers on the request path see.
type view struct {
	settled cowslipproxy.Settled
	ready   bool
}

// Current returns the configuration in force and whether the daemon may decide
// requests under it. It takes no lock.
func (f *Follower) Current() (cowslipproxy.Settled, bool) {
	if v := f.current.Load(); v != nil {
		return v.settled, v.ready
	}
	return cowslipproxy.Settled{}, false
}

// LastRead returns when the log was read last, or the zero time.
func (f *Follower) LastRead() time.Time {
	if at := f.read.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Verdict returns the verdict on a change, if it was folded and is still remembered.
func (f *Follower) Verdict(id string) (resolver.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolver.Verdict(id)
}

// Snapshot returns the state for other daemons, or nothing when there is none.
func (f *Follower) Snapshot() ([]resolver.Part, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolver.Snapshot(snapshotID(f.Name))
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var writing sync.WaitGroup
	defer writing.Wait()
	f.timer.retention, f.timer.random = f.retention(), f.Random
	pause := backoff{random: f.Random}
	down := false
	for ctx.Err() == nil {
		var atEnd bool
		var err error
		if atEnd, err = f.pull(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			f.logFailure(ctx, err, down)
			down = true
			f.askPeers(ctx)
			pause.wait(ctx)
			continue
		}
		if down {
			f.log(ctx, reporter.EventLogUp)
		}
		down = false
		if atEnd && f.isLost() {
			f.askPeers(ctx)
			pause.wait(ctx)
			continue
		}
		pause.reset()
		f.writeSnapshotWhenDue(ctx, &writing)
	}
	return ctx.Err()
}

// pull reads the log once and reports whether its end was reached. A reader that
// is not ready doesn't wait for new records.
func (f *Follower) pull(ctx context.Context) (bool, error) {
	f.mu.Lock()
	next, wait := f.resolver.Next(), time.Duration(0)
	if f.resolver.Ready() {
		wait = readWait
	}
	f.mu.Unlock()
	var batch cowslipproxy.Batch
	var err error
	if batch, err = f.Log.Read(ctx, cowslipproxy.StreamConfig, next, wait); err != nil {
		return false, err
	}
	f.read.Store(time.Now().UnixNano())
	return len(batch.Entries) == 0, f.fold(ctx, batch)
}

func (f *Follower) fold(ctx context.Context, batch cowslipproxy.Batch) error {
	now := time.Now()
	f.timer.read(batch.Entries, now)
	f.mu.Lock()
	wasLost := f.resolver.HasGap()
	outcomes, err := f.resolver.Apply(batch, now)
	lost := f.resolver.HasGap()
	f.mu.Unlock()
	if lost && !wasLost {
		f.log(ctx, reporter.EventLogTruncated, slog.Uint64("first", batch.First))
	}
	changed := false
	for _, outcome := range outcomes {
		f.logOutcome(ctx, outcome)
		if outcome.SnapshotComplete && outcome.Err == nil {
			f.timer.seen(outcome.At, now)
		}
		changed = changed || outcome.Changed
	}
	f.publish(ctx, changed)
	return err
}

// publish makes the state visible and tells of a change once it is in force.
func (f *Follower) publish(ctx context.Context, changed bool) {
	f.mu.Lock()
	v := &view{settled: f.resolver.Settled(), ready: f.resolver.Ready()}
	f.mu.Unlock()
	before := f.current.Swap(v)
	cameUp := before == nil || !before.ready
	if !v.ready || (!changed && !cameUp) {
		return // the changes that a reader folds on its way to the end come into force together
	}
	f.log(ctx, reporter.EventConfigChanged, slog.Uint64("offset", v.settled.Offset))
	if f.OnChange != nil {
		f.OnChange(v.settled)
	}
}

func (f *Follower) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolver.HasGap()
}

// askPeers loads the newest snapshot of the other daemons if this one is not ready.
func (f *Follower) askPeers(ctx context.Context) {
	if _, ready := f.Current(); ready || f.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peersTime)
	defer cancel()
	snapshots := f.Peers(ctx)
	for len(snapshots) > 0 {
		best := newest(snapshots)
		if f.install(ctx, snapshots[best]) {
			return
		}
		snapshots = append(snapshots[:best:best], snapshots[best+1:]...)
	}
}

func newest(snapshots [][]resolver.Part) int {
	best := 0
	for i, parts := range snapshots {
		if len(parts) == 0 {
			continue
		}
		if len(snapshots[best]) == 0 || parts[0].At > snapshots[best][0].At {
			best = i
		}
	}
	return best
}

func (f *Follower) install(ctx context.Context, parts []resolver.Part) bool {
	if len(parts) == 0 {
		return false
	}
	f.mu.Lock()
	err := f.resolver.Install(parts, time.Now())
	f.mu.Unlock()
	if err != nil {
		f.log(ctx, refusal(err), slog.Uint64("at", parts[0].At), slog.String("snapshot", parts[0].ID), slog.String("error", err.Error()))
		return false
	}
	f.log(ctx, reporter.EventSnapshotLoaded, slog.Uint64("at", parts[0].At), slog.String("snapshot", parts[0].ID))
	f.publish(ctx, true)
	return true
}

func refusal(err error) reporter.Event {
	if errors.Is(err, resolver.ErrVersionDecrease) {
		return reporter.EventVersionDecrease
	}
	return reporter.EventSnapshotRefused
}

func (f *Follower) logFailure(ctx context.Context, err error, down bool) {
	if errors.Is(err, resolver.ErrRewound) || errors.Is(err, resolver.ErrGap) {
		f.log(ctx, reporter.EventLogInconsistent, slog.String("error", err.Error()))
		return
	}
	if !down {
		f.log(ctx, reporter.EventLogDown, slog.String("error", err.Error()))
	}
}

func (f *Follower) logOutcome(ctx context.Context, outcome resolver.Outcome) {
	attrs := []slog.Attr{slog.Uint64("offset", outcome.Offset), slog.String("id", outcome.ID)}
	if outcome.Err != nil {
		attrs = append(attrs, slog.String("error", outcome.Err.Error()))
	}
	switch {
	case errors.Is(outcome.Err, resolver.ErrVersionDecrease):
		f.log(ctx, reporter.EventVersionDecrease, attrs...)
	case outcome.Verdict != "":
		if _, ready := f.Current(); !ready {
			return // history that is folded at the start was reported when it came
		}
		f.log(ctx, reporter.EventChangeJudged, append(attrs, slog.String("scope", outcome.Scope), slog.String("verdict", string(outcome.Verdict)))...)
	case outcome.SnapshotLoaded:
		f.log(ctx, reporter.EventSnapshotLoaded, append(attrs, slog.Uint64("at", outcome.At))...)
	case outcome.SnapshotComplete && outcome.Err != nil:
		f.log(ctx, reporter.EventSnapshotRefused, append(attrs, slog.Uint64("at", outcome.At))...)
	case outcome.Err != nil:
		f.log(ctx, reporter.EventRecordIgnored, attrs...)
	}
}

func (f *Follower) log(ctx context.Context, event reporter.Event, attrs ...slog.Attr) {
	logger := f.Logger
	if logger == nil {
		logger = slog.Default()
	}
	event.Log(ctx, logger, attrs...)
}

func (f *Follower) retention() time.Duration {
	if f.Retention == 0 {
		return defaultRetention
	}
	return f.Retention
}
