package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/throttler"
)

const (
	// aimShare is the part of a route's target for the first event after which an
	// event shows an overload. The rest is for the wait in the daemon.
	aimShare = 0.6
	// patienceShare is how long a request waits for its turn, in parts of the
	// route's target. Callers leave after four times the target.
	patienceShare = 2.4
	// backShare is the longest time that callers honour in Retry-After, in parts of
	// the time that they have left.
	backShare = 1.0 / 3
	// backLimit bounds the Retry-After; overloads by a surge end within seconds.
	backLimit = 4 * time.Second
)

// bounds returns how the wait for the first event is limited.
func (s *streaming) bounds() throttler.Bounds {
	return throttler.Bounds{
		Aim:      time.Duration(aimShare * float64(s.route.Target)),
		Patience: time.Duration(patienceShare * float64(s.route.Target)),
	}
}

// enter waits until the request may go to engines.
func (s *streaming) enter(ctx context.Context) *cowslipproxy.Failure {
	s.throttle = s.Upstreams.Throttler(s.service.Name)
	bounds := s.bounds()
	var wait time.Duration
	if s.place, wait = s.throttle.Enter(bounds, s.priority, s.query.Last != ""); s.place == nil {
		return s.comeBack(wait)
	}
	patience := time.NewTimer(min(bounds.Patience, s.left()))
	defer patience.Stop()
	select {
	case <-s.place.Ready:
		return nil
	case <-ctx.Done():
		s.throttle.Leave(s.Clock(), bounds, s.place)
		return s.giveUp(ctx, ctx.Err())
	case <-patience.C:
		s.throttle.Leave(s.Clock(), bounds, s.place)
		return s.comeBack(bounds.Patience)
	}
}

// comeBack refuses a request that didn't run and would wait for too long, and
// spreads the returns over the time that callers wait.
func (s *streaming) comeBack(wait time.Duration) *cowslipproxy.Failure {
	reporter.Count(s.Metrics, reporter.MetricThrottled)
	limit, active, queued := s.throttle.Limit()
	longest := min(backLimit, time.Duration(backShare*float64(s.left())))
	after := min(wait/2+rand.N(max(longest, 1)), longest)
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "%d of at most %.1f requests are at engines without an event and %d wait, for %v",
		active, limit, queued, wait.Round(time.Millisecond)).After(max(after, time.Millisecond))
}
