// Package quarantiner decides which requests are kept from upstreams because
// they crash each upstream that runs them.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Quarantiner.
const (
	DefaultHold  = 10 * time.Minute
	DefaultBound = 4096
)

// again is the Retry-After of a suspect that can't run at present. Daemons tell
// each other of a suspect within milliseconds unless one of them is unreachable.
const again = time.Second

// Quarantiner tracks the fingerprints that were in flight when upstreams
// crashed. A suspect is run only by the daemon that saw its first crash, and
// only once all live daemons hold the record: two daemons that each ran it
// alone would lose two more upstreams.
type Quarantiner struct {
	Self  string        // incarnation of this daemon
	Hold  time.Duration // time after the last crash for which a fingerprint is held
	Bound int           // most fingerprints

	mutex   sync.Mutex
	entries map[Print]*entry
	peers   []string
}

type entry struct {
	Record
	running bool            // a run of the suspect is in flight here
	changed bool            // this daemon has to tell the others
	acked   map[string]bool // peers that hold this record
}

// Run is a dispatch that was allowed.
type Run struct {
	Print Print
	Alone bool // no other request may be in flight on its upstreams
}

// Begin decides whether a request may be dispatched. It is called before each
// dispatch, including each replacement of a stage after a crash.
func (q *Quarantiner) Begin(now time.Time, p Print) (Run, *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, p)
	if e == nil || q.state(e) == StateClear {
		return Run{Print: p}, nil
	}
	if failure := q.refuse(now, e); failure != nil {
		return Run{}, failure
	}
	e.running = true
	return Run{Print: p, Alone: true}, nil
}

// Check refuses a request that may not run at present. It is for admission and
// starts no run.
func (q *Quarantiner) Check(now time.Time, p Print) *cowslipproxy.Failure {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, p)
	if e == nil || q.state(e) == StateClear {
		return nil
	}
	return q.refuse(now, e)
}

func (q *Quarantiner) refuse(now time.Time, e *entry) *cowslipproxy.Failure {
	const reason = cowslipproxy.ReasonQuarantined
	if q.state(e) == StateQuarantined {
		left := e.latest().Add(q.hold()).Sub(now)
		return cowslipproxy.Refuse(reason, "two upstreams crashed while they ran this request").After(left)
	}
	if owner := e.owner(); owner != q.Self && slices.Contains(q.peers, owner) {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; only daemon %s runs it", owner).After(again)
	}
	q.takeOver(e)
	if e.running {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; a run of it alone is in progress").After(again)
	}
	if !q.known(e) {
		return cowslipproxy.Refuse(reason, "an upstream crashed with this request in flight; not all daemons know yet").After(again)
	}
	return nil
}

// takeOver makes this daemon the owner of a suspect whose owner is gone. It runs
// the suspect once all peers hold that, so that of several daemons that take
// over at once only one runs it.
func (q *Quarantiner) takeOver(e *entry) {
	if e.owner() == q.Self {
		return
	}
	record := e.Record
	record.Term, record.Owner = record.Term+1, q.Self
	q.change(e, record)
}

// End ends a run. A suspect that completed is innocent.
func (q *Quarantiner) End(now time.Time, run Run, completed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, run.Print)
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

// Crash records that an upstream crashed with these requests in flight. The
// daemon then tells its peers what Pending returns, and tells callers of the
// failure once Known, because they send the request again.
func (q *Quarantiner) Crash(now time.Time, upstream string, prints []Print) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, p := range prints {
		q.crash(now, p, Crash{Upstream: upstream, Source: q.Self, Time: now})
	}
}

func (q *Quarantiner) crash(now time.Time, p Print, crash Crash) {
	e := q.entry(now, p)
	if e == nil {
		e = q.add(now, Record{Print: p, Time: now})
	}
	e.changed = true // even if the record stays the same, since callers here wait for Known
	if hasUpstream(e.Crashes, crash.Upstream) {
		return // a second report could change the owner while it runs the suspect
	}
	q.change(e, merge(e.Record, Record{Print: p, Version: e.Version, Crashes: []Crash{crash}, Time: e.Time, Term: e.Term, Owner: e.Owner}))
}

// CrashAlone records that an upstream crashed with a suspect in flight that
// shared it with no other suspect.
func (q *Quarantiner) CrashAlone(now time.Time, upstream string, p Print) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.crash(now, p, Crash{Upstream: upstream, Source: q.Self, Time: now, Alone: true})
}

// state returns how requests with a record's fingerprint are treated. Crashes
// that another request explains don't count for a request that never crashed an
// upstream alone.
func (q *Quarantiner) state(e *entry) State {
	if slices.ContainsFunc(e.Crashes, isAlone) {
		return stateAfter(len(e.Crashes))
	}
	counted := 0
	for _, crash := range e.Crashes {
		if !q.explained(e, crash) {
			counted++
		}
	}
	return stateAfter(counted)
}

// explained reports whether a crash is the work of another request: one that
// crashed two upstreams, this one among them, and at least one of the two while
// it shared it with no other suspect.
func (q *Quarantiner) explained(e *entry, crash Crash) bool {
	for p, other := range q.entries {
		if p == e.Print || len(other.Crashes) < mostCrashes || !hasUpstream(other.Crashes, crash.Upstream) {
			continue
		}
		if slices.ContainsFunc(other.Crashes, isAlone) {
			return true
		}
	}
	return false
}

// Lift clears a fingerprint at an operator's order. It reports whether it was held.
func (q *Quarantiner) Lift(now time.Time, p Print) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, p)
	if e == nil || q.state(e) == StateClear {
		return false
	}
	q.clear(now, e)
	return true
}

// State returns how requests with a fingerprint are treated.
func (q *Quarantiner) State(now time.Time, p Print) State {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e := q.entry(now, p); e != nil {
		return q.state(e)
	}
	return StateClear
}

func (q *Quarantiner) clear(now time.Time, e *entry) {
	q.change(e, Record{Print: e.Print, Version: e.Version + 1, Time: now})
}

// change sets a record that this daemon tells the others.
func (q *Quarantiner) change(e *entry, record Record) {
	if !e.equal(record) {
		e.Record, e.changed, e.acked = record, true, nil
	}
}

// entry returns what is held of a fingerprint, unless its time is over.
func (q *Quarantiner) entry(now time.Time, p Print) *entry {
	e := q.entries[p]
	if e != nil && q.expired(now, e.Record) {
		delete(q.entries, p)
		return nil
	}
	return e
}

func (q *Quarantiner) expired(now time.Time, r Record) bool {
	return !now.Before(r.latest().Add(q.hold()))
}

func (q *Quarantiner) hold() time.Duration {
	if q.Hold > 0 {
		return q.Hold
	}
	return DefaultHold
}

// add makes room for a record. Cleared ones go first, then suspects, the oldest
// of each first.
func (q *Quarantiner) add(now time.Time, record Record) *entry {
	bound := q.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	if q.entries == nil {
		q.entries = map[Print]*entry{}
	}
	if len(q.entries) >= bound {
		q.evict(now)
	}
	e := &entry{Record: record}
	q.entries[record.Print] = e
	return e
}

func (q *Quarantiner) evict(now time.Time) {
	var worst *entry
	for p, e := range q.entries {
		if q.expired(now, e.Record) {
			delete(q.entries, p)
			continue
		}
		if worst == nil || e.beforeInEviction(worst) {
			worst = e
		}
	}
	if worst != nil {
		delete(q.entries, worst.Print)
	}
}

func (e *entry) beforeInEviction(other *entry) bool {
	if len(e.Crashes) != len(other.Crashes) {
		return len(e.Crashes) < len(other.Crashes)
	}
	return e.latest().Before(other.latest())
}
