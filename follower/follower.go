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
	// maxReadWait is the maximum time that a read waits for new records.
	maxReadWait = 2 * time.Second
	// peersTimeout is the timeout of one request for the snapshots of all peers.
	peersTimeout = 2 * time.Second
	// defaultRetention is the log's retention if none is set.
	defaultRetention = 24 * time.Hour
)

// Follower follows the configuration stream of the log. Its exported fields are set
// before Run is called.
type Follower struct {
	Log       cowslipproxy.Log
	Name      string        // of this daemon; the prefix of snapshot ids
	Retention time.Duration // of the log; 0 means 24 h
	// Peers returns the snapshots of other daemons. It is called when this daemon
	// is not ready and the log is unavailable or truncated. Optional.
	Peers func(ctx context.Context) [][]resolver.Part
	// OnChange is called from Run with each configuration that takes effect. Optional.
	OnChange func(cowslipproxy.ActiveConfiguration)
	Logger   *slog.Logger // nil means slog.Default()
	Random   Random       // for backoff and snapshot times; nil means the runtime's

	mu       sync.Mutex
	resolver resolver.Resolver
	current  atomic.Pointer[view]
	timer    snapshotTimer
	lastRead atomic.Int64 // time of the last successful read of the log, in Unix nanoseconds
}

// view is the state that request handlers read without a lock.
type view struct {
	active cowslipproxy.ActiveConfiguration
	ready  bool
}

// Current returns the active configuration and whether the daemon is ready to
// serve requests under it. It takes no lock.
func (f *Follower) Current() (cowslipproxy.ActiveConfiguration, bool) {
	if v := f.current.Load(); v != nil {
		return v.active, v.ready
	}
	return cowslipproxy.ActiveConfiguration{}, false
}

// LastRead returns the time of the last successful read of the log, or the zero time.
func (f *Follower) LastRead() time.Time {
	if at := f.lastRead.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Verdict returns the verdict on a change, if the change was applied and its verdict
// is still stored.
func (f *Follower) Verdict(id string) (resolver.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolver.Verdict(id)
}

// Snapshot returns a snapshot of the state for other daemons. It is empty if no record
// was applied or records are missing.
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
	delay := backoff{random: f.Random}
	down := false
	for ctx.Err() == nil {
		var atEnd bool
		var err error
		if atEnd, err = f.readAndApply(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			f.logFailure(ctx, err, down)
			down = true
			f.loadFromPeers(ctx)
			delay.wait(ctx)
			continue
		}
		if down {
			f.log(ctx, reporter.EventLogUp)
		}
		down = false
		if atEnd && f.hasGap() {
			f.loadFromPeers(ctx)
			delay.wait(ctx)
			continue
		}
		delay.reset()
		f.writeSnapshotIfDue(ctx, &writing)
	}
	return ctx.Err()
}

// readAndApply reads and applies one batch and reports whether the batch was empty.
// The read waits for new records only if the follower is ready.
func (f *Follower) readAndApply(ctx context.Context) (bool, error) {
	f.mu.Lock()
	next, wait := f.resolver.Next(), time.Duration(0)
	if f.resolver.Ready() {
		wait = maxReadWait
	}
	f.mu.Unlock()
	var batch cowslipproxy.Batch
	var err error
	if batch, err = f.Log.Read(ctx, cowslipproxy.StreamConfig, next, wait); err != nil {
		return false, err
	}
	f.lastRead.Store(time.Now().UnixNano())
	return len(batch.Entries) == 0, f.apply(ctx, batch)
}

func (f *Follower) apply(ctx context.Context, batch cowslipproxy.Batch) error {
	now := time.Now()
	f.timer.addEntries(batch.Entries, now)
	f.mu.Lock()
	hadGap := f.resolver.HasGap()
	outcomes, err := f.resolver.Apply(batch, now)
	hasGap := f.resolver.HasGap()
	f.mu.Unlock()
	if hasGap && !hadGap {
		f.log(ctx, reporter.EventLogTruncated, slog.Uint64("first", batch.First))
	}
	changed := false
	for _, outcome := range outcomes {
		f.logOutcome(ctx, outcome)
		if outcome.SnapshotComplete && outcome.Err == nil {
			f.timer.snapshotSeen(outcome.At, now)
		}
		changed = changed || outcome.Changed
	}
	f.updateCurrent(ctx, changed)
	return err
}

// updateCurrent updates the state returned by Current. It calls OnChange if the active
// configuration has changed or the daemon has become ready.
func (f *Follower) updateCurrent(ctx context.Context, changed bool) {
	f.mu.Lock()
	v := &view{active: f.resolver.ActiveConfiguration(), ready: f.resolver.Ready()}
	f.mu.Unlock()
	before := f.current.Swap(v)
	becameReady := before == nil || !before.ready
	if !v.ready || (!changed && !becameReady) {
		return // changes applied before the end of the log is reached take effect together
	}
	f.log(ctx, reporter.EventConfigChanged, slog.Uint64("offset", v.active.Offset))
	if f.OnChange != nil {
		f.OnChange(v.active)
	}
}

func (f *Follower) hasGap() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resolver.HasGap()
}

// loadFromPeers installs the newest valid snapshot of the other daemons if this
// daemon is not ready.
func (f *Follower) loadFromPeers(ctx context.Context) {
	if _, ready := f.Current(); ready || f.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	snapshots := f.Peers(ctx)
	for len(snapshots) > 0 {
		best := newestIndex(snapshots)
		if f.install(ctx, snapshots[best]) {
			return
		}
		snapshots = append(snapshots[:best:best], snapshots[best+1:]...)
	}
}

// newestIndex returns the index of the snapshot that covers the newest records.
func newestIndex(snapshots [][]resolver.Part) int {
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
		f.log(ctx, refusalEvent(err), slog.Uint64("at", parts[0].At), slog.String("snapshot", parts[0].ID), slog.String("error", err.Error()))
		return false
	}
	f.log(ctx, reporter.EventSnapshotLoaded, slog.Uint64("at", parts[0].At), slog.String("snapshot", parts[0].ID))
	f.updateCurrent(ctx, true)
	return true
}

func refusalEvent(err error) reporter.Event {
	if errors.Is(err, resolver.ErrVersionDecrease) {
		return reporter.EventVersionDecrease
	}
	return reporter.EventSnapshotRefused
}

// logFailure logs a failed read. An outage of the log is logged only when it begins.
func (f *Follower) logFailure(ctx context.Context, err error, wasDown bool) {
	if errors.Is(err, resolver.ErrRewound) || errors.Is(err, resolver.ErrGap) {
		f.log(ctx, reporter.EventLogInconsistent, slog.String("error", err.Error()))
		return
	}
	if !wasDown {
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
			return // records read during start-up were logged when they were appended
		}
		f.log(ctx, reporter.EventChangeDecided, append(attrs, slog.String("scope", outcome.Scope), slog.String("verdict", string(outcome.Verdict)))...)
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
