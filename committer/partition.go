package committer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	maxEntryBytes     = 60 << 10 // entries of the log are limited to 64 KiB
	maxQueueBytes     = 8 << 20  // of the queued records of a partition
	pollTimeout       = 10 * time.Second
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	toleratedFailures = 2 // consecutive failures that are not yet an outage
)

// queuedRecord is a record that waits to be appended.
type queuedRecord struct {
	record claimer.Record
	data   []byte
	sent   bool          // included in an append
	done   chan struct{} // closed when the record leaves the queue: it was found in the log, or its attempt no longer waits for it
}

type recordID struct {
	kind  claimer.Kind
	claim string
}

func (q *queuedRecord) id() recordID { return recordID{q.record.Kind, q.record.Claim} }

// partitionLog appends to and reads from the stream of a partition.
type partitionLog struct {
	committer *Committer
	partition int
	stream    string
	ready     chan struct{} // wakes appendLoop when records are queued

	mu      sync.Mutex
	queue   []*queuedRecord // the oldest first
	byID    map[recordID]*queuedRecord
	bytes   int           // size of the queued records
	updated chan struct{} // closed when the next log entry is applied
	appends failureStreak
	reads   failureStreak
}

// failureStreak counts consecutive failures.
type failureStreak struct {
	failures int
	retryAt  time.Time // earliest time of the next call
}

// fail records a failure and returns the backoff before the next call.
func (s *failureStreak) fail(now time.Time) time.Duration {
	wait := min(minBackoff<<min(s.failures, 10), maxBackoff)
	wait = wait/2 + rand.N(wait/2)
	s.failures++
	s.retryAt = now.Add(wait)
	return wait
}

func newPartitionLog(c *Committer, partition int, stream string) *partitionLog {
	return &partitionLog{committer: c, partition: partition, stream: stream, ready: make(chan struct{}, 1), updated: make(chan struct{}), byID: map[recordID]*queuedRecord{}}
}

// outage returns how long the log is considered unavailable, or zero if it is
// available. After the backoff, one record is accepted as a probe.
func (l *partitionLog) outage(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	for _, streak := range []failureStreak{l.appends, l.reads} {
		if streak.failures > toleratedFailures {
			wait = max(wait, streak.retryAt.Sub(now))
			if len(l.queue) > 0 {
				wait = max(wait, time.Second)
			}
		}
	}
	return wait
}

// enqueue queues a record. It returns nil if the queue is full.
func (l *partitionLog) enqueue(record claimer.Record) *queuedRecord {
	var data []byte
	var err error
	if data, err = claimer.Encode(record); err != nil {
		return nil
	}
	queued := &queuedRecord{record: record, data: data, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.byID[queued.id()]; old != nil {
		return old
	}
	if l.bytes+len(data) > maxQueueBytes {
		return nil
	}
	l.queue = append(l.queue, queued)
	l.byID[queued.id()] = queued
	l.bytes += len(data)
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return queued
}

// dequeue removes a record and reports whether no append has included it.
func (l *partitionLog) dequeue(queued *queuedRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(queued)
	return !queued.sent
}

func (l *partitionLog) remove(queued *queuedRecord) {
	if l.byID[queued.id()] != queued {
		return
	}
	delete(l.byID, queued.id())
	l.bytes -= len(queued.data)
	for i, other := range l.queue {
		if other == queued {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	close(queued.done)
}

func (l *partitionLog) hasQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}

// nextBatch returns the oldest records that fit into one log entry.
func (l *partitionLog) nextBatch() []*queuedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []*queuedRecord
	size := 0
	for _, queued := range l.queue {
		if size += len(queued.data) + 1; size > maxEntryBytes && len(batch) > 0 {
			break
		}
		queued.sent = true
		batch = append(batch, queued)
	}
	return batch
}

// appendLoop appends queued records, one append at a time.
func (l *partitionLog) appendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ready:
		}
		for l.hasQueued() {
			if err := l.committer.appendLimiter.Wait(ctx); err != nil {
				return err
			}
			if batch := l.nextBatch(); len(batch) > 0 {
				l.append(ctx, batch)
			}
		}
	}
}

// append tries once to append a batch as a log entry. After a failure the records
// stay queued: the reader removes those that reached the log, and the others are
// appended again. Duplicates are harmless, because a repeated record has no effect.
func (l *partitionLog) append(ctx context.Context, batch []*queuedRecord) {
	c := l.committer
	records := make([][]byte, len(batch))
	for i, queued := range batch {
		records[i] = queued.data
	}
	c.counts.appends.Add(1)
	appendCtx, cancel := context.WithTimeout(ctx, c.AppendTimeout)
	_, err := c.Log.Append(appendCtx, l.stream, claimer.Join(records))
	cancel()
	if err != nil {
		c.counts.failures.Add(1)
		reporter.EventAppendFailed.Log(ctx, c.Logger, slog.String("stream", l.stream), slog.String("error", err.Error()))
		l.mu.Lock()
		wait := l.appends.fail(time.Now())
		l.mu.Unlock()
		sleep(ctx, wait, nil)
		return
	}
	c.counts.records.Add(uint64(len(batch)))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appends.failures > toleratedFailures {
		reporter.EventAppendRestored.Log(ctx, c.Logger, slog.String("stream", l.stream))
	}
	l.appends = failureStreak{}
	for _, queued := range batch {
		l.remove(queued)
	}
}

// nextUpdate returns a channel that is closed when the next log entry is applied.
func (l *partitionLog) nextUpdate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updated
}

func (l *partitionLog) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.updated)
	l.updated = make(chan struct{})
}

// readLoop reads and applies the stream from its oldest entry on.
func (l *partitionLog) readLoop(ctx context.Context) error {
	var next uint64
	var lastExpiry time.Time
	for ctx.Err() == nil {
		var batch cowslipproxy.Batch
		var err error
		if batch, err = l.committer.Log.Read(ctx, l.stream, next, pollTimeout); err != nil {
			l.handleReadError(ctx, err)
			continue
		}
		l.mu.Lock()
		l.reads = failureStreak{}
		l.mu.Unlock()
		if next > 0 && batch.First > next {
			reporter.EventStreamTruncated.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.Uint64("from", next), slog.Uint64("first", batch.First))
		}
		for _, entry := range batch.Entries {
			if entry.Offset >= next {
				l.apply(ctx, entry)
				next = entry.Offset + 1
			}
		}
		next = max(next, batch.Next)
		if now := time.Now(); now.Sub(lastExpiry) > pollTimeout {
			l.committer.Claimer.Expire(now)
			lastExpiry = now
		}
		if len(batch.Entries) == 0 {
			sleep(ctx, minBackoff/10, nil) // limits the rate of polls if the log returns without waiting
		}
	}
	return ctx.Err()
}

func (l *partitionLog) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	reporter.EventReadFailed.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.String("error", err.Error()))
	l.mu.Lock()
	wait := l.reads.fail(time.Now())
	l.mu.Unlock()
	sleep(ctx, wait, nil)
}

func (l *partitionLog) apply(ctx context.Context, entry cowslipproxy.Entry) {
	var records []claimer.Record
	var err error
	if records, err = claimer.Decode(entry.Data); err != nil {
		reporter.EventEntryMalformed.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.Uint64("offset", entry.Offset), slog.String("error", err.Error()))
	}
	timestamp := entry.Time
	if timestamp.IsZero() && len(records) > 0 {
		timestamp = records[0].Time
	}
	outcomes := l.committer.Claimer.Apply(time.Now(), l.partition, timestamp, records)
	l.confirmRead(records)
	l.notify()
	for _, record := range outcomes {
		l.enqueue(record)
	}
}

// confirmRead removes queued records that were read from the log. They are still
// queued if the reply to their append was lost.
func (l *partitionLog) confirmRead(records []claimer.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		if queued := l.byID[recordID{record.Kind, record.Claim}]; queued != nil && record.Owner == l.committer.Claimer.Incarnation {
			l.committer.counts.resolved.Add(1) // before the removal, since this unblocks goroutines that may read the counter
			l.remove(queued)
		}
	}
}
