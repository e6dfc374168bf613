package follower

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

// snapshotTimer says when to append a snapshot. A snapshot is of use until the
// record after its offset expires, so the time counts from that record. All
// daemons draw a random time of at most a third of the retention; the first one
// appends, and the others draw again when they see its snapshot. Times come from
// the log's records, so that restarts of daemons don't put the snapshot off.
type snapshotTimer struct {
	mu        sync.Mutex
	retention time.Duration
	random    Random
	marks     []mark    // sparse times of records, the oldest first
	base      time.Time // of the record after the newest snapshot, else of the oldest record
	due       time.Time // zero while nothing was read
	writing   bool
}

type mark struct {
	offset uint64
	time   time.Time
}

// marksKept bounds the marks: one per sixtieth of the retention.
const marksKept = 60

// read notes the times of records.
func (t *snapshotTimer) read(entries []cowslipproxy.Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		at := entry.Time
		if at.After(now) {
			at = now // the log's clock is ahead
		}
		if n := len(t.marks); n > 0 && at.Sub(t.marks[n-1].time) < t.retention/marksKept {
			continue
		}
		t.marks = append(t.marks, mark{entry.Offset, at})
		if len(t.marks) > marksKept {
			t.marks = t.marks[1:]
		}
	}
	if t.due.IsZero() && len(t.marks) > 0 {
		t.base = t.marks[0].time
		t.draw(now)
	}
}

// seen notes a complete snapshot. One that covers no newer records than the
// snapshot before, as a daemon that was paused appends it, changes nothing.
func (t *snapshotTimer) seen(at uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := sort.Search(len(t.marks), func(i int) bool { return t.marks[i].offset > at+1 })
	if next == 0 || !t.marks[next-1].time.After(t.base) {
		return
	}
	t.base = t.marks[next-1].time
	t.draw(now)
}

func (t *snapshotTimer) draw(now time.Time) {
	third := t.retention / 3
	t.due = t.base.Add(third*2/3 + t.random.below(third/3+1))
	if t.due.Before(now) {
		t.soon(now)
	}
}

func (t *snapshotTimer) soon(now time.Time) {
	t.due = now.Add(t.random.below(t.retention/36 + 1))
}

// take reports whether a snapshot is due, and if so reserves writing it.
func (t *snapshotTimer) take(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writing || t.due.IsZero() || now.Before(t.due) {
		return false
	}
	t.writing = true
	return true
}

// done ends writing. The next attempt follows soon unless the snapshot is seen in the log.
func (t *snapshotTimer) done(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	t.soon(now.Add(t.retention / 36))
}

func (f *Follower) writeSnapshotWhenDue(ctx context.Context, writing *sync.WaitGroup) {
	if _, ready := f.Current(); !ready || !f.timer.take(time.Now()) {
		return
	}
	writing.Go(func() {
		err := f.writeSnapshot(ctx)
		if err != nil && ctx.Err() == nil {
			f.log(ctx, reporter.EventSnapshotFailed, slog.String("error", err.Error()))
		}
		f.timer.done(time.Now())
	})
}

// writeSnapshot appends the state in parts. A part whose answer was lost is
// appended again: readers ignore a part that they hold.
func (f *Follower) writeSnapshot(ctx context.Context) error {
	var parts []resolver.Part
	var err error
	if parts, err = f.Snapshot(); err != nil || len(parts) == 0 {
		return err
	}
	for _, part := range parts {
		var data []byte
		if data, err = resolver.Encode(part); err != nil {
			return err
		}
		if err := appendAgain(ctx, f.Log, data, appendAttempts, f.Random); err != nil {
			return err
		}
	}
	f.log(ctx, reporter.EventSnapshotWritten, slog.Uint64("at", parts[0].At), slog.Int("parts", len(parts)))
	return nil
}

// appendAttempts bounds how often one part of a snapshot is appended.
const appendAttempts = 5

// appendAgain appends a record until an answer comes, at most the given number of times.
func appendAgain(ctx context.Context, log cowslipproxy.Log, data []byte, attempts int, random Random) error {
	pause := backoff{random: random}
	for {
		_, err := log.Append(ctx, cowslipproxy.StreamConfig, data)
		if err == nil {
			return nil
		}
		if attempts--; attempts <= 0 || !pause.wait(ctx) {
			return err
		}
	}
}

func snapshotID(name string) string {
	if name == "" {
		name = "daemon"
	}
	return fmt.Sprintf("%.64s-%016x", name, rand.Uint64())
}
