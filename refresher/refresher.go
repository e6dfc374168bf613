// Package refresher sets a copy of a state that several goroutines change, so that an older
// copy never replaces a newer one. It starts no goroutine and does not read the clock.
package refresher

import (
	"sync"
	"sync/atomic"
)

// Refresher is the only writer of a copy of a state. Its exported fields are set before the
// first use. It is safe for concurrent use.
type Refresher[T any] struct {
	Take func() T      // returns the current state
	Set  func(state T) // replaces the copy; calls do not overlap

	requested atomic.Uint64 // number of calls of Refresh
	mu        sync.Mutex    // held from Take to the end of Set
	covered   uint64        // calls of Refresh whose changes the copy contains
}

// Refresh sets a copy of the state that was taken after the call began. Calls that wait for
// the same copy share it.
func (r *Refresher[T]) Refresh() {
	number := r.requested.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.covered >= number {
		return
	}
	covered := r.requested.Load()
	r.Set(r.Take())
	r.covered = covered
}
