package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

// serviceRunner forwards calls to plain services. It implements caller.ServiceRunner.
type serviceRunner struct {
	forwarder forwarder.Forwarder
	retrier   *retrier.Retrier
	clock     func() time.Time
	onError   func(ctx context.Context, name string, err error)
}

// Call implements caller.ServiceRunner.
func (s *serviceRunner) Call(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall, deadline time.Time) (*http.Response, error) {
	s.retrier.RecordRequest(s.clock())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	var response *http.Response
	var err error
	if response, err = s.forwarder.Forward(ctx, service, call); err != nil {
		s.onError(ctx, service.Name, err)
		cancel()
		return nil, err
	}
	response.Body = &cancelOnCloseBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// allowRetry reports whether the retry budget allows another attempt of a call, and
// charges the budget for it. The forwarder has already decided that the call may be
// sent again.
func (r *Router) allowRetry(now time.Time) bool {
	decision := r.retrier.Retry(now, retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 1, Left: time.Minute})
	if decision.Allowed {
		reporter.Count(r.Metrics, reporter.MetricRetries)
		return true
	}
	reporter.Count(r.Metrics, reporter.MetricRetriesDenied)
	if r.eventLimiter.allow(reporter.EventRetryDenied, "", now) {
		reporter.EventRetryDenied.Log(context.Background(), r.Logger)
	}
	return false
}
