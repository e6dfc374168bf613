package claimer

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Attempt is one attempt at a request under an idempotency key.
type Attempt struct {
	Claim    string // id of this attempt, unique across all daemons
	Customer string
	Key      Key
	Digest   string
}

// Verdict determines how to proceed with an attempt.
type Verdict string

// Verdicts on attempts.
const (
	VerdictAppend   Verdict = "append"   // append Record, then call Resolve
	VerdictDispatch Verdict = "dispatch" // dispatch now, then call Finish
	VerdictPending  Verdict = "pending"  // the attempt's own claim isn't applied yet: call Resolve again after the next log entry
	VerdictWait     Verdict = "wait"     // another attempt's claim is in effect: call Resolve again after the next log entry
	VerdictAnswer   Verdict = "answer"   // replay the recorded answer
	VerdictFailed   Verdict = "failed"   // return Failure
	VerdictForward  Verdict = "forward"  // forward to the daemon incarnation Owner
)

// Decision is the verdict on an attempt, with the data that the verdict refers to.
type Decision struct {
	Verdict Verdict
	Owner   string // incarnation whose claim is in effect
	Claim   string // id of the claim in effect
	Record  *Record
	Answer  *Answer
	Failure *cowslipproxy.Failure
}

// Counts holds counters of decisions and invariant violations, and the size of the state.
type Counts struct {
	Dispatched uint64
	Refused    uint64
	Violations uint64 // prevented second dispatches of a claim and prevented refusals of dispatched claims
	Keys       int    // remembered keys
	Bytes      int    // recorded bodies in memory, in bytes
}

// Defaults of a Claimer.
const (
	DefaultPartitions    = 4
	DefaultRetention     = 24 * time.Hour
	DefaultMaxKeys       = 300_000  // about 110 MB, see docs/effects.md
	DefaultMaxBodyMemory = 32 << 20 // bytes
)

// Claimer holds the state of all keys. Its fields must be set before its first use.
type Claimer struct {
	Incarnation   string // of this daemon
	Partitions    int
	Retention     time.Duration // of the log
	MaxKeys       int           // largest number of remembered keys; further ones are refused
	MaxBodyMemory int           // largest size of the recorded bodies in memory, in bytes

	once        sync.Once
	mu          sync.Mutex
	tables      []*table // one for each partition, and a last one for keys bound to an incarnation
	localClaims map[string]*localClaim
	counts      Counts
}

// localClaim is a claim made by this daemon. Only registered local claims are dispatched.
type localClaim struct {
	attempt   Attempt
	table     *table
	claimedAt time.Time
	stage     stage
	applied   bool // read from the log and applied
}

type stage string

const (
	stagePending    stage = "pending"
	stageDispatched stage = "dispatched"
	stageFinished   stage = "finished" // Finish was called; the outcome record isn't applied yet
)

func (c *Claimer) init() {
	c.once.Do(func() {
		if c.Partitions == 0 {
			c.Partitions = DefaultPartitions
		}
		if c.Retention == 0 {
			c.Retention = DefaultRetention
		}
		if c.MaxKeys == 0 {
			c.MaxKeys = DefaultMaxKeys
		}
		if c.MaxBodyMemory == 0 {
			c.MaxBodyMemory = DefaultMaxBodyMemory
		}
		c.localClaims = map[string]*localClaim{}
		for range c.Partitions + 1 {
			c.tables = append(c.tables, newTable(c.Retention, c.MaxBodyMemory/(c.Partitions+1)))
		}
	})
}

func (c *Claimer) lock() func() {
	c.init()
	c.mu.Lock()
	return c.mu.Unlock
}

// DispatchWindow returns the period after a claim within which its owner may dispatch.
func (c *Claimer) DispatchWindow() time.Duration {
	c.init()
	return c.Retention / 20
}

// Counts returns the current counters.
func (c *Claimer) Counts() Counts {
	defer c.lock()()
	counts := c.counts
	for _, t := range c.tables {
		counts.Keys += len(t.keys)
		counts.Bytes += t.bytes
	}
	return counts
}

// Begin decides on a new attempt. After VerdictAppend the attempt stays registered
// until Resolve returns a final verdict or Abandon ends it.
func (c *Claimer) Begin(now time.Time, attempt Attempt) Decision {
	defer c.lock()()
	if attempt.Key.Incarnation != "" {
		return c.beginBound(now, attempt)
	}
	if created, ok := attempt.Key.CreatedAt(); ok && now.Sub(created) > keyLifetime(c.Retention) {
		return c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonKeyExpired, "the key was created at %v and expired %v later", created.UTC(), keyLifetime(c.Retention)))
	}
	t := c.tables[Partition(attempt.Customer, attempt.Key.Text, c.Partitions)]
	if s := t.find(attempt, now); s != nil && !s.released() {
		return c.decideExisting(attempt, s)
	}
	if c.full() {
		return c.fail(tooManyKeys())
	}
	c.localClaims[attempt.Claim] = &localClaim{attempt: attempt, table: t, claimedAt: now, stage: stagePending}
	return Decision{Verdict: VerdictAppend, Owner: c.Incarnation, Record: c.record(KindClaim, attempt, now)}
}

func (c *Claimer) beginBound(now time.Time, attempt Attempt) Decision {
	if attempt.Key.Incarnation != c.Incarnation {
		return Decision{Verdict: VerdictForward, Owner: attempt.Key.Incarnation}
	}
	t := c.tables[c.Partitions]
	t.expire(now)
	if s := t.find(attempt, now); s != nil && !s.released() {
		return c.decideExisting(attempt, s)
	}
	if c.full() {
		return c.fail(tooManyKeys())
	}
	t.apply(now, *c.record(KindClaim, attempt, now))
	c.localClaims[attempt.Claim] = &localClaim{attempt: attempt, table: t, claimedAt: now, stage: stageDispatched, applied: true}
	c.counts.Dispatched++
	return Decision{Verdict: VerdictDispatch, Owner: c.Incarnation}
}

func tooManyKeys() *cowslipproxy.Failure {
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "too many idempotency keys in use").After(time.Minute)
}

func (c *Claimer) full() bool {
	keys := len(c.localClaims)
	for _, t := range c.tables {
		keys += len(t.keys)
	}
	return keys >= c.MaxKeys
}

func (c *Claimer) record(kind Kind, attempt Attempt, now time.Time) *Record {
	record := &Record{Kind: kind, Key: attempt.Key.Text, Customer: attempt.Customer, Owner: c.Incarnation, Claim: attempt.Claim, Time: now}
	if kind == KindClaim {
		record.Digest = attempt.Digest
	}
	return record
}

func (c *Claimer) fail(failure *cowslipproxy.Failure) Decision {
	if failure.Outcome == cowslipproxy.OutcomeRefused {
		c.counts.Refused++
	}
	return Decision{Verdict: VerdictFailed, Failure: failure}
}

// decideExisting decides on an attempt whose key is already claimed or closed.
func (c *Claimer) decideExisting(attempt Attempt, s *state) Decision {
	if s.digest != "" && s.digest != attemptDigest(attempt) {
		return c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonKeyReused, "the idempotency key was used for a request with another method, path or body"))
	}
	if s.answer == nil {
		return Decision{Verdict: VerdictWait, Owner: s.owner, Claim: s.claim}
	}
	if failure := s.answer.Failure(); failure != nil {
		return c.fail(failure)
	}
	return Decision{Verdict: VerdictAnswer, Owner: s.owner, Answer: s.answer}
}

// Resolve decides on a registered or waiting attempt after log entries were
// applied. It must be called immediately before the dispatch and returns
// VerdictDispatch once for each claim. A failed decision may carry a record to
// append.
func (c *Claimer) Resolve(now time.Time, attempt Attempt) Decision {
	defer c.lock()()
	local := c.localClaims[attempt.Claim]
	if local == nil {
		return c.decideWaiting(now, attempt)
	}
	if local.stage != stagePending {
		c.counts.Violations++
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "claim %s was already decided", attempt.Claim))
	}
	s := local.table.find(attempt, now)
	switch {
	case s == nil, s.released() && !local.applied:
		return Decision{Verdict: VerdictPending, Owner: c.Incarnation}
	case s.claim != attempt.Claim, s.answer != nil:
		delete(c.localClaims, attempt.Claim)
		return c.decideExisting(attempt, s)
	case now.Sub(local.claimedAt) > c.Retention/20:
		delete(c.localClaims, attempt.Claim)
		decision := c.fail(cowslipproxy.Refuse(cowslipproxy.ReasonLogUnavailable, "the log confirmed the claim too late").After(time.Second))
		decision.Record = c.withdrawalRecord(now, attempt)
		return decision
	}
	local.stage = stageDispatched
	c.counts.Dispatched++
	return Decision{Verdict: VerdictDispatch, Owner: c.Incarnation}
}

// decideWaiting decides on an attempt that waits for another attempt's claim.
func (c *Claimer) decideWaiting(now time.Time, attempt Attempt) Decision {
	s := c.table(attempt).find(attempt, now)
	if s == nil {
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonKeyExpired, "the idempotency key has expired"))
	}
	return c.decideExisting(attempt, s)
}

func (c *Claimer) table(attempt Attempt) *table {
	if attempt.Key.Incarnation != "" {
		return c.tables[c.Partitions]
	}
	return c.tables[Partition(attempt.Customer, attempt.Key.Text, c.Partitions)]
}

// Abandon ends an attempt that was not dispatched. This daemon never dispatches it
// afterwards. With VerdictAppend its claim may be in the log: append Record, then
// call Closed. With any other verdict another attempt's claim is in effect.
func (c *Claimer) Abandon(now time.Time, attempt Attempt, reason cowslipproxy.Reason) Decision {
	defer c.lock()()
	local := c.localClaims[attempt.Claim]
	if local == nil {
		if d := c.decideWaiting(now, attempt); d.Verdict != VerdictWait {
			return d
		}
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "an earlier request with this idempotency key is still running").After(time.Second))
	}
	if local.stage != stagePending {
		c.counts.Violations++
		return c.fail(cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "claim %s was already dispatched", attempt.Claim))
	}
	delete(c.localClaims, attempt.Claim)
	return Decision{Verdict: VerdictAppend, Owner: c.Incarnation, Record: c.closeRecord(now, attempt, reason)}
}

func (c *Claimer) closeRecord(now time.Time, attempt Attempt, reason cowslipproxy.Reason) *Record {
	record := c.record(KindClose, attempt, now)
	record.Answer = &Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: reason, Message: "the idempotency key was closed before a claim was confirmed; retry with a new key"}
	return record
}

// Close decides on an attempt that this daemon refuses before claiming its key.
// The refusal is final once the log contains a close that precedes every claim of
// the key: append Record, then call Closed.
func (c *Claimer) Close(now time.Time, attempt Attempt, reason cowslipproxy.Reason) Decision {
	defer c.lock()()
	if attempt.Key.Incarnation != "" && attempt.Key.Incarnation != c.Incarnation {
		return Decision{Verdict: VerdictForward, Owner: attempt.Key.Incarnation}
	}
	t := c.table(attempt)
	if s := t.find(attempt, now); s != nil && !s.released() {
		return c.decideExisting(attempt, s)
	}
	if attempt.Key.Incarnation != "" {
		return c.fail(cowslipproxy.Refuse(reason, "no request with this idempotency key was dispatched"))
	}
	return Decision{Verdict: VerdictAppend, Record: c.closeRecord(now, attempt, reason)}
}

// Closed decides on an attempt whose close was appended, after log entries were
// applied.
func (c *Claimer) Closed(now time.Time, attempt Attempt) Decision {
	defer c.lock()()
	s := c.table(attempt).find(attempt, now)
	if s == nil || s.released() && s.claim != attempt.Claim {
		return Decision{Verdict: VerdictPending}
	}
	return c.decideExisting(attempt, s)
}

// Finish ends a dispatched attempt. It returns the record to append, or nil for
// keys bound to an incarnation, whose answers are kept in memory only.
func (c *Claimer) Finish(now time.Time, attempt Attempt, answer Answer) *Record {
	defer c.lock()()
	local := c.localClaims[attempt.Claim]
	if local == nil || local.stage != stageDispatched {
		c.counts.Violations++
		return nil
	}
	local.stage = stageFinished
	trimmed := answer.trim()
	record := c.record(KindOutcome, attempt, now)
	record.Answer = &trimmed
	if attempt.Key.Incarnation == "" {
		return record
	}
	local.table.apply(now, *record)
	delete(c.localClaims, attempt.Claim)
	return nil
}

// Forget drops an attempt whose outcome could not be appended. Retries get the
// outcome unknown.
func (c *Claimer) Forget(attempt Attempt) {
	defer c.lock()()
	if local := c.localClaims[attempt.Claim]; local != nil && local.stage == stageFinished {
		delete(c.localClaims, attempt.Claim)
	}
}
