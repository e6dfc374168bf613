// Package allocator limits the memory that the buffered messages of all requests take
// together. It starts no goroutine.
package allocator

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrExhausted is returned when the memory is in use by smaller or equally large
// messages.
var ErrExhausted = errors.New("the memory for messages is exhausted")

// smallMessage is the size in bytes up to which a message is not counted. Small
// messages are bounded by the number of connections.
const smallMessage = 16 << 10

// Allocator is the memory for messages. When it is exhausted, the largest message that
// can be dropped makes room, so that messages without end do not displace others. It
// is safe for concurrent use.
type Allocator struct {
	Limit int64 // bytes

	mu   sync.Mutex
	used int64
	held map[*Allocation]struct{} // allocations that are counted
}

// Allocation is the memory of one message. It must be released.
type Allocation struct {
	allocator *Allocator
	drop      func()
	size      int64
	dropped   bool
}

// Open returns an allocation without memory. The function drop ends the receipt of the
// message when its memory is needed for others; nil means that the message must not be
// dropped. It is called at most once.
func (a *Allocator) Open(drop func()) *Allocation { return &Allocation{allocator: a, drop: drop} }

// Resize changes the size of an allocation. After an error, the size is unchanged.
func (l *Allocation) Resize(size int64) error {
	var drops []func()
	defer func() {
		for _, drop := range drops {
			drop()
		}
	}()
	a := l.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.dropped {
		return errors.WithStack(ErrExhausted)
	}
	for size > smallMessage && a.used-l.counted()+size > a.Limit {
		victim := a.largest(size)
		if victim == nil || victim == l {
			return errors.WithStack(ErrExhausted)
		}
		a.remove(victim)
		victim.dropped = true
		drops = append(drops, victim.drop)
	}
	a.remove(l)
	l.size = size
	a.add(l)
	return nil
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
	l.allocator.remove(l)
	l.size, l.dropped = 0, true
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
		if l.drop != nil && l.size > size && (found == nil || l.size > found.size) {
			found = l
		}
	}
	return found
}
