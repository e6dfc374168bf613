package limiter

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// QueueState is the state of a queue as shown to operators.
type QueueState struct {
	Units    float64                           `json:"units"`  // limit of the units in flight
	InFlight float64                           `json:"flight"` // units in flight
	Rate     float64                           `json:"rate"`   // tokens per second under full load; zero until measured
	Pace     cowslipproxy.Duration             `json:"pace"`   // time in flight per token
	Used     float64                           `json:"used"`   // used tokens per estimated token
	Classes  map[cowslipproxy.Class]ClassState `json:"classes"`
}

// ClassState is the state of a class's queue as shown to operators.
type ClassState struct {
	Waiting  int                   `json:"waiting"`  // waiting requests
	Work     float64               `json:"work"`     // tokens that the waiting requests are expected to use
	Wait     cowslipproxy.Duration `json:"wait"`     // expected waiting time of an additional request
	Granted  float64               `json:"granted"`  // granted tokens per second, averaged
	Bookings int                   `json:"bookings"` // bookings of refused requests
	Missed   float64               `json:"missed"`   // share of bookings that are not used
}

// State returns the state of the queue.
func (q *Queue) State(now time.Time) QueueState {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.advance(now)
	m := &q.meter
	state := QueueState{
		Units: m.units, InFlight: m.inFlight, Rate: m.rate, Used: m.usedRatio,
		Pace:    cowslipproxy.Duration(m.tokenTime * float64(time.Second)),
		Classes: map[cowslipproxy.Class]ClassState{},
	}
	for _, class := range []cowslipproxy.Class{cowslipproxy.ClassCritical, cowslipproxy.ClassHigh, cowslipproxy.ClassNormal} {
		level := levelOf(class)
		queue := &q.classes[level]
		state.Classes[class] = ClassState{
			Waiting: len(queue.tickets), Work: queue.work, Granted: queue.rate,
			Wait:     cowslipproxy.Duration(q.delay(level, queue.work)),
			Bookings: len(queue.bookings), Missed: queue.missedShare,
		}
	}
	return state
}

// CustomerState is the state of a customer's limit at one daemon as shown to operators.
type CustomerState struct {
	Share  float64 `json:"share"`  // this daemon's share of the limit
	Level  float64 `json:"level"`  // available tokens; negative after a request larger than the burst
	Demand uint32  `json:"demand"` // published demand of this daemon, tokens per second
	Total  uint64  `json:"total"`  // published demand of all daemons, tokens per second
}

// State returns the state of each recently active customer.
func (l *Limits) State(now time.Time) map[string]CustomerState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	states := map[string]CustomerState{}
	for name, a := range l.customers {
		if a.totalRate > 0 {
			a.refill(now)
		}
		states[name] = CustomerState{Share: l.share(a), Level: a.availableTokens, Demand: a.published, Total: a.totalDemand}
	}
	return states
}
