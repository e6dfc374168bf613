package limiter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
)

func newLimiter() *limiter.Limiter {
	return &limiter.Limiter{Limits: &limiter.Limits{Self: "a"}, Queue: &limiter.Queue{Units: 1, Rate: 100}}
}

func request(class cowslipproxy.Class, deadline time.Duration) limiter.Request {
	customer := cowslipproxy.Customer{Name: "hollins", Class: class, Rate: 1000, Burst: 1000}
	return limiter.Request{Customer: customer, Tokens: 100, Deadline: epoch.Add(deadline)}
}

// Guards against checks in another order than quarantine, limit, deadline and
// capacity, and against a refused request that keeps its reservation.
func TestAdmissionCheckOrder(t *testing.T) {
	l := newLimiter()
	l.Quarantine = func(time.Time, limiter.Request) *cowslipproxy.Failure {
		return cowslipproxy.Refuse(cowslipproxy.ReasonQuarantined, "poison")
	}
	reason := func(r limiter.Request) cowslipproxy.Reason {
		_, _, failure := l.Enter(epoch, r)
		require.NotNil(t, failure)
		require.Equal(t, cowslipproxy.OutcomeRefused, failure.Outcome)
		return failure.Reason
	}
	require.Equal(t, cowslipproxy.ReasonQuarantined, reason(request(cowslipproxy.ClassNormal, -time.Second)))
	l.Quarantine = nil
	large := request(cowslipproxy.ClassNormal, -time.Second)
	for range 20 { // each reserves the whole limit until it is refused
		large.Tokens = 1000
		require.Equal(t, cowslipproxy.ReasonDeadline, reason(large))
	}
	_, running, failure := l.Enter(epoch, request(cowslipproxy.ClassNormal, time.Minute))
	require.Nil(t, failure)
	require.True(t, running)
	require.Equal(t, cowslipproxy.ReasonOverLimit, reason(large))
	require.Equal(t, cowslipproxy.ReasonOverloaded, reason(request(cowslipproxy.ClassNormal, 500*time.Millisecond)))
}

// Guards against waiting requests that are granted out of order, or that are not
// refused once they can no longer meet their deadline.
func TestWaitingRequestOrderAndExpiry(t *testing.T) {
	l := newLimiter()
	first, _, _ := l.Enter(epoch, request(cowslipproxy.ClassNormal, time.Minute))
	late, _, _ := l.Enter(epoch, request(cowslipproxy.ClassNormal, 50*time.Second))
	early, _, _ := l.Enter(epoch, request(cowslipproxy.ClassNormal, 40*time.Second))
	critical, running, failure := l.Enter(epoch, request(cowslipproxy.ClassCritical, 45*time.Second))
	require.Nil(t, failure)
	require.False(t, running)
	state := l.Queue.State(epoch)
	require.Equal(t, 2, state.Classes[cowslipproxy.ClassNormal].Waiting)
	require.InDelta(t, 600, l.Limits.State(epoch)["hollins"].Level, 1e-6, "four requests of 100 are reserved")
	require.Equal(t, []limiter.Decision{{Ticket: critical}}, l.Leave(epoch.Add(time.Second), first, 100))
	decisions := l.Expire(epoch.Add(40 * time.Second))
	require.Len(t, decisions, 1)
	require.Equal(t, early, decisions[0].Ticket)
	require.Equal(t, cowslipproxy.ReasonDeadline, decisions[0].Failure.Reason)
	require.Equal(t, []limiter.Decision{{Ticket: late}}, l.Leave(epoch.Add(41*time.Second), critical, 100))
}

// Guards against goroutines that stay blocked in Gate.Wait after a grant, a refusal
// or a cancellation.
func TestGateWaitReturns(t *testing.T) {
	defer goleak.VerifyNone(t)
	now := epoch
	g := &limiter.Gate{Limiter: newLimiter(), Now: func() time.Time { return now }}
	first, failure := g.Wait(t.Context(), request(cowslipproxy.ClassNormal, time.Minute))
	require.Nil(t, failure)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, failure = g.Wait(cancelled, request(cowslipproxy.ClassNormal, time.Minute))
	require.Equal(t, cowslipproxy.ReasonCancelled, failure.Reason)
	granted := make(chan *cowslipproxy.Failure)
	go func() {
		_, failure := g.Wait(t.Context(), request(cowslipproxy.ClassNormal, time.Minute))
		granted <- failure
	}()
	g.Leave(first, 100)
	require.Nil(t, <-granted)
}

func BenchmarkAdmission(b *testing.B) {
	for _, customers := range []int{10, 100, 3700} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			l := &limiter.Limiter{Limits: &limiter.Limits{Self: "a"}, Queue: &limiter.Queue{Units: 100, Rate: 1e6}}
			requests := make([]limiter.Request, customers)
			for i := range requests {
				requests[i] = request(cowslipproxy.ClassNormal, time.Hour)
				requests[i].Customer.Name = fmt.Sprintf("customer-%d", i)
				requests[i].Customer.Rate, requests[i].Customer.Burst = 1e9, 1e9
			}
			b.ReportAllocs()
			now, i := epoch, 0
			for b.Loop() {
				now = now.Add(time.Microsecond)
				ticket, _, failure := l.Enter(now, requests[i%customers])
				if failure != nil {
					b.Fatal(failure)
				}
				l.Leave(now, ticket, 100)
				i++
			}
		})
	}
}

// BenchmarkFullQueue measures the slowest admission: a request that enters the queue
// of its class at the end, when the queue is almost full, and leaves it again.
func BenchmarkFullQueue(b *testing.B) {
	queue := &limiter.Queue{Units: 1, Rate: 1e6}
	for range limiter.DefaultMaxWaiting { // one runs, the others wait; the queue has room for one more
		if _, _, failure := queue.Enter(epoch, request(cowslipproxy.ClassNormal, time.Hour)); failure != nil {
			b.Fatal(failure)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, failure := queue.Enter(epoch, request(cowslipproxy.ClassNormal, 2*time.Hour))
		if failure != nil {
			b.Fatal(failure)
		}
		queue.Leave(epoch, ticket, 0)
	}
}
