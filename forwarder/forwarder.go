package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Picker chooses the upstream of a service for an attempt.
type Picker interface {
	// Pick returns an upstream that is not in tried, or false.
	Pick(now time.Time, service string, tried []string) (name string, upstream cowslipproxy.ServiceUpstream, ok bool)
}

// Forwarder forwards calls to plain services. Its fields are set before the first
// call.
type Forwarder struct {
	Picker      Picker
	MaxBody     int64                                             // maximum size of a request body; 0 means DefaultMaxBody
	MaxAttempts int                                               // maximum number of attempts of a call; 0 means 3
	AllowRetry  func(now time.Time) bool                          // takes a retry from the retry budget, or returns false; may be nil
	OnAttempt   func(name string, spent time.Duration, err error) // called after each attempt; may be nil
}

const defaultMaxAttempts = 3

// run is the state of one call.
type run struct {
	forwarder    *Forwarder
	service      cowslipproxy.Service
	call         cowslipproxy.ServiceCall
	body         *replay
	tried        []string
	resendable   bool // may be sent again after an attempt that may have started
	maybeStarted bool // an attempt may have started the call
	lastErr      error
}

// Forward forwards one call. It returns the service's response, whatever its status;
// the response body must be closed. Errors, including those of reading the body, are
// of type *cowslipproxy.Failure.
func (f *Forwarder) Forward(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall) (*http.Response, error) {
	if err := f.check(call); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(call.Path, "?")
	once := service.EffectOf(call.Method, path) == cowslipproxy.EffectOnce
	r := &run{
		forwarder: f, service: service, call: call,
		resendable: !once || service.Keyed && call.Header.Get(headerKey) != "",
	}
	if call.Body != nil && call.Length != 0 {
		r.body = &replay{source: call.Body}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.Timeout))
	var response *http.Response
	var err error
	if response, err = r.makeAttempts(ctx); err != nil {
		cancel()
		return nil, err
	}
	response.Body = &responseBody{ReadCloser: response.Body, ctx: ctx, cancel: cancel}
	return response, nil
}

func (f *Forwarder) check(call cowslipproxy.ServiceCall) error {
	limit := f.MaxBody
	if limit == 0 {
		limit = DefaultMaxBody
	}
	if call.Length > limit {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "body: %d bytes exceed the limit of %d", call.Length, limit)
	}
	if _, err := url.ParseRequestURI(call.Path); err != nil || !strings.HasPrefix(call.Path, "/") {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "path: %.80q is not a path that starts with /", call.Path)
	}
	return nil
}

// makeAttempts makes attempts until one gets a response or no further one is permitted.
func (r *run) makeAttempts(ctx context.Context) (*http.Response, error) {
	f := r.forwarder
	maxAttempts := f.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	for attempt := range maxAttempts {
		if attempt > 0 && f.AllowRetry != nil && !f.AllowRetry(time.Now()) {
			break
		}
		if ctx.Err() != nil {
			break
		}
		name, upstream, ok := f.Picker.Pick(time.Now(), r.service.Name, r.tried)
		if !ok {
			break
		}
		r.tried = append(r.tried, name)
		response, err := r.attempt(ctx, name, upstream, attempt < maxAttempts-1)
		if err == nil {
			return response, nil
		}
		if r.lastErr = err; !r.mayRetry(err) {
			break
		}
	}
	return nil, r.callerFailure(ctx)
}

// mayRetry reports whether another attempt is permitted after one that returned err. It
// sets maybeStarted if that attempt may have started the call.
func (r *run) mayRetry(err error) bool {
	canReplay := r.body == nil || r.body.canReplay()
	if errors.Is(err, cowslipproxy.ErrNotStarted) {
		return canReplay
	}
	r.maybeStarted = true
	return r.resendable && canReplay && !errors.Is(err, errTooLarge)
}

// attempt sends the call once. If another attempt may follow, the upstream must begin
// its response within half of the remaining time.
func (r *run) attempt(ctx context.Context, name string, upstream cowslipproxy.ServiceUpstream, retriesLeft bool) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	stopTimer := func() bool { return true }
	if deadline, ok := ctx.Deadline(); ok && retriesLeft && r.resendable {
		stopTimer = time.AfterFunc(time.Until(deadline)/2, cancel).Stop
	}
	start := time.Now()
	response, err := r.send(ctx, upstream)
	if !stopTimer() && err == nil {
		_ = response.Body.Close() // its context is cancelled, so it can't be read
		err = errors.Errorf("%s did not begin its response in time", name)
	}
	if err == nil && !cowslipproxy.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close() // no valid response, so its rest does not matter
		err = errors.Errorf("%s returned the invalid status %q", name, response.Status)
	}
	if err == nil && response.StatusCode == http.StatusTooEarly {
		_ = response.Body.Close() // the status means that the call was not started
		err = errors.Wrapf(cowslipproxy.ErrNotStarted, "%s returned status %d", name, response.StatusCode)
	}
	if r.forwarder.OnAttempt != nil {
		r.forwarder.OnAttempt(name, time.Since(start), err)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func (r *run) send(ctx context.Context, upstream cowslipproxy.ServiceUpstream) (*http.Response, error) {
	call := r.call
	if r.body == nil {
		return upstream.Do(ctx, call)
	}
	body := &replayReader{replay: r.body}
	call.Body = body
	var response *http.Response
	var err error
	if response, err = upstream.Do(ctx, call); err != nil {
		body.stop()
	}
	return response, err
}

// callerFailure returns the failure that the caller gets after the last attempt.
func (r *run) callerFailure(ctx context.Context) *cowslipproxy.Failure {
	message := "no upstream is available"
	if r.lastErr != nil {
		message = r.lastErr.Error()
	}
	newFailure := cowslipproxy.Refuse
	reason := cowslipproxy.ReasonNoUpstream
	if r.maybeStarted {
		newFailure, reason = cowslipproxy.Unknown, cowslipproxy.ReasonUpstreamFailed
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = cowslipproxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = cowslipproxy.ReasonCancelled
	case errors.Is(r.lastErr, errTooLarge):
		reason = cowslipproxy.ReasonTooLarge
	case !r.maybeStarted:
		return newFailure(reason, "%s", message).After(time.Second)
	}
	return newFailure(reason, "%s", message)
}

// cancelBody cancels the attempt's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return errors.WithStack(b.ReadCloser.Close())
}

// responseBody converts read errors into failures and cancels the call's context when
// it is closed.
type responseBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	reason := cowslipproxy.ReasonAnswerLost
	switch {
	case errors.Is(b.ctx.Err(), context.DeadlineExceeded):
		reason = cowslipproxy.ReasonDeadline
	case b.ctx.Err() != nil:
		reason = cowslipproxy.ReasonCancelled
	}
	return n, cowslipproxy.Unknown(reason, "%s", err.Error())
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	defer b.cancel()
	return errors.WithStack(b.ReadCloser.Close())
}
