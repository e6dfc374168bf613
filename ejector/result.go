package ejector

import (
	"slices"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// RecordSuccess records a request that an upstream answered, with the kind of step
// (empty for a plain service) and its duration. Prefill durations are not compared
// with those of peers, since they depend on the prompt.
func (e *Ejector) RecordSuccess(name string, now time.Time, kind cowslipproxy.StepKind, took time.Duration) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil {
		return nil
	}
	if p.ejected {
		return e.finishProbe(p, now, kind, took)
	}
	p.consecutiveFailures = 0
	p.decayLevel(now, e.decayInterval())
	if kind == cowslipproxy.StepPrefill {
		return nil
	}
	if kind == cowslipproxy.StepDecode {
		p.times.addDecode(took)
	}
	p.times.add(took)
	if !e.isSlow(p, now) || !p.group.allowsEjection() {
		return nil
	}
	return []Change{e.eject(p, now, CauseSlow)}
}

// finishProbe restores an ejected upstream, or extends the ejection if the probe was
// too slow. A reply counts only if a probe is under way; otherwise it belongs to a
// request that was sent before the ejection.
func (e *Ejector) finishProbe(p *peer, now time.Time, kind cowslipproxy.StepKind, took time.Duration) []Change {
	if !p.probing {
		return nil
	}
	median, ok := p.group.medianTime(now)
	if p.cause == CauseSlow && kind != cowslipproxy.StepPrefill && ok && exceeds(float64(took), median, e.medianMultiple()) {
		return []Change{e.eject(p, now, CauseSlow)}
	}
	return []Change{p.restore(now)}
}

func (e *Ejector) isSlow(p *peer, now time.Time) bool {
	if !p.times.hasEnoughSamples() {
		return false
	}
	median, ok := p.group.medianTime(now)
	return ok && exceeds(p.times.average, median, e.medianMultiple())
}

func exceeds(value, median, multiple float64) bool {
	return value > median*multiple && value > median+float64(minExcess)
}

// RecordFailure records a request that failed or timed out at an upstream.
func (e *Ejector) RecordFailure(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil {
		return nil
	}
	if p.ejected {
		if !p.probing {
			return nil
		}
		cause := p.cause
		if cause == CauseDisconnected && !p.down {
			cause = CauseFailures // the connection has been restored
		}
		return []Change{e.eject(p, now, cause)}
	}
	if p.consecutiveFailures++; p.consecutiveFailures < e.maxFailures() || !p.group.allowsEjection() {
		return nil
	}
	return []Change{e.eject(p, now, CauseFailures)}
}

// RecordDisconnect records that the connection to an upstream was lost. The upstream
// is ejected at once, however many peers are ejected already. The returned changes
// include the peers that are restored to replace it.
func (e *Ejector) RecordDisconnect(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || p.down && !p.probing {
		return nil
	}
	changes := []Change{e.eject(p, now, CauseDisconnected)}
	p.down = true
	return append(changes, p.group.restoreExcess(now)...)
}

// RecordConnect records that the connection to an upstream was restored. After the
// first disconnect the probe is due at once. An upstream that flaps stays ejected for
// the full duration, unless more than half of the connected peers are ejected.
func (e *Ejector) RecordConnect(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || !p.down {
		return nil
	}
	// A probe under way was sent over the old connection.
	p.down, p.failedProbes, p.probing = false, 0, false
	if p.until = now; p.duration > e.baseDuration() {
		p.until = p.ejectedAt.Add(p.duration)
	}
	return p.group.restoreExcess(now)
}

// Dump returns the state of all upstreams, sorted by name.
func (e *Ejector) Dump() []State {
	e.mu.Lock()
	defer e.mu.Unlock()
	states := make([]State, 0, len(e.peers))
	for _, p := range e.peers {
		states = append(states, State{
			Change: p.change(), Group: p.group.name, Level: p.level, Failed: p.consecutiveFailures,
			Typical: time.Duration(p.times.average),
			Median:  time.Duration(p.group.median),
			P99:     time.Duration(p.times.p99),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return states
}
