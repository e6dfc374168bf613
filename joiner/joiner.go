// Package joiner joins the platform's list of VMs with what a daemon observes,
// and decides which VMs get new work.
package joiner

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Limit is the longest time between learning that a VM leaves and the last new
// work sent to it.
const Limit = 3 * time.Second

const (
	defaultFresh    = 30 * time.Second
	defaultFailures = 2
)

// Reason says why a VM gets no new work.
type Reason string

// Reasons for giving a VM no new work.
const (
	ReasonNone     Reason = ""         // it gets new work
	ReasonUnknown  Reason = "unknown"  // neither listed nor seen
	ReasonUnseen   Reason = "unseen"   // listed, but said no hello and answered no probe yet
	ReasonFailing  Reason = "failing"  // fails probes
	ReasonListed   Reason = "leaving"  // the list says that it leaves
	ReasonVanished Reason = "vanished" // a fresh list doesn't show it any more
	ReasonOwn      Reason = "own"      // it said itself that it leaves
	ReasonDrained  Reason = "drained"  // an operator drains it
)

// Joiner holds what is known of each VM. It isn't safe for concurrent use.
type Joiner struct {
	Fresh    time.Duration // age from which on a list is outdated
	Failures int           // failed probes in a row after which a VM gets no new work
	vms      map[string]*state
}

type state struct {
	vm       cowslipproxy.VM
	present  bool      // the last list shows it
	listed   time.Time // when a list last showed it
	seen     time.Time // last hello or answered probe
	failures int
	leaving  map[Reason]time.Time // since when, by who says so
	sent     time.Time            // last new work
	started  time.Time            // when a later run was learned of
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

// List takes in a list that held at the given time. A leaving mark counts
// however old the list is. A missing entry counts only if the list is fresh,
// and only an entry in a fresh list takes marks back.
func (j *Joiner) List(vms []cowslipproxy.VM, taken, now time.Time) {
	fresh := j.isFresh(taken, now)
	present := map[string]bool{}
	for _, vm := range vms {
		present[vm.Name] = true
		s := j.state(vm.Name)
		s.present, s.listed = true, now
		s.vm = vm
		// A list from before a restart speaks of the earlier run.
		leaving := vm.State == cowslipproxy.VMLeaving && !taken.Before(s.started)
		s.mark(ReasonListed, leaving, fresh, now)
		s.mark(ReasonVanished, false, fresh, now)
	}
	for name, s := range j.vms {
		if present[name] || s.listed.IsZero() || !fresh || taken.Before(s.started) {
			continue
		}
		s.present = false
		s.mark(ReasonVanished, true, fresh, now)
	}
}

func (j *Joiner) isFresh(taken, now time.Time) bool {
	limit := j.Fresh
	if limit == 0 {
		limit = defaultFresh
	}
	return now.Sub(taken) < limit
}

func (s *state) mark(reason Reason, on, lift bool, now time.Time) {
	if on && s.leaving[reason].IsZero() {
		s.leaving[reason] = now
	}
	if !on && lift {
		delete(s.leaving, reason)
	}
}

// Hello takes in that a VM said that it runs. One that isn't listed yet can
// serve from then on.
func (j *Joiner) Hello(vm cowslipproxy.VM, now time.Time) {
	s := j.state(vm.Name)
	if !s.present {
		s.vm = vm
	}
	s.seen, s.failures = now, 0
	s.mark(ReasonOwn, vm.State == cowslipproxy.VMLeaving, true, now)
}

// Probe takes in the result of a probe.
func (j *Joiner) Probe(name string, ok bool, now time.Time) {
	s := j.state(name)
	if !ok {
		s.failures++
		return
	}
	s.seen, s.failures = now, 0
}

// Report takes in whether a VM says of itself that it leaves.
func (j *Joiner) Report(name string, leaving bool, now time.Time) {
	j.state(name).mark(ReasonOwn, leaving, true, now)
}

// Drain takes in an operator's order to drain a VM, or to end that.
func (j *Joiner) Drain(name string, on bool, now time.Time) {
	j.state(name).mark(ReasonDrained, on, true, now)
}

// Restart takes in that a VM's later run replaced an earlier one, of which
// marks and failures don't count any more. A drain is of the VM and stays.
func (j *Joiner) Restart(name string, now time.Time) {
	s := j.state(name)
	s.failures, s.seen, s.started = 0, time.Time{}, now
	for _, reason := range []Reason{ReasonOwn, ReasonVanished, ReasonListed} {
		delete(s.leaving, reason)
	}
}

// Decide returns why a VM gets no new work, or ReasonNone if it does.
func (j *Joiner) Decide(name string) Reason {
	return j.decide(j.vms[name])
}

func (j *Joiner) decide(s *state) Reason {
	if s == nil || s.vm.Name == "" {
		return ReasonUnknown
	}
	if len(s.leaving) > 0 { // saves four look-ups for each of thousands of VMs
		for _, reason := range []Reason{ReasonDrained, ReasonOwn, ReasonListed, ReasonVanished} {
			if !s.leaving[reason].IsZero() {
				return reason
			}
		}
	}
	limit := j.Failures
	if limit == 0 {
		limit = defaultFailures
	}
	switch {
	case s.failures >= limit:
		return ReasonFailing
	case s.seen.IsZero():
		return ReasonUnseen
	}
	return ReasonNone
}

// IsUsable reports whether a VM gets new work.
func (j *Joiner) IsUsable(name string) bool { return j.Decide(name) == ReasonNone }

// Usable returns the VMs of a role that get new work, by name.
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

// Known returns all VMs of a role that are listed or were seen, by name. They
// are the ones to probe.
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

// Each calls a function with each VM that is listed or was seen, in no order, and
// with whether it gets new work.
func (j *Joiner) Each(call func(vm cowslipproxy.VM, usable bool)) {
	for _, s := range j.vms {
		if s.vm.Name != "" {
			call(s.vm, j.decide(s) == ReasonNone)
		}
	}
}

// Sent notes that new work was sent to a VM.
func (j *Joiner) Sent(name string, now time.Time) { j.state(name).sent = now }

// Leaving returns since when a VM is known to leave, or the zero time.
func (j *Joiner) Leaving(name string) time.Time {
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

// Check reports a VM that got new work later than Limit after it was known to leave.
func (j *Joiner) Check() error {
	for name, s := range j.vms {
		if len(s.leaving) == 0 {
			continue
		}
		since := j.Leaving(name)
		if late := s.sent.Sub(since); !since.IsZero() && late > Limit {
			return errors.Errorf("vm %s: got new work %v after it was known to leave, accepted is %v", name, late, Limit)
		}
	}
	return nil
}

// Forget drops the VMs that vanished from the list, or were never listed, and
// were not seen since the given time. It returns their names.
func (j *Joiner) Forget(before time.Time) []string {
	var gone []string
	for name, s := range j.vms {
		if s.present || !s.listed.Before(before) || !s.seen.Before(before) || !s.leaving[ReasonDrained].IsZero() {
			continue
		}
		delete(j.vms, name)
		gone = append(gone, name)
	}
	sort.Strings(gone)
	return gone
}
