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

const (
	// settle is how long after an outage of the list a dropped entry may come
	// back, by the platform's protocol about two seconds.
	settle = 2200 * time.Millisecond
	// remember is how long a dropped entry is remembered, so that an older list
	// doesn't bring it back.
	remember = 30 * time.Second
)

// Registrar folds the list's changes. It is safe for concurrent use.
type Registrar struct {
	mu      sync.Mutex
	known   map[string]entry
	gone    map[string]tomb
	blind   bool      // the last read failed
	settled time.Time // when drops count at once again
	version uint64
}

type entry struct {
	cowslipproxy.Instance
	missing bool // the list dropped it during or just after an outage
}

// tomb is an entry that the list dropped.
type tomb struct {
	cowslipproxy.Instance
	at time.Time
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
	if r.blind {
		r.blind = false
		r.settled = now.Add(settle)
	}
	before := r.version
	seen := map[string]bool{}
	for _, item := range changes.Items {
		seen[item.Key] = true
		if item.Gone || item.Err != nil {
			r.drop(now, item.Key)
		} else {
			r.put(item.Value)
		}
	}
	if changes.Whole {
		r.dropOthers(now, seen)
	}
	r.expire(now)
	return r.version != before
}

// Replace takes in the whole list as another daemon holds it.
func (r *Registrar) Replace(now time.Time, instances []cowslipproxy.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.version
	seen := map[string]bool{}
	for _, instance := range instances {
		seen[instance.ID] = true
		r.put(instance)
	}
	r.settled = time.Time{}
	r.dropOthers(now, seen)
	r.expire(now)
	return r.version != before
}

func (r *Registrar) dropOthers(now time.Time, seen map[string]bool) {
	for id := range r.known {
		if !seen[id] {
			r.drop(now, id)
		}
	}
}

// newer reports whether a says more of its server than b. A server that leaves
// doesn't come back in the same run.
func newer(a, b cowslipproxy.Instance) bool {
	if !a.Born.Equal(b.Born) {
		return a.Born.After(b.Born)
	}
	if b.State == cowslipproxy.VMLeaving && a.State != cowslipproxy.VMLeaving {
		return false
	}
	return a.Beat >= b.Beat
}

func (r *Registrar) put(instance cowslipproxy.Instance) {
	if r.known == nil {
		r.known, r.gone = map[string]entry{}, map[string]tomb{}
	}
	if tomb, ok := r.gone[instance.ID]; ok {
		if instance.Born.Equal(tomb.Born) && instance.Beat <= tomb.Beat || instance.Born.Before(tomb.Born) {
			return
		}
		delete(r.gone, instance.ID)
	}
	old, ok := r.known[instance.ID]
	if ok && !newer(instance, old.Instance) {
		return
	}
	r.known[instance.ID] = entry{Instance: instance}
	instance.Beat, instance.Cold = old.Beat, old.Cold // change with each heartbeat
	if !ok || instance != old.Instance {
		r.version++
	}
}

func (r *Registrar) drop(now time.Time, id string) {
	old, ok := r.known[id]
	if !ok {
		return
	}
	if now.Before(r.settled) {
		old.missing = true
		r.known[id] = old
		return
	}
	r.forget(now, old)
}

func (r *Registrar) forget(now time.Time, old entry) {
	delete(r.known, old.ID)
	r.gone[old.ID] = tomb{old.Instance, now}
	r.version++
}

// expire forgets entries that didn't come back after an outage.
func (r *Registrar) expire(now time.Time) {
	for id, tomb := range r.gone {
		if now.Sub(tomb.at) > remember {
			delete(r.gone, id)
		}
	}
	if now.Before(r.settled) {
		return
	}
	for _, known := range r.known {
		if known.missing {
			r.forget(now, known)
		}
	}
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
