// Package throttler limits how many requests of a daemon wait for the first
// event of their response. Engines share prefill throughput among all their
// prompts, so beyond some number of prompts none finishes in time: callers
// disconnect and retry, and the overload sustains itself. Requests beyond the
// limit queue in the daemon. A request is rejected if it could not be served
// before its caller disconnects. The package starts no goroutine and does not
// read the clock.
package throttler

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// initialLimit is the limit of a new daemon. If the 15 daemons of a site restart
	// together, they may send 90 prompts at once: 18 to each of the five complete
	// chains that its engines hold.
	initialLimit = 6.0
	// minLimit is the lowest limit. It lets a daemon notice that engines respond in
	// time again.
	minLimit = 1.0
	// maxLimit bounds the requests that a daemon sends before it detects an overload.
	maxLimit = 64.0
	// backoffFactor is the multiplicative decrease of the limit after late first
	// events. It is applied at most once per FirstEventTarget, since late events
	// within that time are caused by the same overload.
	backoffFactor = 0.7
	// smoothing is the weight of a new sample in the moving average of the time
	// to the first event.
	smoothing = 0.1
)

// Throttler limits the requests of one service. It is safe for concurrent use.
type Throttler struct {
	mu             sync.Mutex
	limit          float64   // requests are admitted while active is below it; 0 before the first request
	active         int       // admitted requests without a first event
	meanFirstEvent float64   // average seconds from the start at an engine to the first event
	loweredAt      time.Time // when the limit was last lowered
	queue          queue
	sequence       uint64 // arrival number of the latest request
}

// Place tracks a request from its arrival to its first event. Ready is closed
// when the request may be sent to an engine.
type Place struct {
	Ready chan struct{}

	priority int
	arrival  uint64
	index    int // in the queue; -1 if not queued
	admitted bool
	started  time.Time // when it was first sent to an engine
	ended    bool
	excluded bool
}

// Bounds are the latency limits that a route sets for its requests.
type Bounds struct {
	FirstEventTarget time.Duration // time to the first event; a longer one indicates an overload
	MaxQueueTime     time.Duration // longest time that a request may wait in the queue
}

// Enter admits or enqueues a request. If the expected wait exceeds MaxQueueTime, it
// returns nil and the expected wait. A lower priority value goes first. A request
// whose response has begun is admitted at once.
func (t *Throttler) Enter(bounds Bounds, priority int, hasResponse bool) (*Place, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit == 0 {
		t.limit = initialLimit
	}
	t.sequence++
	place := &Place{Ready: make(chan struct{}), priority: priority, arrival: t.sequence, index: -1}
	if hasResponse || len(t.queue) == 0 && float64(t.active) < t.limit {
		t.admit(place)
		return place, 0
	}
	if expectedWait := t.expectedWait(priority); expectedWait > bounds.MaxQueueTime {
		return nil, expectedWait
	}
	heap.Push(&t.queue, place)
	return place, 0
}

// expectedWait estimates how long a new request of the given priority would
// stay in the queue.
func (t *Throttler) expectedWait(priority int) time.Duration {
	ahead := 1
	for _, place := range t.queue {
		if place.priority <= priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead) * t.meanFirstEvent / t.limit * float64(time.Second))
}

// Start records that a request is sent to an engine. The time that it waited for
// layers to be loaded before that does not count as engine latency.
func (t *Throttler) Start(now time.Time, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.started.IsZero() {
		place.started = now
	}
}

// Exclude excludes a request from the estimate of the load, since its time to the first event has a
// known cause other than load.
func (t *Throttler) Exclude(place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	place.excluded = true
}

// FirstEvent records the first event of a request.
func (t *Throttler) FirstEvent(now time.Time, bounds Bounds, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.end(place) {
		return
	}
	if place.excluded {
		t.admitQueued()
		return
	}
	elapsed := now.Sub(place.started)
	if t.meanFirstEvent == 0 {
		t.meanFirstEvent = elapsed.Seconds()
	}
	t.meanFirstEvent += smoothing * (elapsed.Seconds() - t.meanFirstEvent)
	if elapsed > bounds.FirstEventTarget {
		t.lowerLimit(now, bounds)
	} else if float64(t.active+1) >= t.limit/2 {
		t.limit = min(t.limit+1/t.limit, maxLimit)
	}
	t.admitQueued()
}

// Leave records that a request ended, in the queue or at an engine. It has no
// effect after the first event of the request.
func (t *Throttler) Leave(now time.Time, bounds Bounds, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.index >= 0 {
		heap.Remove(&t.queue, place.index)
		place.ended = true
		return
	}
	if !t.end(place) {
		return
	}
	if !place.excluded && !place.started.IsZero() && now.Sub(place.started) > bounds.FirstEventTarget {
		t.lowerLimit(now, bounds)
	}
	t.admitQueued()
}

// Limit returns the limit, the number of admitted requests without a first
// event, and the length of the queue.
func (t *Throttler) Limit() (limit float64, active, queued int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit, t.active, len(t.queue)
}

// end ends the wait of an admitted request for its first event, and reports
// whether it was still waiting.
func (t *Throttler) end(place *Place) bool {
	if place.ended || !place.admitted {
		return false
	}
	place.ended = true
	t.active--
	return true
}

// lowerLimit lowers the limit, unless it was lowered within FirstEventTarget.
func (t *Throttler) lowerLimit(now time.Time, bounds Bounds) {
	if now.Sub(t.loweredAt) < bounds.FirstEventTarget {
		return
	}
	t.limit, t.loweredAt = max(t.limit*backoffFactor, minLimit), now
}

func (t *Throttler) admitQueued() {
	for len(t.queue) > 0 && float64(t.active) < t.limit {
		t.admit(heap.Pop(&t.queue).(*Place))
	}
}

func (t *Throttler) admit(place *Place) {
	place.admitted = true
	t.active++
	close(place.Ready)
}

// queue orders places by priority, then by arrival.
type queue []*Place

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	place := x.(*Place)
	place.index = len(*q)
	*q = append(*q, place)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	place := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	place.index = -1
	return place
}
