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

// StreamPrefix is the start of the names of claims streams.
const StreamPrefix = "claims-"

// Defaults of a Committer.
const (
	DefaultConfirm = 2 * time.Second
	DefaultClose   = time.Second
	DefaultHold    = 30 * time.Second
	DefaultTimeout = time.Second
	// The log takes several hundred appends a second from all daemons: 15
	// daemons at this rate make 300.
	DefaultRate = 20
)

// Committer appends claims and outcomes and follows them. Its fields are set
// before Run.
type Committer struct {
	Log     cowslipproxy.Log
	Claimer *claimer.Claimer
	Logger  *slog.Logger
	Gone    func(incarnation string) bool // reports daemons that provably ended; may be nil
	Confirm time.Duration                 // longest wait for a claim's confirmation
	Close   time.Duration                 // longest wait for a close's confirmation
	Hold    time.Duration                 // longest wait for another send's outcome
	Timeout time.Duration                 // of one append
	Rate    float64                       // appends per second over all partitions

	once   sync.Once
	lanes  []*lane
	pacer  *rate.Limiter
	counts counts
}

type counts struct{ appends, failures, records, resolved atomic.Uint64 }

// Counts counts what went to the log.
type Counts struct {
	Appends  uint64 // tried
	Failures uint64
	Records  uint64 // in appends that were confirmed
	Resolved uint64 // records whose append failed and that were then read
}

// Counts returns the counts so far.
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
		}{{&c.Confirm, DefaultConfirm}, {&c.Close, DefaultClose}, {&c.Hold, DefaultHold}, {&c.Timeout, DefaultTimeout}} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
		if c.Rate == 0 {
			c.Rate = DefaultRate
		}
		if c.Logger == nil {
			c.Logger = slog.Default()
		}
		if c.Claimer.Partitions == 0 {
			c.Claimer.Partitions = claimer.DefaultPartitions
		}
		c.pacer = rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate)))
		for i := range c.Claimer.Partitions + 1 { // the last one is for incarnation keys, which only need its wake-ups
			c.lanes = append(c.lanes, newLane(c, i, StreamPrefix+strconv.Itoa(i)))
		}
	})
}

// Run follows and appends to all partitions until the context ends.
func (c *Committer) Run(ctx context.Context) error {
	c.init()
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range c.lanes[:c.Claimer.Partitions] {
		group.Go(func() error { return l.follow(ctx) })
		group.Go(func() error { return l.drain(ctx) })
	}
	return group.Wait()
}

func (c *Committer) lane(send claimer.Send) *lane {
	c.init()
	if send.Key.Incarnation != "" {
		return c.lanes[c.Claimer.Partitions]
	}
	return c.lanes[claimer.Partition(send.Customer, send.Key.Text, c.Claimer.Partitions)]
}

// Claim returns what a send gets: dispatch, forward, answer or failed. It waits
// for the log and for other sends of the key within bounds. After a dispatch
// verdict the caller dispatches at once and calls Finish.
func (c *Committer) Claim(ctx context.Context, send claimer.Send) claimer.Decision {
	l := c.lane(send)
	d := c.Claimer.Begin(time.Now(), send)
	var it *item
	if d.Verdict == claimer.VerdictAppend {
		if wait := l.outage(time.Now()); wait > 0 {
			c.Claimer.GiveUp(time.Now(), send, cowslipproxy.ReasonLogUnavailable) // nothing was appended, so nothing is to be closed
			return unavailable(wait)
		}
		if it = l.put(*d.Record); it == nil {
			c.Claimer.GiveUp(time.Now(), send, cowslipproxy.ReasonOverloaded)
			return failed(cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the queue for the log is full").After(time.Second))
		}
	}
	if it == nil && d.Verdict != claimer.VerdictWait {
		return d
	}
	if d = c.await(ctx, l, send); d.Verdict != claimer.VerdictPending && d.Verdict != claimer.VerdictWait {
		return c.late(l, d)
	}
	return c.giveUp(ctx, l, send, it)
}

// late appends the close that a decision carries.
func (c *Committer) late(l *lane, d claimer.Decision) claimer.Decision {
	if d.Record != nil {
		l.put(*d.Record)
		d.Record = nil
	}
	return d
}

// await waits until the send is settled, its time has passed or the caller is gone.
func (c *Committer) await(ctx context.Context, l *lane, send claimer.Send) claimer.Decision {
	start := time.Now()
	for {
		wake := l.changed()
		d := c.Claimer.Resolve(time.Now(), send)
		left := c.Confirm - time.Since(start)
		switch d.Verdict {
		case claimer.VerdictPending:
		case claimer.VerdictWait:
			left = c.Hold - time.Since(start)
			if c.Gone != nil && c.Gone(d.Owner) {
				return failed(cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "the daemon that claimed the key is gone"))
			}
			left = min(left, max(time.Second, c.Hold/10)) // asks Gone again
			if time.Since(start) >= c.Hold {
				return d
			}
		default:
			return d
		}
		if left <= 0 || !pause(ctx, left, wake) {
			return d
		}
	}
}

// giveUp ends a send that was neither settled in time nor dispatched.
func (c *Committer) giveUp(ctx context.Context, l *lane, send claimer.Send, it *item) claimer.Decision {
	reason := cowslipproxy.ReasonLogUnavailable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = cowslipproxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = cowslipproxy.ReasonCancelled
	}
	never := it == nil || l.withdraw(it)
	d := c.Claimer.GiveUp(time.Now(), send, reason)
	if d.Verdict != claimer.VerdictAppend {
		return d
	}
	if never {
		return unavailable(time.Second) // no append carried the claim
	}
	return c.closed(ctx, l, send, *d.Record)
}

// closed appends a close and waits until the fold shows the state of the key.
// An unconfirmed close is not repeated: if the claim took effect all the same,
// the fold withdraws it; if it was lost, the key stays of use.
func (c *Committer) closed(ctx context.Context, l *lane, send claimer.Send, record claimer.Record) claimer.Decision {
	var it *item
	if it = l.put(record); it == nil {
		return unavailable(time.Second)
	}
	defer l.withdraw(it)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Close)
	defer cancel()
	for {
		wake := l.changed()
		d := c.Claimer.Closed(time.Now(), send)
		settled := d.Verdict != claimer.VerdictPending && d.Verdict != claimer.VerdictWait
		if settled || d.Verdict == claimer.VerdictWait && d.Claim != send.Claim {
			return c.unfinished(d)
		}
		if !pause(ctx, c.Close, wake) {
			return unavailable(l.outage(time.Now()))
		}
	}
}

func (c *Committer) unfinished(d claimer.Decision) claimer.Decision {
	if d.Verdict != claimer.VerdictWait {
		return d
	}
	return failed(cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "an earlier send of the key still runs").After(time.Second))
}

// Refuse turns a refusal that the daemon decided itself, such as over_limit, into
// what the send gets: the refusal once the key is closed, or what an earlier
// send of the key gets.
func (c *Committer) Refuse(ctx context.Context, send claimer.Send, failure *cowslipproxy.Failure) claimer.Decision {
	l := c.lane(send)
	d := c.Claimer.Close(time.Now(), send, failure.Reason)
	if d.Verdict != claimer.VerdictAppend {
		return c.unfinished(d)
	}
	if wait := l.outage(time.Now()); wait > 0 {
		return unavailable(wait)
	}
	return c.closed(ctx, l, send, *d.Record)
}

// Finish records the answer of a dispatched send and waits until it is in the
// log or the context ends; it is then still appended as soon as the log allows.
func (c *Committer) Finish(ctx context.Context, send claimer.Send, answer claimer.Answer) error {
	l := c.lane(send)
	record := c.Claimer.Finish(time.Now(), send, answer)
	if record == nil {
		l.wake()
		if send.Key.Incarnation == "" {
			reporter.EventEffectViolation.Log(ctx, c.Logger, slog.String("claim", send.Claim))
		}
		return nil
	}
	it := l.put(*record)
	if it == nil {
		c.Claimer.Forget(send)
		reporter.EventOutcomeDropped.Log(ctx, c.Logger, slog.String("claim", send.Claim))
		return failed(cowslipproxy.Unknown(cowslipproxy.ReasonLogUnavailable, "the outcome was not recorded")).Failure
	}
	select {
	case <-it.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func failed(failure *cowslipproxy.Failure) claimer.Decision {
	return claimer.Decision{Verdict: claimer.VerdictFailed, Failure: failure}
}

func unavailable(wait time.Duration) claimer.Decision {
	return failed(cowslipproxy.Refuse(cowslipproxy.ReasonLogUnavailable, "the log can't confirm the claim").After(max(wait, time.Second)))
}

// pause waits for the wake-up or the time and reports whether the context goes on.
func pause(ctx context.Context, wait time.Duration, wake <-chan struct{}) bool {
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
