package quarantiner

import (
	"math"
	"time"
)

const (
	// missedCrashWeight divides the weight of a fingerprint for each crash at which it was not in flight.
	// Such a crash has another cause if the fingerprint is the bad one.
	missedCrashWeight = 8
	// concurrentRisk bounds the risk of fingerprints that are tried while the result of a related trial
	// is awaited.
	concurrentRisk = 0.3
	// safeRisk bounds the risk of fingerprints that are tried without an additional delay.
	safeRisk = 0.25
	// delayPerCandidate, times the number of the other candidates, and at most maxRiskDelay, is the
	// additional delay of a trial that certainly contains the bad fingerprint. Meanwhile a request with
	// fewer of the candidates may arrive, whose trial shows more.
	delayPerCandidate = 200 * time.Millisecond
	maxRiskDelay      = 3 * time.Second
)

// maxRisks bounds the risk of fingerprints that are tried, by the number of late failed trials. The last
// value applies to all further trials.
var maxRisks = []float64{1, 0.75, 0.5}

// assessment is what is known about the quarantined fingerprints of a request, by their crashes and those of others.
type assessment struct {
	risk        float64     // probability that the request has the fingerprint that caused the crashes
	candidates  int         // fingerprints that may have caused them, of the request and others
	unexplained upstreamSet // that crashed with no other quarantined fingerprint in flight
}

// assess compares the quarantined fingerprints of a request with all others that were in flight at their
// crashes. Of those crashes that others may have caused, the fingerprints that were in flight at more are
// more likely to be the cause.
func (q *Quarantiner) assess(held []*entry) assessment {
	v := assessment{unexplained: upstreamsOf(held), candidates: len(held)}
	isHeld := make(map[*entry]bool, len(held))
	for _, e := range held {
		isHeld[e] = true
	}
	explained := upstreamSet{}
	var others []*entry
	for _, other := range q.entries {
		if q.state(other) != StateQuarantined || isHeld[other] {
			continue
		}
		isRelated := false
		for _, crash := range other.Crashes {
			if v.unexplained[crash.Upstream] {
				delete(v.unexplained, crash.Upstream)
				explained[crash.Upstream] = true
			}
			isRelated = isRelated || explained[crash.Upstream]
		}
		if isRelated {
			others = append(others, other)
		}
	}
	v.candidates += len(others)
	inside, outside := explained.weightOf(held), explained.weightOf(others)
	v.risk = inside / (inside + outside)
	return v
}

// weightOf returns the sum of the weights of fingerprints that may have caused the crashes of the upstreams.
func (s upstreamSet) weightOf(entries []*entry) (sum float64) {
	for _, e := range entries {
		sum += math.Pow(missedCrashWeight, float64(s.countOf(e.Crashes)-len(s)))
	}
	return sum
}

// isAcceptable reports whether a trial may be run after some late trials that failed.
func (a assessment) isAcceptable(lateFailures int) bool {
	return a.risk <= maxRisks[min(max(lateFailures, 0), len(maxRisks)-1)]
}

// delay returns the time from the last crash or trial until the next trial.
func (a assessment) delay() time.Duration {
	longest := min(time.Duration(a.candidates-1)*delayPerCandidate, maxRiskDelay)
	return trialDelay + time.Duration(max(a.risk-safeRisk, 0)/(1-safeRisk)*float64(longest))
}

// upstreamSet is a set of incarnations of upstreams.
type upstreamSet map[string]bool

// upstreamsOf returns the upstreams that crashed with the entries' fingerprints in flight.
func upstreamsOf(entries []*entry) upstreamSet {
	upstreams := upstreamSet{}
	for _, e := range entries {
		for _, crash := range e.Crashes {
			upstreams[crash.Upstream] = true
		}
	}
	return upstreams
}

func (s upstreamSet) countOf(crashes []Crash) (count int) {
	for _, crash := range crashes {
		if s[crash.Upstream] {
			count++
		}
	}
	return count
}
