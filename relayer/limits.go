package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// limitSpread is the time over which the callers that are refused because of a limit
// retry, so that they do not compete for the same request.
const limitSpread = time.Second

var errAtLimit = errors.New("the upstream is at the limit that it named, or wants no request for now")

// Limits keeps what upstreams state in their replies on the requests that they accept: limits
// for all daemons together, times without requests, and that they are leaving. Upstreams are
// given by their incarnation.
type Limits interface {
	// Acquire reports whether a request may be sent to an upstream. If it may not, wait is
	// the time after which the next one may. The rest of an answer goes before new requests.
	Acquire(ctx context.Context, upstream string, isResumed bool) (granted bool, wait time.Duration)
	// Charge counts a request that is sent in any case.
	Charge(ctx context.Context, upstream string)
	// Named records that a reply named a limit in requests per second.
	Named(now, sent time.Time, upstream string, rate float64)
	// NotNamed records that an upstream ran a request and named no limit in its reply.
	NotNamed(now, sent time.Time, upstream string)
	// Hold records that an upstream wants no request from this daemon for some time.
	Hold(now time.Time, upstream string, wait time.Duration)
	// Retry reports whether all daemons together may make one more retry of a request for a
	// service, and counts it. A stream whose caller waits for its rest goes before others.
	Retry(ctx context.Context, service string, isResumed bool) bool
	// Leaving records that an upstream is leaving.
	Leaving(upstream string)
}

// acquire reports whether a request may be sent to an upstream.
func (x *exchange) acquire(ctx context.Context, upstream string) bool {
	isResumed := x.eventsSent > 0 || x.callerRequest.LastEventID != ""
	granted, wait := x.Limits.Acquire(ctx, upstream, isResumed)
	if granted {
		return true
	}
	reporter.Count(x.Metrics, reporter.MetricAtLimit)
	x.recordWait(wait)
	return false
}

// recordWait records the time until an upstream accepts a request.
func (x *exchange) recordWait(wait time.Duration) {
	if x.atLimit == 0 || wait < x.limitWait {
		x.limitWait = wait
	}
	x.atLimit++
}

// recordLimit records the limit that an upstream names, or that it names none.
func (x *exchange) recordLimit(sent time.Time, upstream string, reply upstreamReply) {
	x.limit = reply.Limit
	switch {
	case reply.HasLimit:
		x.Limits.Named(x.Clock(), sent, upstream, reply.Limit)
	case reply.Signed: // other replies may come from something before the upstream
		x.Limits.NotNamed(x.Clock(), sent, upstream)
	}
}

// recordAvailability records that an upstream is leaving or wants no request for some time.
func (x *exchange) recordAvailability(upstream string, reply upstreamReply) {
	if reply.Leaving {
		x.Limits.Leaving(upstream)
	}
	if reply.RetryAfter > 0 {
		x.Limits.Hold(x.Clock(), upstream, reply.RetryAfter)
	}
}

// refuseAtLimit refuses a request for which no upstream is below its limit and accepts
// requests.
func (x *exchange) refuseAtLimit() *cowslipproxy.Failure {
	longest := min(maxRetryAfter, time.Duration(retryAfterRatio*float64(x.timeLeft())))
	after := min(x.limitWait+rand.N(limitSpread), longest)
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "%d upstreams that could run the request are at the limits that they named or want no request for now; the next request is possible in %v",
		x.atLimit, x.limitWait.Round(time.Millisecond)).After(max(after, time.Millisecond))
}
