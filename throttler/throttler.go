// Package throttler bounds how many requests of a daemon wait for the first
// event of their answer. Engines share their reading among all prompts that
// they have, so that beyond some number none is read in time: callers leave and
// come again, and the overload keeps itself up. Requests beyond the bound wait
// in the daemon, and are refused when they could not be served before their
// callers leave. The package starts no goroutine and reads no clock.
package throttler

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// initialLimit is the bound of a new daemon. A site's 15 daemons, all started
	// anew, may then send 90 prompts at once: 18 to each of the five whole chains
	// that its engines hold.
	initialLimit = 6.0
	// leastLimit lets a daemon notice that engines answer in time again.
	leastLimit = 1.0
	// mostLimit bounds what a daemon sends at once before it learns of an overload.
	mostLimit = 64.0
	// shrink is the part of the bound that is left after late first events, at
	// most once in Aim, since events of the same time tell of the same overload.
	shrink = 0.7
	// smoothing is the weight of a new time to the first event in the mean.
	smoothing = 0.1
)

// Throttler bounds the requests of one service. It is safe for concurrent use.
type Throttler struct {
	mu     sync.Mutex
	limit  float64
	active int       // requests at engines without a first event
	mean   float64   // seconds from the start at engines to the first event
	shrunk time.Time // when the bound was last lowered
	queue  queue
	count  uint64 // requests that entered
}

// Place is a request's place among those that wait. Ready is closed when the
// request may go to engines.
type Place struct {
	Ready chan struct{}

	priority int
	number   uint64
	index    int // in the queue; -1 outside
	granted  bool
	started  time.Time // when it was first sent to an engine
	done     bool
}

// Bounds are what a route asks of its requests.
type Bounds struct {
	Aim      time.Duration // first events that take longer show an overload
	Patience time.Duration // how long a request may wait in the daemon
}

// Enter gives a request a place, or returns how long the requests that wait
// already will take if that is over the patience. A smaller priority goes first.
// A request whose caller has a part of the answer goes at once.
func (t *Throttler) Enter(bounds Bounds, priority int, begun bool) (*Place, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit == 0 {
		t.limit = initialLimit
	}
	t.count++
	place := &Place{Ready: make(chan struct{}), priority: priority, number: t.count, index: -1}
	if begun || len(t.queue) == 0 && float64(t.active) < t.limit {
		t.grant(place)
		return place, 0
	}
	if wait := t.wait(priority); wait > bounds.Patience {
		return nil, wait
	}
	heap.Push(&t.queue, place)
	return place, 0
}

// wait estimates how long a request of a priority would stay in the queue.
func (t *Throttler) wait(priority int) time.Duration {
	ahead := 1
	for _, place := range t.queue {
		if place.priority <= priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead) * t.mean / t.limit * float64(time.Second))
}

// Start takes in that a request is sent to an engine. Waits for layers to be
// loaded come before it and don't count.
func (t *Throttler) Start(now time.Time, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.started.IsZero() {
		place.started = now
	}
}

// First takes in the first event of a request.
func (t *Throttler) First(now time.Time, bounds Bounds, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.end(place) {
		return
	}
	took := now.Sub(place.started)
	if t.mean == 0 {
		t.mean = took.Seconds()
	}
	t.mean += smoothing * (took.Seconds() - t.mean)
	if took > bounds.Aim {
		t.lower(now, bounds)
	} else if float64(t.active+1) >= t.limit/2 {
		t.limit = min(t.limit+1/t.limit, mostLimit)
	}
	t.release()
}

// Leave takes in that a request ended without an event.
func (t *Throttler) Leave(now time.Time, bounds Bounds, place *Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if place.index >= 0 {
		heap.Remove(&t.queue, place.index)
		place.done = true
		return
	}
	if !t.end(place) {
		return
	}
	if !place.started.IsZero() && now.Sub(place.started) > bounds.Aim {
		t.lower(now, bounds)
	}
	t.release()
}

// Limit returns the bound, and how many requests wait at engines and here.
func (t *Throttler) Limit() (limit float64, active, queued int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit, t.active, len(t.queue)
}

func (t *Throttler) end(place *Place) bool {
	if place.done || !place.granted {
		return false
	}
	place.done = true
	t.active--
	return true
}

func (t *Throttler) lower(now time.Time, bounds Bounds) {
	if now.Sub(t.shrunk) < bounds.Aim {
		return
	}
	t.limit, t.shrunk = max(t.limit*shrink, leastLimit), now
}

func (t *Throttler) release() {
	for len(t.queue) > 0 && float64(t.active) < t.limit {
		t.grant(heap.Pop(&t.queue).(*Place))
	}
}

func (t *Throttler) grant(place *Place) {
	place.granted = true
	t.active++
	close(place.Ready)
}

// queue orders places by priority and then by their arrival.
type queue []*Place

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].number < q[j].number
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
