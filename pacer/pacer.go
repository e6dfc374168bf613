// Package pacer limits how many streams of a daemon are moved to other engines at a time. When
// engines fail, all streams that cross them need substitutes, which share their prefill
// throughput among all prompts: if all streams moved at once, most of them would continue only
// after their callers have disconnected. Streams beyond the limit wait, the most urgent ones go
// first. The package starts no goroutine and does not read the clock.
package pacer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// initialLimit is the limit of a daemon that has moved no stream yet.
	initialLimit = 2.0
	// minLimit and maxLimit bound the limit.
	minLimit = 1.0
	maxLimit = 32.0
	// backoffFactor is the multiplicative decrease of the limit after a slow move, at most once
	// per moveTarget.
	backoffFactor = 0.5
	// moveTarget is the time within which a moved stream should continue. A longer one shows
	// that the substitutes have more to prefill than they can.
	moveTarget = 300 * time.Millisecond
)

// Pacer limits the moves of one service. It is safe for concurrent use.
type Pacer struct {
	mu        sync.Mutex
	limit     float64 // 0 before the first move
	active    int
	loweredAt time.Time
	waiting   []*Move
	sequence  uint64
}

// Move is a stream that has to be moved, from the failure to the next event.
type Move struct {
	priority int       // 0 is the highest
	deadline time.Time // when its caller disconnects
	sequence uint64
	start    func()
	admitted time.Time // zero while it waits
	ended    bool
}

// Enter admits a move or lets it wait. It reports whether the move may begin now; otherwise start
// is called when it may. Start must not block.
func (p *Pacer) Enter(now time.Time, priority int, deadline time.Time, start func()) (move *Move, admitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		p.limit = initialLimit
	}
	p.sequence++
	move = &Move{priority: priority, deadline: deadline, sequence: p.sequence, start: start}
	if float64(p.active) < p.limit {
		p.admit(now, move)
		return move, true
	}
	p.waiting = append(p.waiting, move)
	return move, false
}

// IsAdmitted reports whether a move may begin.
func (p *Pacer) IsAdmitted(move *Move) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !move.admitted.IsZero()
}

// Continued records that a moved stream got its next event.
func (p *Pacer) Continued(now time.Time, move *Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if move.ended {
		return
	}
	if !move.admitted.IsZero() && now.Sub(move.admitted) <= moveTarget {
		p.limit = min(p.limit+1/p.limit, maxLimit)
	}
	p.end(now, move)
}

// Leave records that a stream ended or is not moved after all.
func (p *Pacer) Leave(now time.Time, move *Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !move.ended {
		p.end(now, move)
	}
}

// Limit returns the limit and the numbers of moves in progress and waiting.
func (p *Pacer) Limit() (limit float64, active, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit, p.active, len(p.waiting)
}

// end ends a move and admits those that wait. The caller holds the lock.
func (p *Pacer) end(now time.Time, move *Move) {
	move.ended = true
	if move.admitted.IsZero() {
		p.waiting = slices.DeleteFunc(p.waiting, func(other *Move) bool { return other == move })
		return
	}
	p.active--
	if now.Sub(move.admitted) > moveTarget && now.Sub(p.loweredAt) > moveTarget {
		p.limit, p.loweredAt = max(p.limit*backoffFactor, minLimit), now
	}
	for len(p.waiting) > 0 && float64(p.active) < p.limit {
		next := p.mostUrgent(now)
		p.waiting = slices.DeleteFunc(p.waiting, func(other *Move) bool { return other == next })
		p.admit(now, next)
		next.start()
	}
}

// admit admits a move. The caller holds the lock.
func (p *Pacer) admit(now time.Time, move *Move) {
	move.admitted = now
	p.active++
}

// mostUrgent returns the waiting move to admit next: by priority, then by the time at which the
// caller disconnects. Streams that can't continue before that go last. The caller holds the lock.
func (p *Pacer) mostUrgent(now time.Time) *Move {
	return slices.MinFunc(p.waiting, func(a, b *Move) int {
		return cmp.Or(
			cmp.Compare(a.tooLate(now), b.tooLate(now)),
			cmp.Compare(a.priority, b.priority),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.sequence, b.sequence),
		)
	})
}

// tooLate returns 1 if the stream can't continue before its caller disconnects, and 0 otherwise.
func (m *Move) tooLate(now time.Time) int {
	if m.deadline.Sub(now) < moveTarget/2 {
		return 1
	}
	return 0
}
