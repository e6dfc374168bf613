package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
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
	if len(fingerprints) == 0 {
		return
	}
	q.survivals.add(now, fingerprints...)
	for _, fp := range fingerprints {
		if e := q.entry(now, fp); e != nil && len(e.Crashes) > 0 {
			q.clear(now, e)
		}
	}
}

// handleMerged handles a record that changed because another daemon sent one. If this
// daemon knows the fingerprint of a suspect to be sound, it schedules an objection.
func (q *Quarantiner) handleMerged(now time.Time, e *entry, before Record) {
	if !q.Concurrent {
		return
	}
	q.markChanged(e)
	if len(e.Crashes) == 0 {
		q.survivals.add(now, e.RequestFingerprint) // another daemon or an operator cleared it
		return
	}
	e.recordEvidence(now)
	if len(e.Crashes) > len(before.Crashes) {
		q.scheduleObjection(now, e)
	}
}

// scheduleObjection schedules an objection to a suspect that this daemon knows to be sound, or to a
// quarantined part on which answers were written earlier.
func (q *Quarantiner) scheduleObjection(now time.Time, e *entry) {
	isRecent := q.survivals.recent(now, e.RequestFingerprint)
	if !isRecent && (!e.Part || q.state(e) != StateQuarantined || !q.survivals.isKnown(e.RequestFingerprint)) {
		return
	}
	if q.objections == nil {
		q.objections = map[RequestFingerprint]objection{}
	}
	spread := uint64(objectionSpread) * uint64(len(q.peers)+1)
	delay := xxhash.Sum64String(q.Self+" "+e.Crashes[len(e.Crashes)-1].Upstream) % spread // one for all parts of a prompt
	q.objections[e.RequestFingerprint] = objection{now.Add(time.Duration(delay)), !isRecent}
}

// objection is the clearance of a fingerprint that this daemon knows to be sound.
type objection struct {
	at            time.Time
	isConditional bool // on fingerprints without a known answer that explain the crashes
}

// unknownCauses returns the upstreams that crashed with a quarantined fingerprint in flight on which no answer
// is known.
func (q *Quarantiner) unknownCauses() upstreamSet {
	upstreams := upstreamSet{}
	for fp, e := range q.entries {
		if q.state(e) != StateQuarantined || q.survivals.isKnown(fp) {
			continue
		}
		for _, crash := range e.Crashes {
			upstreams[crash.Upstream] = true
		}
	}
	return upstreams
}

// recordEvidence records that a crash or a trial was added to the record.
func (e *entry) recordEvidence(now time.Time) {
	e.evidenceAt = now
	if e.since.IsZero() {
		e.since = now
	}
}

// Object clears the suspects that this daemon knows to be sound, unless another daemon
// did so meanwhile. A part on which answers were written only some time ago may have become bad. It is
// cleared if so many of its crashes have another possible cause that the rest would not quarantine it.
// Object returns when to call it again, or the zero time.
func (q *Quarantiner) Object(now time.Time) (next time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var causes upstreamSet // of conditional objections
	for fp, objection := range q.objections {
		e := q.entry(now, fp)
		if e == nil || len(e.Crashes) == 0 {
			delete(q.objections, fp)
			continue
		}
		if !now.Before(objection.at) {
			if objection.isConditional && causes == nil {
				causes = q.unknownCauses()
			}
			if !objection.isConditional || len(e.Crashes)-causes.countOf(e.Crashes) < q.threshold() {
				q.clear(now, e)
			}
			delete(q.objections, fp)
			continue
		}
		if next.IsZero() || objection.at.Before(next) {
			next = objection.at
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
	for fp, e := range q.changed {
		if q.entries[fp] != e || q.expired(now, e.Record) {
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
	q.changed = nil
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key(), b.Key()) })
	return changes
}
