package committer

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// StreamPrefix is the prefix of the names of claims streams.
const StreamPrefix = "claims-"

// Defaults of a Committer.
const (
	DefaultConfirmTimeout = 2 * time.Second
	DefaultCloseTimeout   = time.Second
	DefaultWaitTimeout    = 30 * time.Second
	DefaultAppendTimeout  = time.Second
	// The log handles several hundred appends per second in total; 15 daemons at
	// this rate cause 300.
	DefaultAppendRate = 20 // appends per second
)

// Committer appends claims and outcomes to the log and reads them back. Its fields
// must be set before Run.
type Committer struct {
	Log            cowslipproxy.Log
	Claimer        *claimer.Claimer
	Logger         *slog.Logger
	OwnerGone      func(incarnation string) bool // reports whether a daemon incarnation has certainly ended; may be nil
	ConfirmTimeout time.Duration                 // longest wait until a claim is confirmed
	CloseTimeout   time.Duration                 // longest wait until a close is confirmed
	WaitTimeout    time.Duration                 // longest wait for the outcome of another attempt with the key
	AppendTimeout  time.Duration                 // of an append
	AppendRate     float64                       // appends per second, for all partitions together

	once          sync.Once
	partitionLogs []*partitionLog
	appendLimiter *rate.Limiter
	counts        counts
}

type counts struct{ appends, failures, records, resolved atomic.Uint64 }

// Counts holds counters of appends and records.
type Counts struct {
	Appends  uint64 // started, including failed ones
	Failures uint64
	Records  uint64 // in confirmed appends
	Resolved uint64 // records whose append failed but that were then read from the log
}

// Counts returns the current counters.
func (c *Committer) Counts() Counts {
	return Counts{
		Appends: c.counts.appends.Load(), Failures: c.counts.failures.Load(),
		Records: c.counts.records.Load(), Resolved: c.counts.resolved.Load(),
	}
}

func (c *Committer) init() {
	c.once.Do(func() {
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{{&c.ConfirmTimeout, DefaultConfirmTimeout}, {&c.CloseTimeout, DefaultCloseTimeout}, {&c.WaitTimeout, DefaultWaitTimeout}, {&c.AppendTimeout, DefaultAppendTimeout}} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
		if c.AppendRate == 0 {
			c.AppendRate = DefaultAppendRate
		}
		if c.Logger == nil {
			c.Logger = slog.Default()
		}
		if c.Claimer.Partitions == 0 {
			c.Claimer.Partitions = claimer.DefaultPartitions
		}
		c.appendLimiter = rate.NewLimiter(rate.Limit(c.AppendRate), max(1, int(c.AppendRate)))
		for i := range c.Claimer.Partitions + 1 { // the last one is for keys bound to an incarnation, which use its notifications only
			c.partitionLogs = append(c.partitionLogs, newPartitionLog(c, i, StreamPrefix+strconv.Itoa(i)))
		}
	})
}

// Run reads from and appends to the streams of all partitions until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	c.init()
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range c.partitionLogs[:c.Claimer.Partitions] {
		group.Go(func() error { return l.readLoop(ctx) })
		group.Go(func() error { return l.appendLoop(ctx) })
	}
	return group.Wait()
}

func (c *Committer) partitionLog(attempt claimer.Attempt) *partitionLog {
	c.init()
	if attempt.Key.Incarnation != "" {
		return c.partitionLogs[c.Claimer.Partitions]
	}
	return c.partitionLogs[claimer.Partition(attempt.Customer, attempt.Key.Text, c.Claimer.Partitions)]
}

// Claim decides on an attempt: its verdict is dispatch, forward, answer or failed.
// It waits for the log and for other attempts with the key, both for a limited
// time. After a dispatch verdict the caller must dispatch immediately and then call
// Finish.
func (c *Committer) Claim(ctx context.Context, attempt claimer.Attempt) claimer.Decision {
	l := c.partitionLog(attempt)
	d := c.Claimer.Begin(time.Now(), attempt)
	var queued *queuedRecord
	if d.Verdict == claimer.VerdictAppend {
		if wait := l.outage(time.Now()); wait > 0 {
			c.Claimer.Abandon(time.Now(), attempt, cowslipproxy.ReasonLogUnavailable) // nothing was appended, so no close is needed
			return logUnavailable(wait)
		}
		if queued = l.enqueue(*d.Record); queued == nil {
			c.Claimer.Abandon(time.Now(), attempt, cowslipproxy.ReasonOverloaded)
			return failedDecision(cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the append queue of the log is full").After(time.Second))
		}
	}
	if queued == nil && d.Verdict != claimer.VerdictWait {
		return d
	}
	if d = c.awaitDecision(ctx, l, attempt); d.Verdict != claimer.VerdictPending && d.Verdict != claimer.VerdictWait {
		return c.enqueueRecord(l, d)
	}
	return c.abandon(ctx, l, attempt, queued)
}

// enqueueRecord queues the record that a decision carries.
func (c *Committer) enqueueRecord(l *partitionLog, d claimer.Decision) claimer.Decision {
	if d.Record != nil {
		l.enqueue(*d.Record)
		d.Record = nil
	}
	return d
}

// awaitDecision waits until the attempt is decided, its time limit has passed or ctx
// has ended.
func (c *Committer) awaitDecision(ctx context.Context, l *partitionLog, attempt claimer.Attempt) claimer.Decision {
	start := time.Now()
	for {
		wake := l.nextUpdate()
		d := c.Claimer.Resolve(time.Now(), attempt)
		remaining := c.ConfirmTimeout - time.Since(start)
		switch d.Verdict {
		case claimer.VerdictPending:
		case claimer.VerdictWait:
			remaining = c.WaitTimeout - time.Since(start)
			if c.OwnerGone != nil && c.OwnerGone(d.Owner) {
				return failedDecision(cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "the daemon that claimed the idempotency key is gone"))
			}
			remaining = min(remaining, max(time.Second, c.WaitTimeout/10)) // polls OwnerGone
			if time.Since(start) >= c.WaitTimeout {
				return d
			}
		default:
			return d
		}
		if remaining <= 0 || !sleep(ctx, remaining, wake) {
			return d
		}
	}
}

// abandon ends an attempt that was not decided in time.
func (c *Committer) abandon(ctx context.Context, l *partitionLog, attempt claimer.Attempt, queued *queuedRecord) claimer.Decision {
	reason := cowslipproxy.ReasonLogUnavailable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = cowslipproxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = cowslipproxy.ReasonCancelled
	}
	neverSent := queued == nil || l.dequeue(queued)
	d := c.Claimer.Abandon(time.Now(), attempt, reason)
	if d.Verdict != claimer.VerdictAppend {
		return d
	}
	if neverSent {
		return logUnavailable(time.Second) // no append included the claim
	}
	return c.closeKey(ctx, l, attempt, *d.Record)
}

// closeKey appends a close and waits until the state of the key is read from the log.
// An unconfirmed close is not repeated: if the claim took effect anyway, it is
// withdrawn when it is read; if it was lost, the key can still be used.
func (c *Committer) closeKey(ctx context.Context, l *partitionLog, attempt claimer.Attempt, record claimer.Record) claimer.Decision {
	var queued *queuedRecord
	if queued = l.enqueue(record); queued == nil {
		return logUnavailable(time.Second)
	}
	defer l.dequeue(queued)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.CloseTimeout)
	defer cancel()
	for {
		wake := l.nextUpdate()
		d := c.Claimer.Closed(time.Now(), attempt)
		decided := d.Verdict != claimer.VerdictPending && d.Verdict != claimer.VerdictWait
		if decided || d.Verdict == claimer.VerdictWait && d.Claim != attempt.Claim {
			return c.failIfWaiting(d)
		}
		if !sleep(ctx, c.CloseTimeout, wake) {
			return logUnavailable(l.outage(time.Now()))
		}
	}
}

// failIfWaiting returns the decision, or a failure if the decision is to wait for
// another attempt.
func (c *Committer) failIfWaiting(d claimer.Decision) claimer.Decision {
	if d.Verdict != claimer.VerdictWait {
		return d
	}
	return failedDecision(cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "an earlier request with this idempotency key is still running").After(time.Second))
}

// Refuse decides on an attempt that the daemon refuses by itself, for instance with
// over_limit. It returns the refusal once the key is closed, or the result of an
// earlier attempt with the key.
func (c *Committer) Refuse(ctx context.Context, attempt claimer.Attempt, failure *cowslipproxy.Failure) claimer.Decision {
	l := c.partitionLog(attempt)
	d := c.Claimer.Close(time.Now(), attempt, failure.Reason)
	if d.Verdict != claimer.VerdictAppend {
		return c.failIfWaiting(d)
	}
	if wait := l.outage(time.Now()); wait > 0 {
		return logUnavailable(wait)
	}
	return c.closeKey(ctx, l, attempt, *d.Record)
}

// Finish records the answer of a dispatched attempt and waits until it is in the
// log or ctx ends. In the latter case it is still appended once the log is
// available.
func (c *Committer) Finish(ctx context.Context, attempt claimer.Attempt, answer claimer.Answer) error {
	l := c.partitionLog(attempt)
	record := c.Claimer.Finish(time.Now(), attempt, answer)
	if record == nil {
		l.notify()
		if attempt.Key.Incarnation == "" {
			reporter.EventEffectViolation.Log(ctx, c.Logger, slog.String("claim", attempt.Claim))
		}
		return nil
	}
	queued := l.enqueue(*record)
	if queued == nil {
		c.Claimer.Forget(attempt)
		reporter.EventOutcomeDropped.Log(ctx, c.Logger, slog.String("claim", attempt.Claim))
		return failedDecision(cowslipproxy.Unknown(cowslipproxy.ReasonLogUnavailable, "the append queue of the log is full; the outcome was not recorded")).Failure
	}
	select {
	case <-queued.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func failedDecision(failure *cowslipproxy.Failure) claimer.Decision {
	return claimer.Decision{Verdict: claimer.VerdictFailed, Failure: failure}
}

func logUnavailable(wait time.Duration) claimer.Decision {
	return failedDecision(cowslipproxy.Refuse(cowslipproxy.ReasonLogUnavailable, "the log did not confirm the claim").After(max(wait, time.Second)))
}

// sleep waits until wake is closed or the time has passed. It returns false if ctx
// ends first.
func sleep(ctx context.Context, wait time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
