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
	maxEntry   = 60 << 10 // the log's entries have at most 64 KiB
	maxQueue   = 8 << 20  // bytes that wait for the log, per partition
	longPoll   = 10 * time.Second
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	tolerated  = 2 // failures in a row that don't count as an outage
)

// item is a record that waits for its append.
type item struct {
	record claimer.Record
	data   []byte
	tried  bool
	done   chan struct{} // closed when the record is known to be in the log
}

type recordID struct {
	kind  claimer.Kind
	claim string
}

func (i *item) id() recordID { return recordID{i.record.Kind, i.record.Claim} }

// lane is one partition's stream.
type lane struct {
	committer *Committer
	partition int
	stream    string
	ready     chan struct{} // holds a token when items wait

	mu      sync.Mutex
	items   []*item
	byID    map[recordID]*item
	bytes   int
	folded  chan struct{} // closed at the next fold
	appends run
	reads   run
}

// run counts failures in a row.
type run struct {
	failures int
	until    time.Time // of the next try
}

func (r *run) fail(now time.Time) time.Duration {
	wait := min(minBackoff<<min(r.failures, 10), maxBackoff)
	wait = wait/2 + rand.N(wait/2)
	r.failures++
	r.until = now.Add(wait)
	return wait
}

func newLane(c *Committer, partition int, stream string) *lane {
	return &lane{committer: c, partition: partition, stream: stream, ready: make(chan struct{}, 1), folded: make(chan struct{}), byID: map[recordID]*item{}}
}

// outage returns how long the log is considered out, zero when it works. After
// the backoff one record is let through to find out.
func (l *lane) outage(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	for _, r := range []run{l.appends, l.reads} {
		if r.failures > tolerated {
			wait = max(wait, r.until.Sub(now))
			if len(l.items) > 0 {
				wait = max(wait, time.Second)
			}
		}
	}
	return wait
}

// put queues a record and returns nil when the queue is full.
func (l *lane) put(record claimer.Record) *item {
	var data []byte
	var err error
	if data, err = claimer.Encode(record); err != nil {
		return nil
	}
	it := &item{record: record, data: data, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.byID[it.id()]; old != nil {
		return old
	}
	if l.bytes+len(data) > maxQueue {
		return nil
	}
	l.items = append(l.items, it)
	l.byID[it.id()] = it
	l.bytes += len(data)
	select {
	case l.ready <- struct{}{}:
	default:
	}
	return it
}

// withdraw removes an item and reports whether no append carried it.
func (l *lane) withdraw(it *item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(it)
	return !it.tried
}

func (l *lane) remove(it *item) {
	if l.byID[it.id()] != it {
		return
	}
	delete(l.byID, it.id())
	l.bytes -= len(it.data)
	for i, other := range l.items {
		if other == it {
			l.items = append(l.items[:i], l.items[i+1:]...)
			break
		}
	}
	close(it.done)
}

func (l *lane) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items) > 0
}

// take returns the oldest items that fit into an entry.
func (l *lane) take() []*item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken []*item
	size := 0
	for _, it := range l.items {
		if size += len(it.data) + 1; size > maxEntry && len(taken) > 0 {
			break
		}
		it.tried = true
		taken = append(taken, it)
	}
	return taken
}

// drain appends what waits, one append at a time.
func (l *lane) drain(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ready:
		}
		for l.waiting() {
			if err := l.committer.pacer.Wait(ctx); err != nil {
				return err
			}
			if taken := l.take(); len(taken) > 0 {
				l.append(ctx, taken)
			}
		}
	}
}

// append tries once. After a failure the items stay queued: the reader removes
// those that took effect, and the rest is appended again, which is harmless
// because a repeated record changes nothing.
func (l *lane) append(ctx context.Context, taken []*item) {
	c := l.committer
	records := make([][]byte, len(taken))
	for i, it := range taken {
		records[i] = it.data
	}
	c.counts.appends.Add(1)
	call, cancel := context.WithTimeout(ctx, c.Timeout)
	_, err := c.Log.Append(call, l.stream, claimer.Join(records))
	cancel()
	if err != nil {
		c.counts.failures.Add(1)
		reporter.EventAppendFailed.Log(ctx, c.Logger, slog.String("stream", l.stream), slog.String("error", err.Error()))
		l.mu.Lock()
		wait := l.appends.fail(time.Now())
		l.mu.Unlock()
		pause(ctx, wait, nil)
		return
	}
	c.counts.records.Add(uint64(len(taken)))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appends.failures > tolerated {
		reporter.EventAppendRestored.Log(ctx, c.Logger, slog.String("stream", l.stream))
	}
	l.appends = run{}
	for _, it := range taken {
		l.remove(it)
	}
}

// changed returns a channel that is closed at the next fold.
func (l *lane) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.folded
}

func (l *lane) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.folded)
	l.folded = make(chan struct{})
}

// follow folds the stream from its oldest entry on.
func (l *lane) follow(ctx context.Context) error {
	var next uint64
	var expired time.Time
	for ctx.Err() == nil {
		var batch cowslipproxy.Batch
		var err error
		if batch, err = l.committer.Log.Read(ctx, l.stream, next, longPoll); err != nil {
			l.readFailed(ctx, err)
			continue
		}
		l.mu.Lock()
		l.reads = run{}
		l.mu.Unlock()
		if next > 0 && batch.First > next {
			reporter.EventStreamTruncated.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.Uint64("from", next), slog.Uint64("first", batch.First))
		}
		for _, entry := range batch.Entries {
			if entry.Offset >= next {
				l.fold(ctx, entry)
				next = entry.Offset + 1
			}
		}
		next = max(next, batch.Next)
		if now := time.Now(); now.Sub(expired) > longPoll {
			l.committer.Claimer.Expire(now)
			expired = now
		}
		if len(batch.Entries) == 0 {
			pause(ctx, minBackoff/10, nil) // for logs that don't wait
		}
	}
	return ctx.Err()
}

func (l *lane) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	reporter.EventReadFailed.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.String("error", err.Error()))
	l.mu.Lock()
	wait := l.reads.fail(time.Now())
	l.mu.Unlock()
	pause(ctx, wait, nil)
}

func (l *lane) fold(ctx context.Context, entry cowslipproxy.Entry) {
	var records []claimer.Record
	var err error
	if records, err = claimer.Decode(entry.Data); err != nil {
		reporter.EventEntryMalformed.Log(ctx, l.committer.Logger, slog.String("stream", l.stream), slog.Uint64("offset", entry.Offset), slog.String("error", err.Error()))
	}
	at := entry.Time
	if at.IsZero() && len(records) > 0 {
		at = records[0].Time
	}
	closes := l.committer.Claimer.Fold(time.Now(), l.partition, at, records)
	l.confirm(records)
	l.wake()
	for _, record := range closes {
		l.put(record)
	}
}

// confirm removes queued items that were read, whose append's answer was lost.
func (l *lane) confirm(records []claimer.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		if it := l.byID[recordID{record.Kind, record.Claim}]; it != nil && record.Owner == l.committer.Claimer.Incarnation {
			l.committer.counts.resolved.Add(1) // before the removal, which releases who may read it
			l.remove(it)
		}
	}
}
