package ejector

import "time"

// maxTries is the number of doublings between probes while the connection is
// down. A VM that restarts must not wait long after its return, and a probe
// that can't be sent costs little.
const maxTries = 3

// peer is an upstream within its group.
type peer struct {
	name     string
	group    *group
	failed   int // consecutive failures
	ejected  bool
	down     bool // the connection broke and doesn't stand again
	leaving  bool // gets no new work, so it can't stand in for its peers
	cause    Cause
	since    time.Time     // when it left service
	length   time.Duration // of the ejection from service
	judged   time.Time     // when it left service, or its last probe failed
	until    time.Time     // when it may be probed
	probing  bool
	probedAt time.Time
	tries    int       // failed probes while down
	level    int       // ejections from service that count for the next one's length
	returned time.Time // when it last returned, or the level last fell
	times    times
}

// probeDue reports whether a request may be the probe of an ejected upstream.
// While the whole group is out, probes don't wait longer than the base time.
func (e *Ejector) probeDue(p *peer, now time.Time) bool {
	if p.probing {
		return now.Sub(p.probedAt) >= e.probe()
	}
	if !now.Before(p.until) {
		return true
	}
	return now.Sub(p.judged) >= e.base() && !p.group.serves()
}

// settle takes back a doubling for each calm period in service, so that an
// upstream that flaps stays out longer each time.
func (p *peer) settle(now time.Time, calm time.Duration) {
	if p.ejected {
		return
	}
	for p.level > 0 && now.Sub(p.returned) >= calm {
		p.level--
		p.returned = p.returned.Add(calm)
	}
}

// doubled returns the base time doubled the given number of times, up to the cap.
func (e *Ejector) doubled(times int) time.Duration {
	length := e.base()
	for range times {
		if length >= e.limit() {
			break
		}
		length *= 2
	}
	return min(length, e.limit())
}

// eject takes the upstream out of service, or further out after a failed probe.
func (e *Ejector) eject(p *peer, now time.Time, cause Cause) Change {
	p.settle(now, e.calm())
	length := e.doubled(p.level)
	if p.down {
		length = e.doubled(p.tries)
		p.tries = min(p.tries+1, maxTries)
	} else {
		p.since, p.length = now, length
		if length < e.limit() {
			p.level++
		}
	}
	p.ejected, p.cause, p.judged, p.until = true, cause, now, now.Add(length)
	p.probing, p.failed = false, 0
	return p.change()
}

// restore returns the upstream to service. Its times are measured anew, since
// the old ones would eject it again at once.
func (p *peer) restore(now time.Time) Change {
	p.ejected, p.down, p.cause, p.probing = false, false, "", false
	p.failed, p.tries = 0, 0
	p.returned = now
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
