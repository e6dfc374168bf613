package ejector

import "time"

// maxProbeDoublings limits the doublings of the probe interval while the connection
// is down. A restarted VM must return to service soon, and a probe that cannot be
// sent costs little.
const maxProbeDoublings = 3

// peer is an upstream as a member of its group.
type peer struct {
	name                string
	group               *group
	consecutiveFailures int
	ejected             bool
	down                bool // the connection was lost and has not been restored
	leaving             bool // gets no new requests, so that it cannot replace its peers
	cause               Cause
	ejectedAt           time.Time     // start of the ejection
	duration            time.Duration // duration of the ejection, without extensions after failed probes
	lastFailedAt        time.Time     // start of the ejection, or time of the last failed probe
	until               time.Time     // when it may be probed
	probing             bool
	probeStart          time.Time
	failedProbes        int       // failed probes while the connection is down, up to maxProbeDoublings
	level               int       // doublings of the next ejection's duration
	levelSince          time.Time // when it was last restored, or the level last decreased
	times               times
}

// probeDue reports whether an ejected upstream may get a request as its probe. While
// the whole group is out of service, a probe is due after the base duration at the
// latest.
func (e *Ejector) probeDue(p *peer, now time.Time) bool {
	if p.probing {
		return now.Sub(p.probeStart) >= e.probeTimeout()
	}
	if !now.Before(p.until) {
		return true
	}
	return now.Sub(p.lastFailedAt) >= e.baseDuration() && !p.group.anyInService()
}

// decayLevel decreases the level by one for each decay interval in service. The level
// of a flapping upstream keeps increasing, so that each ejection lasts longer.
func (p *peer) decayLevel(now time.Time, decayInterval time.Duration) {
	if p.ejected {
		return
	}
	for p.level > 0 && now.Sub(p.levelSince) >= decayInterval {
		p.level--
		p.levelSince = p.levelSince.Add(decayInterval)
	}
}

// backoff returns the base duration after a number of doublings, up to MaxDuration.
func (e *Ejector) backoff(doublings int) time.Duration {
	duration := e.baseDuration()
	for range doublings {
		if duration >= e.maxDuration() {
			break
		}
		duration *= 2
	}
	return min(duration, e.maxDuration())
}

// eject ejects the upstream, or extends its ejection after a failed probe.
func (e *Ejector) eject(p *peer, now time.Time, cause Cause) Change {
	p.decayLevel(now, e.decayInterval())
	duration := e.backoff(p.level)
	if p.down {
		duration = e.backoff(p.failedProbes)
		p.failedProbes = min(p.failedProbes+1, maxProbeDoublings)
	} else {
		p.ejectedAt, p.duration = now, duration
		if duration < e.maxDuration() {
			p.level++
		}
	}
	p.ejected, p.cause, p.lastFailedAt, p.until = true, cause, now, now.Add(duration)
	p.probing, p.consecutiveFailures = false, 0
	return p.change()
}

// restore returns the upstream to service. It resets the measured times, since the
// old ones would cause another ejection at once.
func (p *peer) restore(now time.Time) Change {
	p.ejected, p.down, p.cause, p.probing = false, false, "", false
	p.consecutiveFailures, p.failedProbes = 0, 0
	p.levelSince = now
	p.times = times{}
	return p.change()
}

func (p *peer) change() Change {
	change := Change{Name: p.name, Ejected: p.ejected, Cause: p.cause}
	if p.ejected {
		change.Until = p.until
	}
	return change
}
