package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// trialDelay is the time after the last crash, and after a trial without a result, until
	// a request is run to find out whether a quarantined fingerprint is sound.
	trialDelay = 3 * time.Second
	// lateTrialDelay is the time after a trial without a result from the maxQuickTrials-th one on.
	// Few requests may reach upstreams once it is known that they crash them, and a second daemon
	// may run a trial at the same time.
	lateTrialDelay = time.Minute
	maxQuickTrials = 2
	// maxUnexplainedTrials bounds the upstreams that the trials of a fingerprint crash, unless
	// another quarantined fingerprint explains the crash.
	maxUnexplainedTrials = 2
	// freeCrashes is the number of crashes from which on failed trials are late. Only few late trials
	// may fail.
	freeCrashes = 5
	// maxTrialFingerprints bounds the fingerprints of a trial. A prompt has up to 4096 parts.
	maxTrialFingerprints = 4097
	// trialRetryAfter is added to the time until the next trial in the Retry-After of requests
	// that may be sound. A trial takes about as long.
	trialRetryAfter = time.Second
	// denialInterval and denialSpread, which is multiplied by the number of daemons, give the time
	// after which a daemon requests a trial again. They bound the load of the arbiter.
	denialInterval = 500 * time.Millisecond
	denialSpread   = 4 * time.Millisecond
	maxDenialWait  = time.Second
)

// Trial is a run of a request to find out whether its quarantined fingerprints are sound.
type Trial struct {
	Fingerprints []RequestFingerprint
	Arbiter      string // daemon that must grant the trial; empty if it is granted
}

// Request returns the message to the arbiter.
func (t Trial) Request() TrialRequest { return TrialRequest{t.Fingerprints} }

// TrialRequest requests the grant of a trial.
type TrialRequest struct {
	Fingerprints []RequestFingerprint `json:"fingerprints"`
}

// Check returns an error for the first invalid field.
func (r TrialRequest) Check() error {
	if len(r.Fingerprints) == 0 || len(r.Fingerprints) > maxTrialFingerprints {
		return errors.Errorf("fingerprints: %d are not between 1 and %d", len(r.Fingerprints), maxTrialFingerprints)
	}
	for i, fp := range r.Fingerprints {
		if err := fp.Check(); err != nil {
			return errors.Wrapf(err, "fingerprints[%d]", i)
		}
	}
	return nil
}

// TrialReply is the arbiter's decision.
type TrialReply struct {
	Granted bool          `json:"granted,omitempty"`
	Wait    time.Duration `json:"wait,omitempty"` // until the next request may be granted
}

// Check returns an error for the first invalid field.
func (r TrialReply) Check() error {
	if r.Wait < 0 || r.Wait > lateTrialDelay {
		return errors.Errorf("wait: %v is not between 0 and %v", r.Wait, lateTrialDelay)
	}
	return nil
}

// Admit returns a failure if a request must not run because one of its fingerprints is
// quarantined. If a trial of them is due, it returns the trial. A trial with an arbiter comes with
// a failure, which applies unless the arbiter grants the trial. RecordTrial must be called when the
// request is sent. The next crash or answer is the result of the trial.
func (q *Quarantiner) Admit(now time.Time, fingerprints []RequestFingerprint) (trial Trial, failure *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.quarantined(now, fingerprints)
	if len(held) == 0 {
		return Trial{}, nil
	}
	next, isInformative := q.nextTrial(now, held)
	failure = q.refusal(now, held, next, isInformative)
	if !isInformative || now.Before(next) {
		return Trial{}, failure
	}
	for _, e := range held {
		trial.Fingerprints = append(trial.Fingerprints, e.RequestFingerprint)
	}
	if trial.Arbiter = q.arbiter(); trial.Arbiter == "" {
		q.recordGrant(now, held)
		return trial, nil
	}
	postpone(held, now.Add(q.denialDelay()))
	return trial, failure
}

// Grant decides on another daemon's request for a trial. Only the arbiter grants trials, one
// at a time for each fingerprint.
func (q *Quarantiner) Grant(now time.Time, fingerprints []RequestFingerprint) TrialReply {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.quarantined(now, fingerprints)
	if q.arbiter() != "" || len(held) < len(fingerprints) || len(held) > maxTrialFingerprints {
		return TrialReply{Wait: q.denialDelay()} // the daemons have yet to exchange what they know
	}
	next, isInformative := q.nextTrial(now, held)
	if isInformative && !now.Before(next) {
		q.recordGrant(now, held)
		return TrialReply{Granted: true}
	}
	// The wait is bounded since the daemon may get requests with some of the fingerprints only, and since
	// a trial may end before its result is due.
	return TrialReply{Wait: max(min(next.Sub(now), maxDenialWait), q.denialDelay())}
}

// HandleDenial postpones the next request for a trial.
func (q *Quarantiner) HandleDenial(now time.Time, trial Trial, wait time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	postpone(q.quarantined(now, trial.Fingerprints), now.Add(wait))
}

// grantedTrial is a trial whose result is awaited.
type grantedTrial struct {
	fingerprint RequestFingerprint // one of those that are tried
	crashes     int                // of that fingerprint before the trial
	upstreams   upstreamSet        // that crashed with the tried fingerprints in flight
	until       time.Time
}

// recordGrant records a trial, which takes place unless the request is not sent.
func (q *Quarantiner) recordGrant(now time.Time, held []*entry) {
	q.granted = slices.DeleteFunc(q.granted, func(t grantedTrial) bool { return !q.isAwaited(now, t) })
	q.granted = append(q.granted, grantedTrial{held[0].RequestFingerprint, len(held[0].Crashes), upstreamsOf(held), now.Add(trialDelay)})
	postpone(held, now.Add(trialDelay))
}

// isAwaited reports whether a trial has neither crashed its upstream nor cleared its fingerprints yet.
func (q *Quarantiner) isAwaited(now time.Time, t grantedTrial) bool {
	e := q.entry(now, t.fingerprint)
	return e != nil && q.state(e) == StateQuarantined && len(e.Crashes) <= t.crashes && now.Before(t.until)
}

// awaitedUntil returns the time until which the result of a trial is awaited that bears on other
// fingerprints, or the zero time.
func (q *Quarantiner) awaitedUntil(now time.Time, held []*entry) (until time.Time) {
	for _, t := range q.granted {
		isRelated := slices.ContainsFunc(held, func(e *entry) bool { return t.upstreams.countOf(e.Crashes) > 0 })
		if isRelated && q.isAwaited(now, t) {
			until = latest(until, t.until)
		}
	}
	return until
}

func postpone(held []*entry, due time.Time) {
	for _, e := range held {
		e.trialDue = due
	}
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
		e.recordEvidence(now)
	}
}

// Reject returns a failure if a request must not be sent again because one of its
// fingerprints is quarantined.
func (q *Quarantiner) Reject(now time.Time, fingerprints []RequestFingerprint) *cowslipproxy.Failure {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.quarantined(now, fingerprints)
	if len(held) == 0 {
		return nil
	}
	next, isInformative := q.nextTrial(now, held)
	return q.refusal(now, held, next, isInformative)
}

func (q *Quarantiner) quarantined(now time.Time, fingerprints []RequestFingerprint) (held []*entry) {
	for _, fp := range fingerprints {
		if e := q.entry(now, fp); e != nil && q.state(e) == StateQuarantined && now.Sub(e.since) >= objectionTime {
			held = append(held, e)
		}
	}
	return held
}

// refusal returns the failure of a request with quarantined fingerprints. If their next trial is
// informative, the caller may retry after it.
func (q *Quarantiner) refusal(now time.Time, held []*entry, next time.Time, isInformative bool) *cowslipproxy.Failure {
	e := held[0]
	var upstreams []string
	for _, crash := range e.Crashes {
		upstreams = append(upstreams, crash.Upstream)
	}
	subject := "request"
	if e.Part {
		subject = "part of the prompt"
	}
	remaining := e.lastEvent().Add(q.ttl()).Sub(now)
	if isInformative {
		remaining = min(remaining, max(next.Sub(now), 0)+trialRetryAfter)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonQuarantined, "%s %s crashed %d upstreams: %s", subject, e.Key(), len(upstreams), strings.Join(upstreams, ", ")).
		After(remaining)
}

// nextTrial returns the earliest time of a trial of these fingerprints, and whether it can show
// something new at an acceptable risk. After a failed trial of several fingerprints, any of them may
// have crashed the upstream. They are then tried if other quarantined fingerprints explain their failed
// trials or, after one failed trial, so many of their crashes that the rest would not quarantine them,
// or each alone, or beside one that was in no failed trial.
func (q *Quarantiner) nextTrial(now time.Time, held []*entry) (next time.Time, isInformative bool) {
	assessed := q.assess(held)
	isInformative = len(held) == 1
	areTrialsExplained, areCrashesExplained, isFinished := true, true, false
	mostFailed, late := 0, 0
	for _, e := range held {
		failed := e.failedTrials()
		failures := assessed.unexplained.countOf(failed)
		mostFailed = max(mostFailed, len(failed))
		late = max(late, len(failed)-max(freeCrashes-e.Tried, 0))
		areTrialsExplained = areTrialsExplained && failures == 0
		areCrashesExplained = areCrashesExplained && assessed.unexplained.countOf(e.Crashes) < q.threshold()
		isInformative = isInformative || len(failed) == 0
		isFinished = isFinished || failures >= maxUnexplainedTrials
		delay := assessed.delay()
		if e.Trials >= maxQuickTrials && (e.Trials-len(failed) >= maxQuickTrials || failures > 0) {
			delay = lateTrialDelay
		}
		next = latest(next, e.evidenceAt.Add(delay), e.trialDue)
	}
	if assessed.risk > concurrentRisk {
		next = latest(next, q.awaitedUntil(now, held))
	}
	isInformative = isInformative || areTrialsExplained || areCrashesExplained && mostFailed < maxUnexplainedTrials
	return next, isInformative && !isFinished && assessed.isAcceptable(late)
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// arbiter returns the live daemon, by rendezvous hashing, that grants trials. The name is empty if
// it is this one.
func (q *Quarantiner) arbiter() (name string) {
	highest := xxhash.Sum64String(q.Self)
	for _, peer := range q.peers {
		if hash := xxhash.Sum64String(peer); hash > highest {
			name, highest = peer, hash
		}
	}
	return name
}

func (q *Quarantiner) denialDelay() time.Duration {
	return min(denialInterval+denialSpread*time.Duration(len(q.peers)), lateTrialDelay)
}
