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

// snapshotTimer schedules the snapshots that this daemon appends to the log. A
// snapshot is usable until the record after its offset expires, so its age is
// measured from that record. Each daemon picks a random delay between 2/9 and 1/3 of
// the retention. The daemon with the shortest delay appends a snapshot, and the others
// reschedule when they read it. Times are those of the log's records, so that restarts
// of daemons don't delay the snapshot.
type snapshotTimer struct {
	mu          sync.Mutex
	retention   time.Duration
	random      Random
	recordTimes []recordTime // sampled times of records, oldest first
	base        time.Time    // start of the delay: time of the record after the newest snapshot, or of the oldest record
	dueAt       time.Time    // zero until a record is read
	writing     bool
}

type recordTime struct {
	offset uint64
	time   time.Time
}

// maxRecordTimes is the maximum number of sampled record times: one per sixtieth of
// the retention.
const maxRecordTimes = 60

// addEntries samples the times of records.
func (t *snapshotTimer) addEntries(entries []cowslipproxy.Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		at := entry.Time
		if at.After(now) {
			at = now // the log's clock is ahead of the local clock
		}
		if n := len(t.recordTimes); n > 0 && at.Sub(t.recordTimes[n-1].time) < t.retention/maxRecordTimes {
			continue
		}
		t.recordTimes = append(t.recordTimes, recordTime{entry.Offset, at})
		if len(t.recordTimes) > maxRecordTimes {
			t.recordTimes = t.recordTimes[1:]
		}
	}
	if t.dueAt.IsZero() && len(t.recordTimes) > 0 {
		t.base = t.recordTimes[0].time
		t.schedule(now)
	}
}

// snapshotSeen reschedules after a complete snapshot was read. A snapshot that covers
// no newer records than the previous one is ignored; a daemon that was paused may
// append one.
func (t *snapshotTimer) snapshotSeen(snapshotOffset uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := sort.Search(len(t.recordTimes), func(i int) bool { return t.recordTimes[i].offset > snapshotOffset+1 })
	if next == 0 || !t.recordTimes[next-1].time.After(t.base) {
		return
	}
	t.base = t.recordTimes[next-1].time
	t.schedule(now)
}

func (t *snapshotTimer) schedule(now time.Time) {
	third := t.retention / 3
	t.dueAt = t.base.Add(third*2/3 + t.random.below(third/3+1))
	if t.dueAt.Before(now) {
		t.scheduleSoon(now)
	}
}

func (t *snapshotTimer) scheduleSoon(now time.Time) {
	t.dueAt = now.Add(t.random.below(t.retention/36 + 1))
}

// reserve reports whether a snapshot is due. If so, it returns false from then on until
// release is called.
func (t *snapshotTimer) reserve(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writing || t.dueAt.IsZero() || now.Before(t.dueAt) {
		return false
	}
	t.writing = true
	return true
}

// release ends the write of a snapshot. It schedules another write soon, in case this
// one failed. If the snapshot is read from the log afterwards, snapshotSeen postpones it.
func (t *snapshotTimer) release(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	t.scheduleSoon(now.Add(t.retention / 36))
}

func (f *Follower) writeSnapshotIfDue(ctx context.Context, writing *sync.WaitGroup) {
	if _, ready := f.Current(); !ready || !f.timer.reserve(time.Now()) {
		return
	}
	writing.Go(func() {
		err := f.writeSnapshot(ctx)
		if err != nil && ctx.Err() == nil {
			f.log(ctx, reporter.EventSnapshotFailed, slog.String("error", err.Error()))
		}
		f.timer.release(time.Now())
	})
}

// writeSnapshot appends a snapshot in parts. A part is appended again if the response
// was lost: readers ignore duplicate parts.
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
		if err := appendWithRetry(ctx, f.Log, data, maxAppendAttempts, f.Random); err != nil {
			return err
		}
	}
	f.log(ctx, reporter.EventSnapshotWritten, slog.Uint64("at", parts[0].At), slog.Int("parts", len(parts)))
	return nil
}

// maxAppendAttempts is the maximum number of attempts to append a part of a snapshot.
const maxAppendAttempts = 5

// appendWithRetry appends a record. It retries on errors, up to the given number of
// attempts.
func appendWithRetry(ctx context.Context, log cowslipproxy.Log, data []byte, attempts int, random Random) error {
	delay := backoff{random: random}
	for {
		_, err := log.Append(ctx, cowslipproxy.StreamConfig, data)
		if err == nil {
			return nil
		}
		if attempts--; attempts <= 0 || !delay.wait(ctx) {
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
