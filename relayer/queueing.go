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
	// engineTargetRatio is the fraction of a route's target for the first event that
	// the engines may take. Engines that take longer count as overloaded. The rest of
	// the target is for queueing in the daemon.
	engineTargetRatio = 0.6
	// queueTimeoutFactor is the longest time that a request is queued, as a
	// multiple of the route's target. Callers disconnect after four times the
	// target.
	queueTimeoutFactor = 2.4
	// retryAfterRatio is the longest Retry-After that callers honour, as a fraction
	// of their remaining time.
	retryAfterRatio = 1.0 / 3
	// maxRetryAfter bounds the Retry-After. An overload caused by a traffic surge
	// ends within seconds.
	maxRetryAfter = 4 * time.Second
)

// bounds returns the limits on the queueing time and on the time to the first
// event.
func (s *streamExchange) bounds() throttler.Bounds {
	return throttler.Bounds{
		FirstEventTarget: time.Duration(engineTargetRatio * float64(s.route.Target)),
		MaxQueueTime:     time.Duration(queueTimeoutFactor * float64(s.route.Target)),
	}
}

// enqueue waits until the request may be sent to engines.
func (s *streamExchange) enqueue(ctx context.Context) *cowslipproxy.Failure {
	s.serviceThrottler = s.Upstreams.Throttler(s.service.Name)
	bounds := s.bounds()
	var wait time.Duration
	if s.place, wait = s.serviceThrottler.Enter(bounds, s.priority, s.callerRequest.LastEventID != ""); s.place == nil {
		return s.throttled(wait)
	}
	timeout := time.NewTimer(min(bounds.MaxQueueTime, s.timeLeft()))
	defer timeout.Stop()
	select {
	case <-s.place.Ready:
		return nil
	case <-s.Rejecting.Done():
		s.serviceThrottler.Leave(s.Clock(), bounds, s.place)
		return refuseStopping()
	case <-ctx.Done():
		s.serviceThrottler.Leave(s.Clock(), bounds, s.place)
		return s.finalFailure(ctx, ctx.Err())
	case <-timeout.C:
		s.serviceThrottler.Leave(s.Clock(), bounds, s.place)
		return s.throttled(bounds.MaxQueueTime)
	}
}

// throttled refuses a request that was or would be queued for too long. Its
// Retry-After is randomized to spread the callers' retries.
func (s *streamExchange) throttled(wait time.Duration) *cowslipproxy.Failure {
	reporter.Count(s.Metrics, reporter.MetricThrottled)
	limit, active, queued := s.serviceThrottler.Limit()
	longest := min(maxRetryAfter, time.Duration(retryAfterRatio*float64(s.timeLeft())))
	after := min(wait/2+rand.N(max(longest, 1)), longest)
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "overloaded: %d of at most %.1f requests wait for their first event and %d are queued; queueing time %v",
		active, limit, queued, wait.Round(time.Millisecond)).After(max(after, time.Millisecond))
}
