package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const levels = 3 // classes of customers

// lineSpan averages what a class is granted. Over two seconds the random
// arrivals of a higher class moved the wait estimated for a lower one by half.
const lineSpan = 10 * time.Second

const known = 0.5 // weight from which an average counts as known

// line is the queue of one class.
type line struct {
	tickets []*Ticket // in the order in which they run
	work    float64   // tokens that the waiting requests are expected to use
	owed    float64   // tokens that this class owes to those below it
	rate    float64   // tokens per second granted, averaged
	known   float64   // weight of the measurements in rate
	granted float64   // tokens granted in this period of the meter

	bookings map[key]booking
	order    []key     // of the bookings, the first due first
	last     time.Time // latest time that a request was told
	booked   float64   // tokens of all bookings
	missed   float64   // part of bookings whose request does not come, averaged
}

// position returns where a request goes, and the work before it. Requests that
// come when they were told go before the others of their class, which keeps
// what they were told true.
func (l *line) position(t *Ticket, m *meter) (index int, ahead float64) {
	for index < len(l.tickets) && !t.before(l.tickets[index]) {
		ahead += m.work(l.tickets[index])
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

func (l *line) insert(index int, t *Ticket, m *meter) {
	l.tickets = slices.Insert(l.tickets, index, t)
	l.work += m.work(t)
}

func (l *line) remove(t *Ticket, m *meter) {
	index := slices.Index(l.tickets, t)
	if index < 0 {
		return
	}
	l.tickets = slices.Delete(l.tickets, index, index+1)
	l.work = max(l.work-m.work(t), 0)
	if len(l.tickets) == 0 {
		l.work = 0
	}
}

// measure averages over the time since the start while that is shorter than
// lineSpan. An average that starts at zero promised the capacity of higher
// classes to lower ones for the first seconds.
func (l *line) measure(elapsed time.Duration) {
	part := weight(elapsed, lineSpan)
	l.known += part * (1 - l.known)
	l.rate += part / l.known * (l.granted/elapsed.Seconds() - l.rate)
	l.granted = 0
}

// late refuses a request that misses its deadline even if it starts now. While
// nothing is in flight one request may try, since no measurement would correct
// an estimate that refuses all requests.
func (q *Queue) late(now time.Time, t *Ticket) *cowslipproxy.Failure {
	run := q.meter.run(t)
	if q.meter.flight == 0 {
		run = 0
	}
	if left := t.Deadline.Sub(now); left <= 0 || left < run {
		return cowslipproxy.Refuse(cowslipproxy.ReasonDeadline, "the deadline is in %v, the answer takes %v", left, run)
	}
	return nil
}

func (q *Queue) misses(now time.Time, t *Ticket, wait time.Duration) bool {
	return now.Add(wait + q.meter.run(t)).After(t.Deadline)
}

// wait returns the expected wait of a request of a class behind that much work
// of its own class, its own included.
func (q *Queue) wait(level int, work float64) time.Duration {
	if q.meter.rate == 0 {
		return 0 // not measured yet
	}
	return seconds(q.path(level, work/q.kept(level), 0))
}

// path returns the seconds until the work is done beside other work that comes
// at a rate. Either the waiting and coming work of the next higher class goes
// first, or the floor below that class holds; the shorter time is true.
func (q *Queue) path(level int, work, rate float64) float64 {
	if level == 0 {
		if rate >= q.meter.rate {
			return math.Inf(1)
		}
		return work / (q.meter.rate - rate)
	}
	higher := &q.lines[level-1]
	behind := q.path(level-1, work+higher.work, rate+higher.rate)
	return min(behind, q.path(level-1, work/q.floor(), rate/q.floor()))
}

// kept returns the part that a class keeps of what it shares with lower ones.
func (q *Queue) kept(level int) float64 {
	if level == levels-1 {
		return 1
	}
	return 1 - q.floor()
}

// capacity returns the tokens per second that can be promised to a class. Below
// a higher class that refused requests which will come again, or whose use isn't
// known yet, only the floor is certain.
func (q *Queue) capacity(level int) float64 {
	rate := q.meter.rate
	for k := range level {
		higher, floor := &q.lines[k], rate*q.floor()
		rate -= higher.rate
		if len(higher.bookings) > 0 || higher.known < known || rate < floor {
			rate = floor
		}
	}
	return rate * q.kept(level)
}

// overloaded refuses a request and says when one like it can meet its deadline.
// Half of the time that the request can wait is left for errors of the estimate.
func (q *Queue) overloaded(now time.Time, t *Ticket) *cowslipproxy.Failure {
	line, work, run := &q.lines[t.level], q.meter.work(t), q.meter.run(t)
	left := t.Deadline.Sub(now)
	if b, ok := line.bookings[t.key()]; ok && b.due.After(now) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the request came before the time that it was told").After(b.due.Sub(now))
	}
	wait := q.wait(t.level, line.work+line.expected()+work) + run
	failure := cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "the answer takes %v with the wait, the deadline is in %v", wait, left)
	spare := max(left-run, 0) / 2
	after := max(wait-run-spare, line.last.Sub(now)+seconds(work/q.capacity(t.level)/bookable), time.Millisecond)
	if t.Content == 0 && after < LongestRetry {
		return failure.After(after)
	}
	if after >= LongestRetry || !line.book(t.key(), booking{now.Add(after), work}) {
		return failure.After(LongestRetry)
	}
	return failure.After(after)
}
