package pathfinder

import (
	"maps"
	"net/netip"
	"time"
)

// minSoundShare is the part of the memory of all engines that those which are not slow must have for
// slow ones to get no new work. With less, the load of the slow ones would fill the others.
const minSoundShare = 0.7

// SetSlowdowns sets the factors by which engines run slower than their profile, by
// incarnation. Engines without one run as their profile states.
func (f *Finder) SetSlowdowns(slowdowns map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if maps.Equal(f.slowdowns, slowdowns) {
		return
	}
	f.slowdowns = slowdowns
	f.applySlowdowns()
	f.speedsChanged = true
}

// applySlowdowns updates the engines and whether the sound ones suffice. The caller holds the lock.
func (f *Finder) applySlowdowns() {
	var all, sound float64
	for _, e := range f.listed {
		e.slowdown = f.slowdowns[e.Incarnation()]
		all += e.memory
		if e.slowdown == 0 {
			sound += e.memory
		}
	}
	f.needsSlow = sound < minSoundShare*all
}

// isAvoidedEngine reports whether an engine gets no new work while others can run it.
func (f *Finder) isAvoidedEngine(now time.Time, e *engine) bool {
	return now.Before(e.suspectUntil) || e.slowdown > 0 && !f.needsSlow
}

// SlowEngines returns the engines of a path that are slow and need not get work.
func (f *Finder) SlowEngines(path *Path) (found []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.segments {
		if s.engine.slowdown > 0 && !f.needsSlow {
			found = append(found, s.engine.Address)
		}
	}
	return found
}

// EnginesToLeave returns the slow engines that a stream should leave: those on which the given
// number of tokens takes longer than the prefill on a sound engine of the same kind. The first
// engine can't be replaced.
func (f *Finder) EnginesToLeave(path *Path, tokensLeft int) (found []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range path.segments[1:] {
		if s.engine.slowdown == 0 || f.needsSlow {
			continue
		}
		sound := &engine{Instance: s.engine.Instance, memory: s.engine.memory}
		saved := float64(max(tokensLeft, 1)) * (s.engine.slowdown - 1) * f.decodeTime(sound)
		if saved > f.prefillTime(sound, path.tokens) {
			found = append(found, s.engine.Address)
		}
	}
	return found
}

// ReportUnusable records that other daemons found an engine unusable. It is ignored if the engines that
// get work would not suffice without it.
func (f *Finder) ReportUnusable(at time.Time, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, usable float64
	for _, e := range f.listed {
		all += e.memory
		if e.Address != address && !f.isAvoidedEngine(at, e) {
			usable += e.memory
		}
	}
	for _, e := range f.listed {
		if e.Address == address && usable >= minSoundShare*all {
			e.suspectUntil = later(e.suspectUntil, at.Add(suspectDuration))
		}
	}
}
