package ejector

import (
	"slices"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Success takes in a request that an upstream answered, with the kind of step
// (empty for a plain service) and the time that it took. Prefill times differ
// with the prompt, so they are not compared.
func (e *Ejector) Success(name string, now time.Time, kind cowslipproxy.StepKind, took time.Duration) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil {
		return nil
	}
	if p.ejected {
		return e.probed(p, now, kind, took)
	}
	p.failed = 0
	p.settle(now, e.calm())
	if kind == cowslipproxy.StepPrefill {
		return nil
	}
	if kind == cowslipproxy.StepDecode {
		p.times.addDecode(took)
	}
	p.times.add(took)
	if !e.slow(p, now) || !p.group.allows() {
		return nil
	}
	return []Change{e.eject(p, now, CauseTime)}
}

// probed ends an ejection. Answers count only after a probe was sent, since
// those to earlier requests may have been on their way already.
func (e *Ejector) probed(p *peer, now time.Time, kind cowslipproxy.StepKind, took time.Duration) []Change {
	if !p.probing {
		return nil
	}
	median, ok := p.group.medianTime(now)
	if p.cause == CauseTime && kind != cowslipproxy.StepPrefill && ok && exceeds(float64(took), median, e.multiple()) {
		return []Change{e.eject(p, now, CauseTime)}
	}
	return []Change{p.restore(now)}
}

func (e *Ejector) slow(p *peer, now time.Time) bool {
	if !p.times.settled() {
		return false
	}
	median, ok := p.group.medianTime(now)
	return ok && exceeds(p.times.typical, median, e.multiple())
}

func exceeds(value, median, multiple float64) bool {
	return value > median*multiple && value > median+float64(minExcess)
}

// Failure takes in a request that an upstream failed or didn't answer in time.
func (e *Ejector) Failure(name string, now time.Time) []Change {
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
		if cause == CauseBroken && !p.down {
			cause = CauseFailures // the connection stands again
		}
		return []Change{e.eject(p, now, cause)}
	}
	if p.failed++; p.failed < e.failures() || !p.group.allows() {
		return nil
	}
	return []Change{e.eject(p, now, CauseFailures)}
}

// Broken takes in that the connection to an upstream broke. It counts at once
// and for any number of peers, and returns the others that have to stand in.
func (e *Ejector) Broken(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || p.down && !p.probing {
		return nil
	}
	changes := []Change{e.eject(p, now, CauseBroken)}
	p.down = true
	return append(changes, p.group.relieve(now)...)
}

// Connected takes in that the connection stands again. After a first break the
// probe is due at once; an upstream that flaps waits its time out, unless more
// than half of the peers with a connection are out.
func (e *Ejector) Connected(name string, now time.Time) []Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[name]
	if p == nil || !p.down {
		return nil
	}
	// A probe that was under way went to the old connection.
	p.down, p.tries, p.probing = false, 0, false
	if p.until = now; p.length > e.base() {
		p.until = p.since.Add(p.length)
	}
	return p.group.relieve(now)
}

// Dump returns the state of all upstreams, by name.
func (e *Ejector) Dump() []State {
	e.mu.Lock()
	defer e.mu.Unlock()
	states := make([]State, 0, len(e.peers))
	for _, p := range e.peers {
		states = append(states, State{
			Change: p.change(), Group: p.group.name, Level: p.level, Failed: p.failed,
			Typical: time.Duration(p.times.typical),
			Median:  time.Duration(p.group.median),
			P99:     time.Duration(p.times.p99),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Name, b.Name) })
	return states
}
