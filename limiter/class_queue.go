package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const levels = 3 // number of customer classes

// grantedRateSpan is the time constant of a class's granted rate. With 2 s, random
// arrivals of a higher class changed the estimated wait of a lower class by half.
const grantedRateSpan = 10 * time.Second

const minKnownWeight = 0.5 // total weight of the measurements from which a granted rate counts as known

// classQueue is the queue of one class.
type classQueue struct {
	tickets       []*Ticket // in the order in which they are granted
	work          float64   // tokens that the waiting requests are expected to use
	floorDebt     float64   // tokens that this class owes to lower classes
	rate          float64   // granted tokens per second, averaged
	rateWeight    float64   // total weight of the measurements in rate, up to 1
	grantedTokens float64   // tokens granted in the current period of the meter

	bookings    map[bookingKey]booking
	order       []bookingKey // keys of the bookings, earliest due first; may include removed bookings
	lastDue     time.Time    // due time of the latest booking
	bookedWork  float64      // tokens of all bookings
	missedShare float64      // share of bookings that are not used, averaged
}

// position returns the index at which a request is inserted, and the work ahead of
// it. Requests with a due booking go ahead of the others of their class, so that a
// request that is retried after its Retry-After is not refused again.
func (c *classQueue) position(t *Ticket, m *meter) (index int, ahead float64) {
	for index < len(c.tickets) && !t.before(c.tickets[index]) {
		ahead += m.work(c.tickets[index])
		index++
	}
	return index, ahead
}

func (t *Ticket) before(other *Ticket) bool {
	if t.booked != other.booked {
		return t.booked
	}
	return t.Deadline.Before(other.Deadline)
}

func (c *classQueue) insert(index int, t *Ticket, m *meter) {
	c.tickets = slices.Insert(c.tickets, index, t)
	c.work += m.work(t)
}

func (c *classQueue) remove(t *Ticket, m *meter) {
	index := slices.Index(c.tickets, t)
	if index < 0 {
		return
	}
	c.tickets = slices.Delete(c.tickets, index, index+1)
	c.work = max(c.work-m.work(t), 0)
	if len(c.tickets) == 0 {
		c.work = 0
	}
}

// updateRate updates the average of the granted rate. While the queue is younger
// than grantedRateSpan it averages over the time since the start. An average that
// starts at zero would promise the capacity of higher classes to lower classes
// during the first seconds.
func (c *classQueue) updateRate(elapsed time.Duration) {
	weight := ewmaWeight(elapsed, grantedRateSpan)
	c.rateWeight += weight * (1 - c.rateWeight)
	c.rate += weight / c.rateWeight * (c.grantedTokens/elapsed.Seconds() - c.rate)
	c.grantedTokens = 0
}

// checkDeadline refuses a request that would miss its deadline even if it started
// now. While nothing is in flight, only a deadline in the past is refused: if the
// estimate refused all requests, no measurement would correct it.
func (q *Queue) checkDeadline(now time.Time, t *Ticket) *cowslipproxy.Failure {
	runTime := q.meter.runTime(t)
	if q.meter.inFlight == 0 {
		runTime = 0
	}
	if left := t.Deadline.Sub(now); left <= 0 || left < runTime {
		return cowslipproxy.Refuse(cowslipproxy.ReasonDeadline, "the deadline is in %v, but the response is expected to take %v", left, runTime)
	}
	return nil
}

func (q *Queue) missesDeadline(now time.Time, t *Ticket, delay time.Duration) bool {
	return now.Add(delay + q.meter.runTime(t)).After(t.Deadline)
}

// delay returns the expected queueing delay of a request. The given work is that of
// the requests ahead of it in its class plus its own.
func (q *Queue) delay(level int, work float64) time.Duration {
	if q.meter.rate == 0 {
		return 0 // not yet measured
	}
	return seconds(q.completionSeconds(level, work/q.keptShare(level), 0))
}

// completionSeconds returns the seconds until the work of a class is done while
// other work arrives at the given rate. Either the class waits until the waiting and
// arriving work of the next higher class is done, or it gets only the floor that the
// higher class leaves to it. The result is the shorter of the two times.
func (q *Queue) completionSeconds(level int, work, rate float64) float64 {
	if level == 0 {
		if rate >= q.meter.rate {
			return math.Inf(1)
		}
		return work / (q.meter.rate - rate)
	}
	higher := &q.classes[level-1]
	behind := q.completionSeconds(level-1, work+higher.work, rate+higher.rate)
	return min(behind, q.completionSeconds(level-1, work/q.floor(), rate/q.floor()))
}

// keptShare returns the part of the work that a class does not leave to lower classes.
func (q *Queue) keptShare(level int) float64 {
	if level == levels-1 {
		return 1
	}
	return 1 - q.floor()
}

// guaranteedRate returns the tokens per second that a class is certain to get. Only
// the floor is certain below a class that has bookings or whose granted rate is not
// known yet.
func (q *Queue) guaranteedRate(level int) float64 {
	rate := q.meter.rate
	for above := range level {
		higher, floor := &q.classes[above], rate*q.floor()
		rate -= higher.rate
		if len(higher.bookings) > 0 || higher.rateWeight < minKnownWeight || rate < floor {
			rate = floor
		}
	}
	return rate * q.keptShare(level)
}

// overloaded refuses a request. The Retry-After is the time after which the same
// request is expected to meet its deadline. Half of the time that the request can
// wait is kept as a margin for estimation errors.
func (q *Queue) overloaded(now time.Time, t *Ticket) *cowslipproxy.Failure {
	class, work, runTime := &q.classes[t.level], q.meter.work(t), q.meter.runTime(t)
	left := t.Deadline.Sub(now)
	if b, ok := class.bookings[t.bookingKey()]; ok && b.due.After(now) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the request was retried before its Retry-After had passed").After(b.due.Sub(now))
	}
	delay := q.delay(t.level, class.work+class.expectedBookedWork()+work) + runTime
	failure := cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the response is expected to take %v including the wait, but the deadline is in %v", delay, left)
	margin := max(left-runTime, 0) / 2
	after := max(delay-runTime-margin, class.lastDue.Sub(now)+seconds(work/q.guaranteedRate(t.level)/bookableShare), time.Millisecond)
	if t.Content == 0 && after < MaxRetryAfter {
		return failure.After(after)
	}
	if after >= MaxRetryAfter || !class.addBooking(t.bookingKey(), booking{now.Add(after), work}) {
		return failure.After(MaxRetryAfter)
	}
	return failure.After(after)
}
