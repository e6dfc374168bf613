package limiter

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Queue.
const (
	DefaultUnits = 16.0
	DefaultFloor = 0.1 // section 8 of the design
	DefaultBound = 256 // bounds the cost of a decision, which walks one class
)

// Request is a request that asks for admission.
type Request struct {
	Customer cowslipproxy.Customer
	Content  uint64    // hash of the content, by which a returning request is known; zero books nothing
	Tokens   int       // estimate: prompt and longest answer
	Units    float64   // units in flight while it runs, 1 when zero
	Deadline time.Time // when the answer has to be whole
}

// Ticket is a request that runs or waits.
type Ticket struct {
	Request
	level   int // index of the class, the most important is 0
	running bool
	booked  bool // came when it was told
}

func (t *Ticket) units() float64 { return or(t.Units, 1) }

// Change tells that a request stopped waiting.
type Change struct {
	Ticket  *Ticket
	Failure *cowslipproxy.Failure // nil when granted
}

// Queue admits requests to one deployment. Requests wait in a bounded line for
// each class. The most important class goes first, and in a class the earliest
// deadline. Each class leaves a part of the work to the classes below it.
type Queue struct {
	Units float64       // units in flight at the start
	Least float64       // fewest units
	Most  float64       // most units
	Pace  time.Duration // time in flight for one token of an answer up to which units grow; zero keeps units fixed
	Rate  float64       // tokens per second at the start; zero when unknown
	Floor float64       // part of the work for the classes below
	Bound int           // waiting requests in each class

	mutex sync.Mutex
	meter meter
	lines [levels]line
}

// Enter decides on a request. It runs at once, waits for a Change that grants or
// refuses it, or is refused.
func (q *Queue) Enter(now time.Time, request Request) (ticket *Ticket, running bool, failure *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	t := &Ticket{Request: request, level: levelOf(request.Customer.Class)}
	if failure := q.late(now, t); failure != nil {
		return nil, false, failure
	}
	if q.waiting(0) == 0 && q.meter.fits(t) {
		q.lines[t.level].arrive(t.key())
		q.grant(t)
		return t, true, nil
	}
	line := &q.lines[t.level]
	t.booked = line.due(now, t)
	index, ahead := line.position(t, &q.meter)
	if !t.booked && len(line.tickets) > 0 {
		ahead += line.expected()
	}
	wait := q.wait(t.level, ahead+q.meter.work(t))
	if len(line.tickets) >= or(q.Bound, DefaultBound) || q.misses(now, t, wait) {
		return nil, false, q.overloaded(now, t)
	}
	line.arrive(t.key())
	line.insert(index, t, &q.meter)
	return t, false, nil
}

// Token observes tokens of answers that the deployment computed.
func (q *Queue) Token(now time.Time, tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	q.meter.tokens += float64(tokens)
	q.meter.made += float64(tokens)
}

// Prompt observes prompt tokens that the deployment computed. They count as work
// but not towards Pace, since a prompt's tokens are computed together.
func (q *Queue) Prompt(now time.Time, tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	q.meter.tokens += float64(tokens)
}

// Leave ends a request, whether it ran or still waits, and returns what changed
// for others. It is called once for each ticket whose request wasn't refused.
func (q *Queue) Leave(now time.Time, ticket *Ticket, used int) []Change {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	if ticket.running {
		ticket.running = false
		q.meter.end(ticket, used)
	} else {
		q.lines[ticket.level].remove(ticket, &q.meter)
	}
	return q.schedule(now, nil)
}

// Expire refuses the requests that can't meet their deadline any more, and
// grants others if units are free. It is meant to be called many times a second.
func (q *Queue) Expire(now time.Time) []Change {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	var changes []Change
	for level := range q.lines {
		changes = q.expire(now, level, changes)
	}
	return q.schedule(now, changes)
}

func (q *Queue) expire(now time.Time, level int, changes []Change) []Change {
	line := &q.lines[level]
	kept, ahead := line.tickets[:0], 0.0
	for _, t := range line.tickets {
		work := q.meter.work(t)
		failure := q.late(now, t)
		if failure == nil && q.misses(now, t, q.wait(level, ahead+work)) {
			failure = q.overloaded(now, t)
		}
		if failure != nil {
			changes = append(changes, Change{t, failure})
			continue
		}
		kept, ahead = append(kept, t), ahead+work
	}
	clear(line.tickets[len(kept):])
	line.tickets, line.work = kept, ahead
	return changes
}

// schedule grants waiting requests while units are free.
func (q *Queue) schedule(now time.Time, changes []Change) []Change {
	for {
		level := q.next(0)
		if level < 0 {
			return changes
		}
		t := q.lines[level].tickets[0]
		if failure := q.late(now, t); failure != nil {
			q.lines[level].remove(t, &q.meter)
			changes = append(changes, Change{t, failure})
			continue
		}
		if !q.meter.fits(t) {
			return changes
		}
		q.lines[level].remove(t, &q.meter)
		q.grant(t)
		changes = append(changes, Change{t, nil})
	}
}

// next returns the class to grant from, among this level and those below it.
func (q *Queue) next(level int) int {
	if level == levels {
		return -1
	}
	line := &q.lines[level]
	below := q.next(level + 1)
	if len(line.tickets) == 0 {
		return below
	}
	if below >= 0 && line.owed > 0 {
		return below
	}
	return level
}

// grant starts a request and accounts for the floor: a class that runs while
// lower ones wait owes them a part of its work.
func (q *Queue) grant(t *Ticket) {
	work, floor := q.meter.work(t), q.floor()
	q.lines[t.level].granted += work
	for level := range t.level {
		q.lines[level].owed = max(q.lines[level].owed-work, -work)
	}
	if q.waiting(t.level+1) > 0 {
		q.lines[t.level].owed += work * floor / (1 - floor)
	}
	t.running = true
	q.meter.begin(t)
}

func (q *Queue) waiting(level int) (tickets int) {
	for ; level < levels; level++ {
		tickets += len(q.lines[level].tickets)
	}
	return tickets
}

func (q *Queue) floor() float64 { return or(q.Floor, DefaultFloor) }

func (q *Queue) advance(now time.Time) {
	if elapsed := q.meter.advance(now, q); elapsed > 0 {
		for level := range q.lines {
			q.lines[level].measure(elapsed)
		}
	}
	for level := range q.lines {
		line := &q.lines[level]
		line.forget(now)
		if line.owed != 0 && q.waiting(level+1) == 0 {
			line.owed = 0
		}
	}
}

func levelOf(class cowslipproxy.Class) int { return levels - 1 - class.Priority() }
