// Package allocator limits the memory that the buffered messages of all requests take
// together. It starts no goroutine.
package allocator

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrExhausted is returned when the memory is in use by smaller or equally large
// messages.
var ErrExhausted = errors.New("the memory for messages is exhausted")

// smallMessage is the size in bytes up to which a message is not counted. Small
// messages are bounded by the number of connections.
const smallMessage = 16 << 10

// maxDropWait bounds the wait for the memory of dropped messages. One whose event is being written
// to a slow caller may hold it for longer.
const maxDropWait = 500 * time.Millisecond

// Allocator is the memory for messages. When it is exhausted, the largest message that
// can be dropped makes room, so that messages without end do not displace others. It
// is safe for concurrent use.
type Allocator struct {
	Limit int64 // bytes

	mu       sync.Mutex
	released chan struct{} // closed when an allocation is released or dropped; nil if none waits
	used     int64
	dropping int64                    // part of used that dropped allocations hold until they are released
	held     map[*Allocation]struct{} // allocations that are counted
}

// Allocation is the memory of one message. It must be released.
type Allocation struct {
	allocator *Allocator
	drop      func()
	size      int64
	dropped   bool
}

// Open returns an allocation without memory. The function drop ends the receipt of the
// message when its memory is needed for others, which wait until the allocation is released; nil
// means that the message must not be dropped. It is called at most once.
func (a *Allocator) Open(drop func()) *Allocation { return &Allocation{allocator: a, drop: drop} }

// Resize changes the size of an allocation. It waits for the memory of messages that it drops.
// After an error, the size is unchanged.
func (l *Allocation) Resize(size int64) error {
	a := l.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	var deadline <-chan time.Time
	for !l.dropped && size > smallMessage && a.used-l.counted()+size > a.Limit {
		if a.used-a.dropping-l.counted()+size <= a.Limit {
			if deadline == nil {
				deadline = time.After(maxDropWait)
			}
			if !a.wait(deadline) {
				return errors.WithStack(ErrExhausted)
			}
			continue
		}
		victim := a.largest(size)
		if victim == nil || victim == l {
			return errors.WithStack(ErrExhausted)
		}
		a.end(victim)
	}
	if l.dropped {
		return errors.WithStack(ErrExhausted)
	}
	a.remove(l)
	l.size = size
	a.add(l)
	return nil
}

// wait waits until an allocation is released or dropped, and reports whether one was before the
// deadline. The caller holds the lock.
func (a *Allocator) wait(deadline <-chan time.Time) bool {
	if a.released == nil {
		a.released = make(chan struct{})
	}
	released := a.released
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-released:
		return true
	case <-deadline:
		return false
	}
}

// signal ends the current waits. The caller holds the lock.
func (a *Allocator) signal() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// end drops an allocation. The caller holds the lock, which is free while the receipt is ended.
func (a *Allocator) end(victim *Allocation) {
	victim.dropped = true
	a.dropping += victim.counted()
	a.signal()
	a.mu.Unlock()
	defer a.mu.Lock()
	victim.drop()
}

// Keep excludes the message from being dropped. An earlier drop stays in effect.
func (l *Allocation) Keep() {
	l.allocator.mu.Lock()
	defer l.allocator.mu.Unlock()
	l.drop = nil
}

// Release ends the use of the memory.
func (l *Allocation) Release() {
	l.allocator.mu.Lock()
	defer l.allocator.mu.Unlock()
	if l.dropped {
		l.allocator.dropping -= l.counted()
	}
	l.allocator.remove(l)
	l.size, l.dropped = 0, true
	l.allocator.signal()
}

// Used returns the number of bytes in use.
func (a *Allocator) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// counted returns the part of the size that counts towards the limit.
func (l *Allocation) counted() int64 {
	if _, held := l.allocator.held[l]; held {
		return l.size
	}
	return 0
}

func (a *Allocator) add(l *Allocation) {
	if l.size <= smallMessage {
		return
	}
	if a.held == nil {
		a.held = map[*Allocation]struct{}{}
	}
	a.held[l] = struct{}{}
	a.used += l.size
}

func (a *Allocator) remove(l *Allocation) {
	a.used -= l.counted()
	delete(a.held, l)
}

// largest returns the largest allocation that can be dropped for one of the given size,
// or nil if none is larger.
func (a *Allocator) largest(size int64) (found *Allocation) {
	for l := range a.held {
		if l.drop != nil && !l.dropped && l.size > size && (found == nil || l.size > found.size) {
			found = l
		}
	}
	return found
}
