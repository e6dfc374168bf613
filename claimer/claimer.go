package claimer

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Send is one send of a request under a key.
type Send struct {
	Claim    string // id of this send, unique over all daemons
	Customer string
	Key      Key
	Digest   string
}

// Verdict says what a send gets.
type Verdict string

// Verdicts on sends.
const (
	VerdictAppend   Verdict = "append"   // append Record, then ask Resolve
	VerdictDispatch Verdict = "dispatch" // dispatch now, then call Finish
	VerdictPending  Verdict = "pending"  // the send's own claim isn't folded: ask Resolve again after the next fold
	VerdictWait     Verdict = "wait"     // another send's claim counts: ask Resolve again after the next fold
	VerdictAnswer   Verdict = "answer"   // replay Answer
	VerdictFailed   Verdict = "failed"   // return Failure
	VerdictForward  Verdict = "forward"  // send to the incarnation Owner
)

// Decision is the verdict on a send with what it needs.
type Decision struct {
	Verdict Verdict
	Owner   string // incarnation whose claim counts
	Claim   string // the claim that counts
	Record  *Record
	Answer  *Answer
	Failure *cowslipproxy.Failure
}

// Counts counts decisions and broken invariants.
type Counts struct {
	Dispatched uint64
	Refused    uint64
	Violations uint64 // second dispatches of a claim and refusals of dispatched claims, all prevented
	Keys       int    // remembered keys
	Bytes      int    // recorded bodies in memory
}

// Defaults of a Claimer.
const (
	DefaultPartitions = 4
	DefaultRetention  = 24 * time.Hour
	DefaultKeys       = 300_000  // about 110 MB, see docs/effects.md
	DefaultBytes      = 32 << 20 // recorded bodies
)

// Claimer holds the state of all keys. Its fields are set before the first use.
type Claimer struct {
	Incarnation string // of this daemon
	Partitions  int
	Retention   time.Duration // of the log
	Keys        int           // at so many remembered keys new ones are refused
	Bytes       int           // of recorded bodies kept in memory

	once   sync.Once
	mu     sync.Mutex
	tables []*table // one for each partition, the last one for incarnation keys
	own    map[string]*own
	counts Counts
}

// own is a claim of this daemon. A claim that has none is never dispatched.
type own struct {
	send  Send
	table *table
	since time.Time
	stage stage
	seen  bool // folded
}

type stage string

const (
	stagePending    stage = "pending"
	stageDispatched stage = "dispatched"
	stageFinished   stage = "finished" // its outcome isn't folded yet
)

func (c *Claimer) init() {
	c.once.Do(func() {
		if c.Partitions == 0 {
			c.Partitions = DefaultPartitions
		}
		if c.Retention == 0 {
			c.Retention = DefaultRetention
		}
		if c.Keys == 0 {
			c.Keys = DefaultKeys
		}
		if c.Bytes == 0 {
			c.Bytes = DefaultBytes
		}
		c.own = map[string]*own{}
		for range c.Partitions + 1 {
			c.tables = append(c.tables, newTable(c.Retention, c.Bytes/(c.Partitions+1)))
		}
	})
}

func (c *Claimer) lock() func() {
	c.init()
	c.mu.Lock()
	return c.mu.Unlock
}

// Window returns the time after its claim within which an owner may dispatch.
func (c *Claimer) Window() time.Duration {
	c.init()
	return c.Retention / 20
}

// Counts returns the counts so far.
func (c *Claimer) Counts() Counts {
	defer c.lock()()
	counts := c.counts
	for _, t := range c.tables {
		counts.Keys += len(t.keys)
		counts.Bytes += t.bytes
	}
	return counts
}

// Begin decides on a new send. After VerdictAppend the send is registered until
// Resolve settles it or GiveUp ends it.
func (c *Claimer) Begin(now time.Time, send Send) Decision {
	defer c.lock()()
	if send.Key.Incarnation != "" {
		return c.beginIncarnation(now, send)
	}
	if made, ok := send.Key.MadeAt(); ok && now.Sub(made) > remembered(c.Retention) {
		return c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonKeyExpired, "the key was made at %v and is remembered for %v", made.UTC(), remembered(c.Retention)))
	}
	t := c.tables[Partition(send.Customer, send.Key.Text, c.Partitions)]
	if s := t.find(send, now); s != nil && !s.free() {
		return c.settled(send, s)
	}
	if c.full() {
		return c.fail(tooMany())
	}
	c.own[send.Claim] = &own{send: send, table: t, since: now, stage: stagePending}
	return Decision{Verdict: VerdictAppend, Owner: c.Incarnation, Record: c.record(KindClaim, send, now)}
}

func (c *Claimer) beginIncarnation(now time.Time, send Send) Decision {
	if send.Key.Incarnation != c.Incarnation {
		return Decision{Verdict: VerdictForward, Owner: send.Key.Incarnation}
	}
	t := c.tables[c.Partitions]
	t.expire(now)
	if s := t.find(send, now); s != nil && !s.free() {
		return c.settled(send, s)
	}
	if c.full() {
		return c.fail(tooMany())
	}
	t.fold(now, *c.record(KindClaim, send, now))
	c.own[send.Claim] = &own{send: send, table: t, since: now, stage: stageDispatched, seen: true}
	c.counts.Dispatched++
	return Decision{Verdict: VerdictDispatch, Owner: c.Incarnation}
}

func tooMany() *cowslipproxy.Failure {
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "too many keys are remembered").After(time.Minute)
}

func (c *Claimer) full() bool {
	keys := len(c.own)
	for _, t := range c.tables {
		keys += len(t.keys)
	}
	return keys >= c.Keys
}

func (c *Claimer) record(kind Kind, send Send, now time.Time) *Record {
	record := &Record{Kind: kind, Key: send.Key.Text, Customer: send.Customer, Owner: c.Incarnation, Claim: send.Claim, Time: now}
	if kind == KindClaim {
		record.Digest = send.Digest
	}
	return record
}

func (c *Claimer) fail(failure *cowslipproxy.Failure) Decision {
	if failure.Outcome == cowslipproxy.OutcomeRefused {
		c.counts.Refused++
	}
	return Decision{Verdict: VerdictFailed, Failure: failure}
}

// settled returns what a send gets that found the key claimed or closed.
func (c *Claimer) settled(send Send, s *state) Decision {
	if s.digest != "" && s.digest != digestOf(send) {
		return c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonKeyReused, "the key was used for a request with another method, path or body"))
	}
	if s.answer == nil {
		return Decision{Verdict: VerdictWait, Owner: s.owner, Claim: s.claim}
	}
	if failure := s.answer.Failure(); failure != nil {
		return c.fail(failure)
	}
	return Decision{Verdict: VerdictAnswer, Owner: s.owner, Answer: s.answer}
}

// Resolve decides again on a send, after a fold. It is asked right before the
// dispatch: VerdictDispatch is given once for a claim. A failed decision may
// come with a record to append.
func (c *Claimer) Resolve(now time.Time, send Send) Decision {
	defer c.lock()()
	mine := c.own[send.Claim]
	if mine == nil {
		return c.watch(now, send)
	}
	if mine.stage != stagePending {
		c.counts.Violations++
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "claim %s was decided before", send.Claim))
	}
	s := mine.table.find(send, now)
	switch {
	case s == nil, s.free() && !mine.seen:
		return Decision{Verdict: VerdictPending, Owner: c.Incarnation}
	case s.claim != send.Claim, s.answer != nil:
		delete(c.own, send.Claim)
		return c.settled(send, s)
	case now.Sub(mine.since) > c.Retention/20:
		delete(c.own, send.Claim)
		late := c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonLogUnavailable, "the claim was confirmed too late").After(time.Second))
		late.Record = c.withdrawal(now, send)
		return late
	}
	mine.stage = stageDispatched
	c.counts.Dispatched++
	return Decision{Verdict: VerdictDispatch, Owner: c.Incarnation}
}

// watch decides on a send that waits for another send's claim.
func (c *Claimer) watch(now time.Time, send Send) Decision {
	s := c.table(send).find(send, now)
	if s == nil {
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonKeyExpired, "the key is no longer remembered"))
	}
	return c.settled(send, s)
}

func (c *Claimer) table(send Send) *table {
	if send.Key.Incarnation != "" {
		return c.tables[c.Partitions]
	}
	return c.tables[Partition(send.Customer, send.Key.Text, c.Partitions)]
}

// GiveUp ends a send that was not dispatched; from then on this daemon never
// dispatches it. After VerdictAppend its claim may be in the log: append Record,
// then ask Closed. Otherwise another send's claim counts.
func (c *Claimer) GiveUp(now time.Time, send Send, reason cowslipproxy.Reason) Decision {
	defer c.lock()()
	mine := c.own[send.Claim]
	if mine == nil {
		if d := c.watch(now, send); d.Verdict != VerdictWait {
			return d
		}
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "an earlier send of the key still runs").After(time.Second))
	}
	if mine.stage != stagePending {
		c.counts.Violations++
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "claim %s was dispatched", send.Claim))
	}
	delete(c.own, send.Claim)
	return Decision{Verdict: VerdictAppend, Owner: c.Incarnation, Record: c.closing(now, send, reason)}
}

func (c *Claimer) closing(now time.Time, send Send, reason cowslipproxy.Reason) *Record {
	record := c.record(KindClose, send, now)
	record.Answer = &Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: reason, Message: "the key was closed before a claim was confirmed; send again under a new key"}
	return record
}

// Close decides on a send that this daemon refuses for a reason of its own. The
// refusal is true once a close is in the log ahead of each claim of the key:
// append Record, then ask Closed.
func (c *Claimer) Close(now time.Time, send Send, reason cowslipproxy.Reason) Decision {
	defer c.lock()()
	if send.Key.Incarnation != "" && send.Key.Incarnation != c.Incarnation {
		return Decision{Verdict: VerdictForward, Owner: send.Key.Incarnation}
	}
	t := c.table(send)
	if s := t.find(send, now); s != nil && !s.free() {
		return c.settled(send, s)
	}
	if send.Key.Incarnation != "" {
		return c.fail(cowslipproxy.Refuse(reason, "no send of the key was dispatched"))
	}
	return Decision{Verdict: VerdictAppend, Record: c.closing(now, send, reason)}
}

// Closed decides on a send whose close was appended, after a fold.
func (c *Claimer) Closed(now time.Time, send Send) Decision {
	defer c.lock()()
	s := c.table(send).find(send, now)
	if s == nil || s.free() && s.claim != send.Claim {
		return Decision{Verdict: VerdictPending}
	}
	return c.settled(send, s)
}

// Finish ends a dispatched send. The record is to be appended; it is nil for
// incarnation keys, whose answers stay in memory.
func (c *Claimer) Finish(now time.Time, send Send, answer Answer) *Record {
	defer c.lock()()
	mine := c.own[send.Claim]
	if mine == nil || mine.stage != stageDispatched {
		c.counts.Violations++
		return nil
	}
	mine.stage = stageFinished
	trimmed := answer.trim()
	record := c.record(KindOutcome, send, now)
	record.Answer = &trimmed
	if send.Key.Incarnation == "" {
		return record
	}
	mine.table.fold(now, *record)
	delete(c.own, send.Claim)
	return nil
}

// Forget drops a send whose outcome could not be appended; resends get unknown.
func (c *Claimer) Forget(send Send) {
	defer c.lock()()
	if mine := c.own[send.Claim]; mine != nil && mine.stage == stageFinished {
		delete(c.own, send.Claim)
	}
}
