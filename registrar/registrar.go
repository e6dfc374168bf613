// Package registrar keeps the set of upstream instances from the platform's list
// and its changes. It starts no goroutine and does not read the clock.
package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// recoveryGrace is how long entries that the list drops after an outage or a restore
	// from an older copy are kept, so that their servers can register again. The platform's
	// protocol gives them about two seconds, and as long to stop using a server that left.
	recoveryGrace = 2 * time.Second
	// minExpiry is the shortest time without access to the list after which an entry of a live
	// server may be missing. An entry expires after three heartbeats of 1.2 s, and the last one
	// may have been written 1.2 s before the list was lost.
	minExpiry = 2 * time.Second
	// tombstoneTTL is how long a dropped entry is remembered, so that an outdated
	// list does not restore it.
	tombstoneTTL = 30 * time.Second
	// leavingTTL is how long a run of a server is remembered as leaving after it was last known
	// as such. Servers that leave may serve for many seconds.
	leavingTTL = 10 * time.Minute
	// formerTTL is how long an ended run of a server is remembered. The store may apply its last
	// writes seconds late.
	formerTTL = 10 * time.Minute
	// maxClockDifference exceeds the differences and jumps of the clocks of servers and
	// daemons. An entry that started later is not a server's: it would replace each entry of
	// the server with that id until then. Nor does one that started that much before the known run
	// replace it.
	maxClockDifference = time.Hour
)

// Registrar is the set of instances that the list contains. It is safe for
// concurrent use.
type Registrar struct {
	mu                 sync.Mutex
	known              map[string]entry
	tombstones         map[string]tombstone
	leaving            map[string]time.Time // when a run of a server was last known as leaving, by its incarnation
	former             map[string]time.Time // when a run of a server was known to have ended, by its incarnation
	lostSince          time.Time            // when the list was last known to be current; zero unless the last read failed
	dropsDeferredUntil time.Time            // drops are deferred until this time
	version            uint64
	changed            bool // an instance changed in the current call
}

type entry struct {
	cowslipproxy.Instance
	dropped bool // the list dropped it during or shortly after an outage; it is still in use
}

// tombstone is an entry that the list dropped.
type tombstone struct {
	cowslipproxy.Instance
	droppedAt time.Time
}

// RecordReadFailure records that the list could not be read, and when it was last known to be
// current.
func (r *Registrar) RecordReadFailure(currentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostSince.IsZero() {
		r.lostSince = currentAt
	}
}

// RecordCurrent records that the list was known to be current at a time, so that an outage began
// later.
func (r *Registrar) RecordCurrent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lostSince.IsZero() && at.After(r.lostSince) {
		r.lostSince = at
	}
}

// Apply applies changes read from the list and reports whether any instance
// changed. Entries that an outage of the list or an older copy dropped stay in use
// until their servers have had time to register again.
func (r *Registrar) Apply(now time.Time, changes cowslipproxy.Changes[cowslipproxy.Instance]) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lostSince.IsZero() && now.Sub(r.lostSince) >= minExpiry || changes.Restored {
		r.dropsDeferredUntil = now.Add(recoveryGrace)
	}
	r.lostSince, r.changed = time.Time{}, false
	seen := map[string]bool{}
	for _, item := range changes.Items {
		seen[item.Key] = true
		if item.Deleted || item.Err != nil {
			r.drop(now, item.Key)
		} else {
			r.put(now, item.Value)
		}
	}
	if changes.Complete {
		r.dropUnseen(now, seen)
	}
	r.expire(now)
	return r.changed
}

// Replace applies the complete list of another daemon and reports whether any
// instance changed.
func (r *Registrar) Replace(now time.Time, list cowslipproxy.InstanceList) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostSince, r.changed = time.Time{}, false
	listed := map[string]cowslipproxy.Instance{}
	for _, instance := range list.Instances {
		listed[instance.ID] = instance
		r.put(now, instance)
	}
	for id, known := range r.known {
		if _, ok := listed[id]; !ok {
			r.remove(now, known)
		}
	}
	r.dropsDeferredUntil = now.Add(list.DeferredFor)
	for _, id := range list.Deferred {
		if known, ok := r.known[id]; ok && known.Instance == listed[id] { // the server has not registered again
			r.drop(now, id)
		}
	}
	r.expire(now)
	return r.changed
}

// MarkLeaving records that an upstream, given by its incarnation, stated itself that it is
// leaving. That holds for its run, whether or not the list has its entry. It reports whether
// it was not known.
func (r *Registrar) MarkLeaving(now time.Time, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, marked := r.leaving[incarnation]
	r.markLeaving(now, incarnation)
	for id, known := range r.known {
		if known.Incarnation() != incarnation || known.State == cowslipproxy.VMLeaving {
			continue
		}
		known.State = cowslipproxy.VMLeaving
		r.known[id] = known
		r.recordChange()
		return true
	}
	return !marked
}

func (r *Registrar) markLeaving(now time.Time, incarnation string) {
	if r.leaving == nil {
		r.leaving = map[string]time.Time{}
	}
	r.leaving[incarnation] = now
}

// dropUnseen drops the entries that a complete list does not contain.
func (r *Registrar) dropUnseen(now time.Time, seen map[string]bool) {
	for id := range r.known {
		if !seen[id] {
			r.drop(now, id)
		}
	}
}

// supersedes reports whether entry a may replace b, the known entry of the same
// server: a must be at least as recent, and a server that is leaving does not
// become live again in the same run.
func (r *Registrar) supersedes(a, b cowslipproxy.Instance) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return r.startsLater(a, b)
	}
	if b.State == cowslipproxy.VMLeaving && a.State != cowslipproxy.VMLeaving {
		return false
	}
	return a.Heartbeats >= b.Heartbeats
}

// startsLater reports whether the run of entry a is later than that of b, which is another one.
// Clocks may be set back between two runs, so that a run that was not known before is later even
// if it has an earlier start time.
func (r *Registrar) startsLater(a, b cowslipproxy.Instance) bool {
	if _, isFormer := r.former[a.Incarnation()]; isFormer {
		return false
	}
	return b.StartedAt.Sub(a.StartedAt) < maxClockDifference
}

// recordFormer records that a run of a server has ended.
func (r *Registrar) recordFormer(now time.Time, ended cowslipproxy.Instance) {
	if r.former == nil {
		r.former = map[string]time.Time{}
	}
	r.former[ended.Incarnation()] = now
}

// put adds or updates an entry, unless it is older than what is known of its
// server.
func (r *Registrar) put(now time.Time, instance cowslipproxy.Instance) {
	if instance.StartedAt.Sub(now) > maxClockDifference {
		return
	}
	if _, marked := r.leaving[instance.Incarnation()]; marked {
		instance.State = cowslipproxy.VMLeaving
	}
	if instance.State == cowslipproxy.VMLeaving {
		r.markLeaving(now, instance.Incarnation())
	}
	if r.known == nil {
		r.known, r.tombstones = map[string]entry{}, map[string]tombstone{}
	}
	if tombstone, ok := r.tombstones[instance.ID]; ok {
		sameRun := instance.StartedAt.Equal(tombstone.StartedAt)
		if sameRun && instance.Heartbeats <= tombstone.Heartbeats || !sameRun && !r.startsLater(instance, tombstone.Instance) {
			return
		}
		if !sameRun {
			r.recordFormer(now, tombstone.Instance)
		}
		delete(r.tombstones, instance.ID)
	}
	old, ok := r.known[instance.ID]
	if ok && !r.supersedes(instance, old.Instance) {
		return
	}
	if ok && !instance.StartedAt.Equal(old.StartedAt) {
		r.recordFormer(now, old.Instance)
	}
	r.known[instance.ID] = entry{Instance: instance}
	instance.Heartbeats, instance.WarmUp = old.Heartbeats, old.WarmUp // ignore fields that change with each heartbeat
	if !ok || instance != old.Instance {
		r.recordChange()
	}
}

func (r *Registrar) recordChange() {
	r.changed = true
	r.version++
}

// drop removes an entry or, shortly after an outage, marks it as dropped.
func (r *Registrar) drop(now time.Time, id string) {
	old, ok := r.known[id]
	if !ok {
		return
	}
	if now.Before(r.dropsDeferredUntil) {
		if !old.dropped {
			r.version++ // other daemons need the mark to drop the entry in time themselves
		}
		old.dropped = true
		r.known[id] = old
		return
	}
	r.remove(now, old)
}

func (r *Registrar) remove(now time.Time, old entry) {
	delete(r.known, old.ID)
	r.tombstones[old.ID] = tombstone{old.Instance, now}
	r.recordChange()
}

// expire removes old tombstones, and the dropped entries whose servers did not
// register again after an outage.
func (r *Registrar) expire(now time.Time) {
	for id, tombstone := range r.tombstones {
		if now.Sub(tombstone.droppedAt) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	for incarnation, markedAt := range r.leaving {
		if now.Sub(markedAt) > leavingTTL {
			delete(r.leaving, incarnation)
		}
	}
	for incarnation, endedAt := range r.former {
		if now.Sub(endedAt) > formerTTL {
			delete(r.former, incarnation)
		}
	}
	if now.Before(r.dropsDeferredUntil) {
		return
	}
	for _, known := range r.known {
		if known.dropped {
			r.remove(now, known)
		}
	}
}

// List returns the list as another daemon needs it.
func (r *Registrar) List(now time.Time) cowslipproxy.InstanceList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := cowslipproxy.InstanceList{Instances: r.instances()}
	for id, known := range r.known {
		if known.dropped {
			list.Deferred = append(list.Deferred, id)
			list.DeferredFor = max(0, r.dropsDeferredUntil.Sub(now))
		}
	}
	slices.Sort(list.Deferred)
	return list
}

// Instances returns the known instances, sorted by ID.
func (r *Registrar) Instances() []cowslipproxy.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances()
}

func (r *Registrar) instances() []cowslipproxy.Instance {
	all := make([]cowslipproxy.Instance, 0, len(r.known))
	for _, known := range r.known {
		all = append(all, known.Instance)
	}
	slices.SortFunc(all, func(a, b cowslipproxy.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Deferred returns the number of instances that the list dropped and that are still in use.
func (r *Registrar) Deferred() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.known {
		if known.dropped {
			count++
		}
	}
	return count
}

// Version returns a number that changes whenever an instance is added, removed
// or changed, or its removal is deferred.
func (r *Registrar) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
