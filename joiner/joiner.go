// Package joiner tracks the state of VMs, from the platform's list and from what
// a daemon observes, and decides which VMs get new work.
package joiner

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// MaxDispatchDelay is the longest time for which new work may still be sent to a VM
// after it is known to be leaving.
const MaxDispatchDelay = 3 * time.Second

const (
	defaultMaxListAge  = 30 * time.Second
	defaultMaxFailures = 2
)

// Reason is the reason why a VM gets no new work.
type Reason string

// Reasons for giving a VM no new work.
const (
	ReasonNone         Reason = ""         // it gets new work
	ReasonUnknown      Reason = "unknown"  // neither listed nor seen
	ReasonUnseen       Reason = "unseen"   // listed, but sent no hello and answered no probe yet
	ReasonFailing      Reason = "failing"  // failed several probes in a row
	ReasonLeaving      Reason = "leaving"  // marked as leaving in the list
	ReasonVanished     Reason = "vanished" // no longer in a fresh list
	ReasonSelfReported Reason = "own"      // reports that it is leaving
	ReasonDrained      Reason = "drained"  // drained by an operator
)

// Joiner tracks the state of each VM. It isn't safe for concurrent use.
type Joiner struct {
	MaxListAge  time.Duration // age from which a list is outdated; 0 means 30 s
	MaxFailures int           // consecutive failed probes after which a VM gets no new work; 0 means 2
	vms         map[string]*state
}

type state struct {
	vm           cowslipproxy.VM
	inList       bool                 // the VM is in the list; cleared only by a fresh list
	lastListed   time.Time            // time of the last list with the VM
	lastSeen     time.Time            // time of the last hello or successful probe
	failures     int                  // consecutive failed probes
	leaving      map[Reason]time.Time // leaving marks: time at which each was set, by reason
	lastDispatch time.Time            // time of the last dispatch of new work
	restarted    time.Time            // time at which the latest restart became known
}

func (j *Joiner) state(name string) *state {
	if j.vms == nil {
		j.vms = map[string]*state{}
	}
	if j.vms[name] == nil {
		j.vms[name] = &state{leaving: map[Reason]time.Time{}}
	}
	return j.vms[name]
}

// ApplyList applies a list that was valid at the time taken. Leaving marks apply at
// any age of the list. A missing VM counts as vanished only if the list is
// fresh, and only an entry in a fresh list clears marks.
func (j *Joiner) ApplyList(vms []cowslipproxy.VM, taken, now time.Time) {
	fresh := j.isFresh(taken, now)
	inList := map[string]bool{}
	for _, vm := range vms {
		inList[vm.Name] = true
		s := j.state(vm.Name)
		s.inList, s.lastListed = true, now
		s.vm = vm
		// A list from before a restart refers to the previous run of the VM.
		leaving := vm.State == cowslipproxy.VMLeaving && !taken.Before(s.restarted)
		s.setMark(ReasonLeaving, leaving, fresh, now)
		s.setMark(ReasonVanished, false, fresh, now)
	}
	for name, s := range j.vms {
		if inList[name] || s.lastListed.IsZero() || !fresh || taken.Before(s.restarted) {
			continue
		}
		s.inList = false
		s.setMark(ReasonVanished, true, fresh, now)
	}
}

func (j *Joiner) isFresh(taken, now time.Time) bool {
	maxAge := j.MaxListAge
	if maxAge == 0 {
		maxAge = defaultMaxListAge
	}
	return now.Sub(taken) < maxAge
}

// setMark sets a leaving mark if marked is true, and otherwise clears it if canClear
// is true. A mark that is already set keeps its time.
func (s *state) setMark(reason Reason, marked, canClear bool, now time.Time) {
	if marked && s.leaving[reason].IsZero() {
		s.leaving[reason] = now
	}
	if !marked && canClear {
		delete(s.leaving, reason)
	}
}

// RecordHello records that a VM announced itself. A VM that isn't listed yet can
// then get work.
func (j *Joiner) RecordHello(vm cowslipproxy.VM, now time.Time) {
	s := j.state(vm.Name)
	if !s.inList {
		s.vm = vm
	}
	s.lastSeen, s.failures = now, 0
	s.setMark(ReasonSelfReported, vm.State == cowslipproxy.VMLeaving, true, now)
}

// RecordProbe records the result of a probe.
func (j *Joiner) RecordProbe(name string, ok bool, now time.Time) {
	s := j.state(name)
	if !ok {
		s.failures++
		return
	}
	s.lastSeen, s.failures = now, 0
}

// RecordSelfReport records whether a VM reports that it is leaving.
func (j *Joiner) RecordSelfReport(name string, leaving bool, now time.Time) {
	j.state(name).setMark(ReasonSelfReported, leaving, true, now)
}

// Drain records that an operator started or ended the drain of a VM.
func (j *Joiner) Drain(name string, drained bool, now time.Time) {
	j.state(name).setMark(ReasonDrained, drained, true, now)
}

// RecordRestart records that a VM restarted, which clears the marks and
// failures of its previous run. A drain applies to the VM, so it persists.
func (j *Joiner) RecordRestart(name string, now time.Time) {
	s := j.state(name)
	s.failures, s.lastSeen, s.restarted = 0, time.Time{}, now
	for _, reason := range []Reason{ReasonSelfReported, ReasonVanished, ReasonLeaving} {
		delete(s.leaving, reason)
	}
}

// ReasonFor returns why a VM gets no new work, or ReasonNone if it gets new work.
func (j *Joiner) ReasonFor(name string) Reason {
	return j.decide(j.vms[name])
}

func (j *Joiner) decide(s *state) Reason {
	if s == nil || s.vm.Name == "" {
		return ReasonUnknown
	}
	if len(s.leaving) > 0 { // skips four map lookups for each of thousands of VMs
		for _, reason := range []Reason{ReasonDrained, ReasonSelfReported, ReasonLeaving, ReasonVanished} {
			if !s.leaving[reason].IsZero() {
				return reason
			}
		}
	}
	maxFailures := j.MaxFailures
	if maxFailures == 0 {
		maxFailures = defaultMaxFailures
	}
	switch {
	case s.failures >= maxFailures:
		return ReasonFailing
	case s.lastSeen.IsZero():
		return ReasonUnseen
	}
	return ReasonNone
}

// IsUsable reports whether a VM gets new work.
func (j *Joiner) IsUsable(name string) bool { return j.ReasonFor(name) == ReasonNone }

// Usable returns the VMs of a role that get new work, sorted by name.
func (j *Joiner) Usable(role cowslipproxy.VMRole) []cowslipproxy.VM {
	var vms []cowslipproxy.VM
	for name, s := range j.vms {
		if s.vm.Role == role && j.IsUsable(name) {
			vms = append(vms, s.vm)
		}
	}
	sort.Slice(vms, func(i, k int) bool { return vms[i].Name < vms[k].Name })
	return vms
}

// Known returns all VMs of a role that were listed or seen, sorted by name. These
// are the VMs to probe.
func (j *Joiner) Known(role cowslipproxy.VMRole) []cowslipproxy.VM {
	var vms []cowslipproxy.VM
	for _, s := range j.vms {
		if s.vm.Role == role {
			vms = append(vms, s.vm)
		}
	}
	sort.Slice(vms, func(i, k int) bool { return vms[i].Name < vms[k].Name })
	return vms
}

// Each calls a function for each VM that was listed or seen, in no particular
// order, with whether the VM gets new work.
func (j *Joiner) Each(visit func(vm cowslipproxy.VM, usable bool)) {
	for _, s := range j.vms {
		if s.vm.Name != "" {
			visit(s.vm, j.decide(s) == ReasonNone)
		}
	}
}

// RecordDispatch records that new work was sent to a VM.
func (j *Joiner) RecordDispatch(name string, now time.Time) { j.state(name).lastDispatch = now }

// LeavingSince returns the time since which a VM is known to be leaving, or the zero
// time if it isn't leaving.
func (j *Joiner) LeavingSince(name string) time.Time {
	var since time.Time
	if s := j.vms[name]; s != nil {
		for _, at := range s.leaving {
			if since.IsZero() || at.Before(since) {
				since = at
			}
		}
	}
	return since
}

// Check returns an error if a VM got new work later than MaxDispatchDelay after
// it was known to be leaving.
func (j *Joiner) Check() error {
	for name, s := range j.vms {
		if len(s.leaving) == 0 {
			continue
		}
		since := j.LeavingSince(name)
		if delay := s.lastDispatch.Sub(since); !since.IsZero() && delay > MaxDispatchDelay {
			return errors.Errorf("vm %s: got new work %v after it was known to be leaving, which exceeds the limit of %v", name, delay, MaxDispatchDelay)
		}
	}
	return nil
}

// Forget deletes the VMs that are not in the list, and were neither listed nor
// seen since the given time, except drained ones. It returns their names.
func (j *Joiner) Forget(cutoff time.Time) []string {
	var forgotten []string
	for name, s := range j.vms {
		if s.inList || !s.lastListed.Before(cutoff) || !s.lastSeen.Before(cutoff) || !s.leaving[ReasonDrained].IsZero() {
			continue
		}
		delete(j.vms, name)
		forgotten = append(forgotten, name)
	}
	sort.Strings(forgotten)
	return forgotten
}
