package limiter

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// QueueState is what an operator sees of a queue.
type QueueState struct {
	Units   float64                           `json:"units"`  // that may be in flight
	Flight  float64                           `json:"flight"` // units in flight
	Rate    float64                           `json:"rate"`   // tokens per second at full use; zero until measured
	Pace    cowslipproxy.Duration             `json:"pace"`   // time in flight for one token
	Used    float64                           `json:"used"`   // tokens used for each estimated one
	Classes map[cowslipproxy.Class]ClassState `json:"classes"`
}

// ClassState is what an operator sees of a class's line.
type ClassState struct {
	Waiting  int                   `json:"waiting"`  // requests
	Work     float64               `json:"work"`     // tokens that they are expected to use
	Wait     cowslipproxy.Duration `json:"wait"`     // expected wait of one more request
	Granted  float64               `json:"granted"`  // tokens per second, averaged
	Bookings int                   `json:"bookings"` // refused requests that were told when to come again
	Missed   float64               `json:"missed"`   // part of them that doesn't come
}

// State returns the state of the queue.
func (q *Queue) State(now time.Time) QueueState {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	m := &q.meter
	state := QueueState{
		Units: m.units, Flight: m.flight, Rate: m.rate, Used: m.used,
		Pace:    cowslipproxy.Duration(m.pace * float64(time.Second)),
		Classes: map[cowslipproxy.Class]ClassState{},
	}
	for _, class := range []cowslipproxy.Class{cowslipproxy.ClassCritical, cowslipproxy.ClassHigh, cowslipproxy.ClassNormal} {
		level := levelOf(class)
		line := &q.lines[level]
		state.Classes[class] = ClassState{
			Waiting: len(line.tickets), Work: line.work, Granted: line.rate,
			Wait:     cowslipproxy.Duration(q.wait(level, line.work)),
			Bookings: len(line.bookings), Missed: line.missed,
		}
	}
	return state
}

// CustomerState is what an operator sees of a customer's limit at one daemon.
type CustomerState struct {
	Share  float64 `json:"share"`  // part of the limit that this daemon holds
	Level  float64 `json:"level"`  // tokens that can be reserved at once; negative when in debt
	Demand uint32  `json:"demand"` // tokens per second asked for here, as published
	Total  uint64  `json:"total"`  // tokens per second asked for at all daemons
}

// State returns the state of each customer that was active lately.
func (l *Limits) State(now time.Time) map[string]CustomerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	states := map[string]CustomerState{}
	for name, a := range l.customers {
		if a.limit > 0 {
			a.refill(now)
		}
		states[name] = CustomerState{Share: l.share(a), Level: a.level, Demand: a.published, Total: a.total}
	}
	return states
}
