// Package registrar decides which upstream instances may get new work, from the
// platform's list and its changes. It starts no goroutine and reads no clock.
package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// settle is how long after an outage of the list a dropped entry may come back,
// by the platform's protocol about two seconds.
const settle = 2200 * time.Millisecond

// Registrar folds the list's changes. It is safe for concurrent use.
type Registrar struct {
	mu      sync.Mutex
	known   map[string]entry
	blind   bool      // the last read failed
	settled time.Time // when drops count at once again
	version uint64
}

type entry struct {
	cowslipproxy.Instance
	dropped time.Time // when the list dropped it during or after an outage; zero if it didn't
}

// Failed takes in that the list could not be read.
func (r *Registrar) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blind = true
}

// Fold takes in what was read of the list and reports whether anything
// changed. Entries that were dropped while the list was out stay in use until
// their servers had the time to register again.
func (r *Registrar) Fold(now time.Time, changes cowslipproxy.Changes[cowslipproxy.Instance]) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil {
		r.known = map[string]entry{}
	}
	if r.blind {
		r.blind = false
		r.settled = now.Add(settle)
	}
	changed := false
	seen := map[string]bool{}
	for _, item := range changes.Items {
		seen[item.Key] = true
		switch {
		case item.Gone || item.Err != nil:
			changed = r.drop(now, item.Key) || changed
		default:
			changed = r.put(item.Value) || changed
		}
	}
	if changes.Whole {
		for id := range r.known {
			if !seen[id] {
				changed = r.drop(now, id) || changed
			}
		}
	}
	return r.expire(now) || changed
}

func (r *Registrar) put(instance cowslipproxy.Instance) bool {
	old, ok := r.known[instance.ID]
	if ok && instance.Born.Before(old.Born) {
		return false // a late entry of a former run
	}
	r.known[instance.ID] = entry{Instance: instance}
	same := ok && old.dropped.IsZero() && old.Address == instance.Address && old.State == instance.State &&
		old.Range == instance.Range && old.Born.Equal(instance.Born) && old.Service == instance.Service
	if !same {
		r.version++
	}
	return !same
}

func (r *Registrar) drop(now time.Time, id string) bool {
	old, ok := r.known[id]
	if !ok {
		return false
	}
	if !now.Before(r.settled) {
		delete(r.known, id)
		r.version++
		return true
	}
	if old.dropped.IsZero() {
		old.dropped = now
		r.known[id] = old
	}
	return false
}

// expire forgets entries that didn't come back after an outage.
func (r *Registrar) expire(now time.Time) bool {
	if now.Before(r.settled) {
		return false
	}
	changed := false
	for id, known := range r.known {
		if !known.dropped.IsZero() {
			delete(r.known, id)
			r.version++
			changed = true
		}
	}
	return changed
}

// Instances returns the known instances by id.
func (r *Registrar) Instances() []cowslipproxy.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]cowslipproxy.Instance, 0, len(r.known))
	for _, known := range r.known {
		all = append(all, known.Instance)
	}
	slices.SortFunc(all, func(a, b cowslipproxy.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Version changes whenever an instance comes, goes or changes.
func (r *Registrar) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
