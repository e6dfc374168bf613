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

// serviceRunner runs calls to plain services. It implements caller.ServiceRunner.
type serviceRunner struct {
	forwarder forwarder.Forwarder
	retrier   *retrier.Retrier
	clock     func() time.Time
	refused   func(ctx context.Context, name string, err error)
}

// Call implements caller.ServiceRunner.
func (s *serviceRunner) Call(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall, deadline time.Time) (*http.Response, error) {
	s.retrier.Request(s.clock())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	var answer *http.Response
	var err error
	if answer, err = s.forwarder.Forward(ctx, service, call); err != nil {
		s.refused(ctx, service.Name, err)
		cancel()
		return nil, err
	}
	answer.Body = &cancelledBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// mayRetry spends the retry budget on another attempt of a call. The forwarder
// has decided that the call may be sent again.
func (r *Router) mayRetry(now time.Time) bool {
	decision := r.retrier.Retry(now, retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Tries: 1, Left: time.Minute})
	if decision.Again {
		reporter.Count(r.Metrics, reporter.MetricRetries)
		return true
	}
	reporter.Count(r.Metrics, reporter.MetricRetriesDenied)
	if r.notices.due(reporter.EventRetryDenied, "", now) {
		reporter.EventRetryDenied.Log(context.Background(), r.Logger)
	}
	return false
}
