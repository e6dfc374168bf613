package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

// serviceRunner runs calls to plain services. It implements caller.ServiceRunner.
type serviceRunner struct {
	forwarder forwarder.Forwarder
	retrier   *retrier.Retrier
	clock     func() time.Time
}

// Call implements caller.ServiceRunner.
func (s *serviceRunner) Call(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall, deadline time.Time) (*http.Response, error) {
	s.retrier.Request(s.clock())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	answer, err := s.forwarder.Forward(ctx, service, call)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelledBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// mayRetry spends the retry budget on another attempt of a call. The forwarder
// has decided that the call may be sent again.
func (r *Router) mayRetry(now time.Time) bool {
	return r.retrier.Retry(now, retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Tries: 1, Left: time.Minute}).Again
}
