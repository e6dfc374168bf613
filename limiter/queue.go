package limiter

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Queue.
const (
	DefaultUnits      = 16.0
	DefaultFloor      = 0.1 // from section 8 of the design
	DefaultMaxWaiting = 256 // limits the cost of a decision, which is linear in the requests of one class
)

// Request is a request for admission.
type Request struct {
	Customer cowslipproxy.Customer
	Content  uint64    // hash of the content, which identifies a retried request; a request with zero gets no booking
	Tokens   int       // estimated tokens of the prompt and the longest response
	Units    float64   // capacity units that it occupies while it runs; 0 means 1
	Deadline time.Time // when the response must be complete
}

// Ticket is a request that is running or waiting.
type Ticket struct {
	Request
	level   int // index of the class; 0 is the highest class
	running bool
	booked  bool // retried after its Retry-After had passed
}

func (t *Ticket) units() float64 { return orDefault(t.Units, 1) }

// Decision ends the wait of a request.
type Decision struct {
	Ticket  *Ticket
	Failure *cowslipproxy.Failure // nil if the request was granted
}

// Queue admits requests to one deployment. Each class has a bounded queue. Higher
// classes are served first, and within a class the earliest deadline. Each class
// leaves a part of the work to the classes below it.
type Queue struct {
	Units        float64       // initial limit of the units in flight
	MinUnits     float64       // lower bound of the limit
	MaxUnits     float64       // upper bound of the limit; zero means none
	MaxTokenTime time.Duration // time in flight per output token up to which the limit grows; zero keeps the limit fixed
	Rate         float64       // initial tokens per second; zero if unknown
	Floor        float64       // part of the work that each class leaves to lower classes
	MaxWaiting   int           // maximum number of waiting requests per class

	mutex   sync.Mutex
	meter   meter
	classes [levels]classQueue
}

// Enter decides on a request: the request starts at once, waits until a Decision
// grants or refuses it, or is refused.
func (q *Queue) Enter(now time.Time, request Request) (ticket *Ticket, running bool, failure *cowslipproxy.Failure) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	t := &Ticket{Request: request, level: levelOf(request.Customer.Class)}
	if failure := q.checkDeadline(now, t); failure != nil {
		return nil, false, failure
	}
	if q.waiting(0) == 0 && q.meter.fits(t) {
		q.classes[t.level].useBooking(t.bookingKey())
		q.grant(t)
		return t, true, nil
	}
	class := &q.classes[t.level]
	t.booked = class.hasDueBooking(now, t)
	index, ahead := class.position(t, &q.meter)
	if !t.booked && len(class.tickets) > 0 {
		ahead += class.expectedBookedWork()
	}
	delay := q.delay(t.level, ahead+q.meter.work(t))
	if len(class.tickets) >= orDefault(q.MaxWaiting, DefaultMaxWaiting) || q.missesDeadline(now, t, delay) {
		return nil, false, q.overloaded(now, t)
	}
	class.useBooking(t.bookingKey())
	class.insert(index, t, &q.meter)
	return t, false, nil
}

// Token records output tokens that the deployment generated.
func (q *Queue) Token(now time.Time, tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	q.meter.tokens += float64(tokens)
	q.meter.outputTokens += float64(tokens)
}

// Prompt records prompt tokens that the deployment processed. They count as work
// but not towards MaxTokenTime, since the tokens of a prompt are computed in
// parallel.
func (q *Queue) Prompt(now time.Time, tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	q.meter.tokens += float64(tokens)
}

// Leave ends a running or waiting request and returns the decisions on other
// requests. It is called once for each ticket whose request was not refused.
func (q *Queue) Leave(now time.Time, ticket *Ticket, used int) []Decision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	if ticket.running {
		ticket.running = false
		q.meter.end(ticket, used)
	} else {
		q.classes[ticket.level].remove(ticket, &q.meter)
	}
	return q.schedule(now, nil)
}

// Expire refuses the waiting requests that can no longer meet their deadline, and
// grants others if units are free. It is meant to be called many times a second.
func (q *Queue) Expire(now time.Time) []Decision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	var decisions []Decision
	for level := range q.classes {
		decisions = q.expire(now, level, decisions)
	}
	return q.schedule(now, decisions)
}

func (q *Queue) expire(now time.Time, level int, decisions []Decision) []Decision {
	class := &q.classes[level]
	kept, ahead := class.tickets[:0], 0.0
	for _, t := range class.tickets {
		work := q.meter.work(t)
		failure := q.checkDeadline(now, t)
		if failure == nil && q.missesDeadline(now, t, q.delay(level, ahead+work)) {
			failure = q.overloaded(now, t)
		}
		if failure != nil {
			decisions = append(decisions, Decision{t, failure})
			continue
		}
		kept, ahead = append(kept, t), ahead+work
	}
	clear(class.tickets[len(kept):])
	class.tickets, class.work = kept, ahead
	return decisions
}

// schedule grants waiting requests while units are free, and refuses those that
// can no longer meet their deadline.
func (q *Queue) schedule(now time.Time, decisions []Decision) []Decision {
	for {
		level := q.nextLevel(0)
		if level < 0 {
			return decisions
		}
		t := q.classes[level].tickets[0]
		if failure := q.checkDeadline(now, t); failure != nil {
			q.classes[level].remove(t, &q.meter)
			decisions = append(decisions, Decision{t, failure})
			continue
		}
		if !q.meter.fits(t) {
			return decisions
		}
		q.classes[level].remove(t, &q.meter)
		q.grant(t)
		decisions = append(decisions, Decision{t, nil})
	}
}

// nextLevel returns the class to grant from among the given one and those below
// it, or -1 if no request waits.
func (q *Queue) nextLevel(level int) int {
	if level == levels {
		return -1
	}
	class := &q.classes[level]
	below := q.nextLevel(level + 1)
	if len(class.tickets) == 0 {
		return below
	}
	if below >= 0 && class.floorDebt > 0 {
		return below
	}
	return level
}

// grant starts a request and updates the floor debts: a class that is served while
// requests of lower classes wait owes them a part of its work.
func (q *Queue) grant(t *Ticket) {
	work, floor := q.meter.work(t), q.floor()
	q.classes[t.level].grantedTokens += work
	for level := range t.level {
		q.classes[level].floorDebt = max(q.classes[level].floorDebt-work, -work)
	}
	if q.waiting(t.level+1) > 0 {
		q.classes[t.level].floorDebt += work * floor / (1 - floor)
	}
	t.running = true
	q.meter.begin(t)
}

func (q *Queue) waiting(level int) (tickets int) {
	for ; level < levels; level++ {
		tickets += len(q.classes[level].tickets)
	}
	return tickets
}

func (q *Queue) floor() float64 { return orDefault(q.Floor, DefaultFloor) }

func (q *Queue) advance(now time.Time) {
	if elapsed := q.meter.advance(now, q); elapsed > 0 {
		for level := range q.classes {
			q.classes[level].updateRate(elapsed)
		}
	}
	for level := range q.classes {
		class := &q.classes[level]
		class.expireBookings(now)
		if class.floorDebt != 0 && q.waiting(level+1) == 0 {
			class.floorDebt = 0
		}
	}
}

func levelOf(class cowslipproxy.Class) int { return levels - 1 - class.Priority() }
