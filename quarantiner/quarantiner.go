// Package quarantiner decides which requests must not be dispatched because they
// crash every upstream that runs them.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Quarantiner.
const (
	DefaultTTL        = 10 * time.Minute
	DefaultMaxEntries = 4096
	DefaultThreshold  = 2
)

// suspectRetryAfter is the Retry-After of a suspect that can't run now. Daemons
// exchange the record of a suspect within milliseconds unless one of them is
// unreachable.
const suspectRetryAfter = time.Second

// Quarantiner tracks the fingerprints of requests that were in flight when upstreams
// crashed. It serves two policies.
//
// With Begin and Check, a suspect is run only by the daemon that saw its first crash,
// and only once all live daemons have its record: two daemons that each ran it alone
// could crash two more upstreams.
//
// With Admit and Reject, suspects run beside other requests, and only fingerprints that
// reach the threshold are refused. Survived clears those that sound requests share.
// Concurrent must be set for this policy.
type Quarantiner struct {
	Self       string        // incarnation of this daemon
	TTL        time.Duration // time after its last crash until a fingerprint expires
	MaxEntries int           // largest number of fingerprints that are tracked
	Threshold  int           // crashes of distinct upstreams that quarantine a fingerprint
	Concurrent bool          // suspects run beside other requests
	OnChange   func()        // called when TakeChanges has a record to return, with Concurrent; must not call the Quarantiner

	mutex      sync.Mutex
	entries    map[RequestFingerprint]*entry
	peers      []string
	victims    []victim                      // entries that are evicted next
	changed    map[RequestFingerprint]*entry // since the last TakeChanges
	survivals  survivals
	granted    []grantedTrial                   // by this daemon
	objections map[RequestFingerprint]objection // when this daemon clears a suspect that it knows to be sound
}

type entry struct {
	Record
	running  bool            // this daemon runs the suspect
	dirty    bool            // this daemon must send the record to its peers
	acked    map[string]bool // peers that have acknowledged this record
	local    bool            // this daemon changed the record since the last TakeChanges
	reported State           // as of the last TakeChanges
	since    time.Time       // when this daemon first knew of a crash

	evidenceAt time.Time // when this daemon last knew of a new crash or trial
	trialDue   time.Time // before this time, no trial of the fingerprint is requested or granted
}

// Run is a permitted dispatch.
type Run struct {
	RequestFingerprint RequestFingerprint
	Alone              bool // no other request may be in flight on its upstreams
}

// Begin decides whether a request may be dispatched. It must be called before each
// dispatch, also when a stage is replaced after a crash.
func (q *Quarantiner) Begin(now time.Time, fp RequestFingerprint) (Run, *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, fp)
	if e == nil || q.state(e) == StateClear {
		return Run{RequestFingerprint: fp}, nil
	}
	if failure := q.refuse(now, e); failure != nil {
		return Run{}, failure
	}
	e.running = true
	return Run{RequestFingerprint: fp, Alone: true}, nil
}

// Check returns a failure if a request may not run now. It serves admission control
// and doesn't start a run.
func (q *Quarantiner) Check(now time.Time, fp RequestFingerprint) *cowslipproxy.Failure {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, fp)
	if e == nil || q.state(e) == StateClear {
		return nil
	}
	return q.refuse(now, e)
}

// refuse returns the failure of a suspect that may not run now or of a quarantined
// request, or nil if this daemon may run the suspect. It takes over a suspect whose
// owner is gone.
func (q *Quarantiner) refuse(now time.Time, e *entry) *cowslipproxy.Failure {
	const reason = cowslipproxy.ReasonQuarantined
	if q.state(e) == StateQuarantined {
		remaining := e.lastEvent().Add(q.ttl()).Sub(now)
		return cowslipproxy.Refuse(reason, "two upstreams crashed while running this request").After(remaining)
	}
	if owner := e.owner(); owner != q.Self && slices.Contains(q.peers, owner) {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; only daemon %s may run it", owner).After(suspectRetryAfter)
	}
	q.takeOver(e)
	if e.running {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; an isolated run of it is in progress").After(suspectRetryAfter)
	}
	if !q.replicated(e) {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; not all daemons have been notified").After(suspectRetryAfter)
	}
	return nil
}

// takeOver makes this daemon the owner of a suspect whose owner is gone. This daemon
// runs the suspect once all peers have acknowledged the new owner, so that only one
// of several daemons that take over concurrently runs it.
func (q *Quarantiner) takeOver(e *entry) {
	if e.owner() == q.Self {
		return
	}
	record := e.Record
	record.Term, record.Owner = record.Term+1, q.Self
	q.update(e, record)
}

// End ends a run. A suspect that completed is cleared.
func (q *Quarantiner) End(now time.Time, run Run, completed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, run.RequestFingerprint)
	if e == nil {
		return
	}
	if run.Alone {
		e.running = false
	}
	if completed && q.state(e) == StateSuspect {
		q.clear(now, e)
	}
}

// Crash records that an upstream crashed with these requests in flight. The daemon
// must then send the records returned by Pending to its peers, and must not report
// the failure to callers before Replicated returns true, since callers may retry.
func (q *Quarantiner) Crash(now time.Time, upstream string, fingerprints []RequestFingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, fp := range fingerprints {
		if q.Concurrent && q.survivals.recent(now, fp) {
			continue
		}
		q.crash(now, fp, Crash{Upstream: upstream, Source: q.Self, Time: now})
	}
}

func (q *Quarantiner) crash(now time.Time, fp RequestFingerprint, crash Crash) {
	e := q.entry(now, fp)
	if e == nil {
		e = q.add(now, Record{RequestFingerprint: fp, Time: now})
	}
	e.dirty = true // even if the record doesn't change, since callers of this daemon wait for Replicated
	if hasUpstream(e.Crashes, crash.Upstream) {
		return // a second report could change the owner while the suspect runs
	}
	e.recordEvidence(now)
	q.markLocal(e)
	q.update(e, merge(e.Record, Record{RequestFingerprint: fp, Version: e.Version, Crashes: []Crash{crash}, Time: e.Time, Term: e.Term, Owner: e.Owner, Tried: e.Tried, Trials: e.Trials}))
	if q.Concurrent {
		q.scheduleObjection(now, e)
	}
}

// CrashAlone records that an upstream crashed with a suspect in flight and no other
// suspect.
func (q *Quarantiner) CrashAlone(now time.Time, upstream string, fp RequestFingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.crash(now, fp, Crash{Upstream: upstream, Source: q.Self, Time: now, Alone: true})
}

// state returns the state of an entry's fingerprint. If the request never crashed an
// upstream alone, crashes that another request explains don't count.
func (q *Quarantiner) state(e *entry) State {
	if q.Concurrent {
		return q.stateAfter(len(e.Crashes))
	}
	if slices.ContainsFunc(e.Crashes, isAlone) {
		return q.stateAfter(len(e.Crashes))
	}
	unexplained := 0
	for _, crash := range e.Crashes {
		if !q.explained(e, crash) {
			unexplained++
		}
	}
	return q.stateAfter(unexplained)
}

// explained reports whether a crash is attributed to another request. That request
// must have crashed two upstreams, including the crashed one, and at least one of
// the two with no other suspect in flight.
func (q *Quarantiner) explained(e *entry, crash Crash) bool {
	for fp, other := range q.entries {
		if fp == e.RequestFingerprint || len(other.Crashes) < q.threshold() || !hasUpstream(other.Crashes, crash.Upstream) {
			continue
		}
		if slices.ContainsFunc(other.Crashes, isAlone) {
			return true
		}
	}
	return false
}

// Lift clears a fingerprint on request of an operator. It reports whether the
// fingerprint was suspect or quarantined.
func (q *Quarantiner) Lift(now time.Time, fp RequestFingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, fp)
	if e == nil || q.state(e) == StateClear {
		return false
	}
	q.clear(now, e)
	return true
}

// State returns the state of a fingerprint.
func (q *Quarantiner) State(now time.Time, fp RequestFingerprint) State {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e := q.entry(now, fp); e != nil {
		return q.state(e)
	}
	return StateClear
}

// Holds reports whether there is a record of a fingerprint.
func (q *Quarantiner) Holds(now time.Time, fp RequestFingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.entry(now, fp) != nil
}

func (q *Quarantiner) clear(now time.Time, e *entry) {
	q.markLocal(e)
	q.update(e, Record{RequestFingerprint: e.RequestFingerprint, Version: e.Version + 1, Time: now})
}

// markLocal marks a record that this daemon changes to be returned by TakeChanges.
func (q *Quarantiner) markLocal(e *entry) {
	e.local = true
	q.markChanged(e)
}

// markChanged marks a record that TakeChanges examines.
func (q *Quarantiner) markChanged(e *entry) {
	if !q.Concurrent {
		return
	}
	if q.changed == nil {
		q.changed = map[RequestFingerprint]*entry{}
	}
	q.changed[e.RequestFingerprint] = e
	if q.OnChange != nil {
		q.OnChange()
	}
}

// update replaces the record of an entry and marks it to be sent to the peers.
func (q *Quarantiner) update(e *entry, record Record) {
	if !e.Equal(record) {
		e.Record, e.dirty, e.acked = record, true, nil
	}
	if len(record.Crashes) == 0 {
		e.since = time.Time{}
	}
}

// entry returns the entry of a fingerprint, or nil if there is none or it has expired.
func (q *Quarantiner) entry(now time.Time, fp RequestFingerprint) *entry {
	e := q.entries[fp]
	if e != nil && q.expired(now, e.Record) {
		delete(q.entries, fp)
		return nil
	}
	return e
}

func (q *Quarantiner) expired(now time.Time, r Record) bool {
	return !now.Before(r.lastEvent().Add(q.ttl()))
}

func (q *Quarantiner) threshold() int {
	if q.Threshold > 0 {
		return q.Threshold
	}
	return DefaultThreshold
}

func (q *Quarantiner) ttl() time.Duration {
	if q.TTL > 0 {
		return q.TTL
	}
	return DefaultTTL
}

// add adds a record. If the table is full, it evicts an entry: cleared ones first, then suspects,
// the oldest of each first.
func (q *Quarantiner) add(now time.Time, record Record) *entry {
	maxEntries := q.MaxEntries
	if maxEntries == 0 {
		maxEntries = DefaultMaxEntries
	}
	if q.entries == nil {
		q.entries = map[RequestFingerprint]*entry{}
	}
	if len(q.entries) >= maxEntries {
		q.evict(now, max(maxEntries/victimFraction, 1))
	}
	e := &entry{Record: record}
	q.entries[record.RequestFingerprint] = e
	return e
}

// victimFraction is the fraction of a full table that is chosen for eviction at once, since the
// fingerprints of a crash may be hundreds, and each choice examines the whole table.
const victimFraction = 16

// victim is an entry that was chosen for eviction, with the number of its crashes at that time.
type victim struct {
	*entry
	crashes int
}

// evict removes an entry, and chooses the next ones to be evicted if none is left.
func (q *Quarantiner) evict(now time.Time, choice int) {
	for len(q.victims) > 0 {
		next := q.victims[0]
		q.victims = q.victims[1:]
		if q.entries[next.RequestFingerprint] == next.entry && len(next.Crashes) <= next.crashes {
			delete(q.entries, next.RequestFingerprint)
			return
		}
	}
	var all []*entry
	isFull := true
	for fp, e := range q.entries {
		if q.expired(now, e.Record) {
			delete(q.entries, fp)
			isFull = false
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, (*entry).compareEviction)
	for _, e := range all[:min(choice, len(all))] {
		q.victims = append(q.victims, victim{e, len(e.Crashes)})
	}
	if isFull && len(q.victims) > 0 {
		delete(q.entries, q.victims[0].RequestFingerprint)
		q.victims = q.victims[1:]
	}
}

// compareEviction orders the entries that are evicted first before others.
func (e *entry) compareEviction(other *entry) int {
	return cmp.Or(cmp.Compare(len(e.Crashes), len(other.Crashes)), e.lastEvent().Compare(other.lastEvent()))
}
