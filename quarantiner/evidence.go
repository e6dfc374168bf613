package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// trialDelay is the time after the last crash, and after a trial without a result, until
	// a request is run to find out whether a quarantined fingerprint is sound.
	trialDelay = 3 * time.Second
	// lateTrialDelay is the time after a trial without a result from the maxQuickTrials-th
	// one on. Few requests may reach upstreams once it is known that they crash them, and a
	// second daemon may run a trial at the same time.
	lateTrialDelay = time.Minute
	maxQuickTrials = 2
	// maxFailedTrials bounds the upstreams that the trials of a fingerprint crash.
	maxFailedTrials = 2
	// objectionTime is how long a daemon waits for objections after it first knew of a crash,
	// before it refuses requests. When several upstreams crash at once, other daemons may
	// know that the parts of the requests in flight are sound.
	objectionTime = 500 * time.Millisecond
	// objectionSpread is multiplied by the number of daemons to get the time over which
	// their objections are spread. The first one makes the others superfluous.
	objectionSpread = 4 * time.Millisecond
)

// Survived records that an upstream wrote an answer to a request with these fingerprints
// for longer than a crash takes. It clears them. Crashes within survivalWindow don't
// count against them, since what crashes each upstream can't have been answered.
func (q *Quarantiner) Survived(now time.Time, fingerprints []RequestFingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, fp := range fingerprints {
		q.survivals.add(now, fp)
		if e := q.entry(now, fp); e != nil && len(e.Crashes) > 0 {
			q.clear(now, e)
		}
	}
}

// Admit returns a failure if a request must not run because one of its fingerprints is
// quarantined. If a trial of them is due, it permits the request and returns them as tried.
// RecordTrial must be called when the request is sent. The next crash or answer is the result
// of the trial.
func (q *Quarantiner) Admit(now time.Time, fingerprints []RequestFingerprint) (tried []RequestFingerprint, failure *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.quarantined(now, fingerprints)
	if !q.isTrialDue(now, held) {
		return nil, q.refusal(now, held)
	}
	for _, e := range held {
		tried = append(tried, e.RequestFingerprint)
		e.trialDue = now.Add(trialDelay) // of the next one, if this request is not sent
	}
	return tried, nil
}

// RecordTrial records that a request is sent as a trial of its quarantined fingerprints.
func (q *Quarantiner) RecordTrial(now time.Time, tried []RequestFingerprint) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, fp := range tried {
		e := q.entry(now, fp)
		if e == nil || q.state(e) != StateQuarantined {
			continue // cleared since the request was admitted
		}
		record := e.Record
		record.Trials++
		if record.Tried == 0 {
			record.Tried = len(e.Crashes)
		}
		q.update(e, record)
		q.markLocal(e)
		e.postponeTrial(now)
	}
}

func (e *entry) postponeTrial(now time.Time) {
	delay := trialDelay
	if e.Trials >= maxQuickTrials {
		delay = lateTrialDelay
	}
	e.trialDue = now.Add(delay)
}

// Reject returns a failure if a request must not be sent again because one of its
// fingerprints is quarantined.
func (q *Quarantiner) Reject(now time.Time, fingerprints []RequestFingerprint) *cowslipproxy.Failure {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refusal(now, q.quarantined(now, fingerprints))
}

func (q *Quarantiner) quarantined(now time.Time, fingerprints []RequestFingerprint) (held []*entry) {
	for _, fp := range fingerprints {
		if e := q.entry(now, fp); e != nil && q.state(e) == StateQuarantined && now.Sub(e.since) >= objectionTime {
			held = append(held, e)
		}
	}
	return held
}

func (q *Quarantiner) refusal(now time.Time, held []*entry) *cowslipproxy.Failure {
	if len(held) == 0 {
		return nil
	}
	e := held[0]
	var upstreams []string
	for _, crash := range e.Crashes {
		upstreams = append(upstreams, crash.Upstream)
	}
	subject := "request"
	if e.Part {
		subject = "part of the prompt"
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonQuarantined, "%s %s crashed %d upstreams: %s", subject, e.Key(), len(upstreams), strings.Join(upstreams, ", ")).
		After(e.lastEvent().Add(q.ttl()).Sub(now))
}

// isTrialDue reports whether this daemon runs a request with quarantined fingerprints now,
// to find out whether they are sound. One daemon runs all trials, one at a time for each
// fingerprint. After a failed trial of several fingerprints, any of them may have crashed the
// upstream. Each is then tried again alone, or beside one that was in no failed trial. A second
// failed trial is the last one.
func (q *Quarantiner) isTrialDue(now time.Time, held []*entry) bool {
	isDue := func(e *entry) bool {
		return !now.Before(e.trialDue) && e.failedTrials() < maxFailedTrials
	}
	isUntried := func(e *entry) bool { return e.failedTrials() == 0 }
	isInformative := len(held) == 1 || slices.ContainsFunc(held, isUntried)
	return q.runsTrials() && isInformative && !slices.ContainsFunc(held, func(e *entry) bool { return !isDue(e) })
}

// runsTrials reports whether this daemon is the one, by rendezvous hashing over the live
// daemons, that runs trials.
func (q *Quarantiner) runsTrials() bool {
	own := xxhash.Sum64String(q.Self)
	return !slices.ContainsFunc(q.peers, func(peer string) bool { return xxhash.Sum64String(peer) > own })
}

// handleMerged handles a record that changed because another daemon sent one. If this
// daemon knows the fingerprint of a suspect to be sound, it schedules an objection.
func (q *Quarantiner) handleMerged(now time.Time, e *entry, before Record) {
	if !q.Concurrent {
		return
	}
	q.notify()
	if len(e.Crashes) == 0 {
		q.survivals.add(now, e.RequestFingerprint) // another daemon or an operator cleared it
		return
	}
	e.recordEvidence(now)
	if len(e.Crashes) > len(before.Crashes) && q.survivals.recent(now, e.RequestFingerprint) {
		if q.objections == nil {
			q.objections = map[RequestFingerprint]time.Time{}
		}
		spread := uint64(objectionSpread) * uint64(len(q.peers)+1)
		q.objections[e.RequestFingerprint] = now.Add(time.Duration(xxhash.Sum64String(q.Self+" "+e.Key()) % spread))
	}
}

// recordEvidence records that a crash or a trial was added to the record.
func (e *entry) recordEvidence(now time.Time) {
	e.postponeTrial(now)
	if e.since.IsZero() {
		e.since = now
	}
}

// Object clears the suspects that this daemon knows to be sound, unless another daemon
// did so meanwhile. It returns when to call it again, or the zero time.
func (q *Quarantiner) Object(now time.Time) (next time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for fp, at := range q.objections {
		e := q.entry(now, fp)
		if e == nil || len(e.Crashes) == 0 {
			delete(q.objections, fp)
			continue
		}
		if !now.Before(at) {
			q.clear(now, e)
			delete(q.objections, fp)
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Change is a record that changed.
type Change struct {
	Record
	Before, After State
	Local         bool // this daemon changed the record and must publish it
}

// TakeChanges returns the records whose state changed or that this daemon changed since
// the last call.
func (q *Quarantiner) TakeChanges(now time.Time) (changes []Change) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for fp, e := range q.entries {
		if q.expired(now, e.Record) {
			delete(q.entries, fp)
			continue
		}
		before, after := e.reported, q.state(e)
		if before == "" {
			before = StateClear
		}
		if e.local || before != after {
			changes = append(changes, Change{e.Record, before, after, e.local})
		}
		e.local, e.reported = false, after
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key(), b.Key()) })
	return changes
}
