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
	// Pick returns an upstream that is not among the tried ones, or false.
	Pick(now time.Time, service string, tried []string) (name string, upstream cowslipproxy.ServiceUpstream, ok bool)
}

// Forwarder runs calls to plain services. Its fields are set before the first
// call.
type Forwarder struct {
	Picker   Picker
	MaxBody  int64                                             // of a call; DefaultMaxBody when zero
	Attempts int                                               // most attempts of a call; 3 when zero
	Retry    func(now time.Time) bool                          // spends the retry budget; may be nil
	Observe  func(name string, spent time.Duration, err error) // told of each attempt; may be nil
}

const defaultAttempts = 3

// run is one call on its way.
type run struct {
	forwarder *Forwarder
	service   cowslipproxy.Service
	call      cowslipproxy.ServiceCall
	body      *replay
	tried     []string
	again     bool // may be sent again after it may have started
	begun     bool // an attempt may have started
	failure   error
}

// Forward runs one call. The answer is the service's own, whatever its status,
// with a body that the receiver closes. Errors, also those of the body, are
// *cowslipproxy.Failure.
func (f *Forwarder) Forward(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall) (*http.Response, error) {
	if err := f.check(call); err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(call.Path, "?")
	once := service.EffectOf(call.Method, path) == cowslipproxy.EffectOnce
	r := &run{
		forwarder: f, service: service, call: call,
		again: !once || service.Keyed && call.Header.Get(headerKey) != "",
	}
	if call.Body != nil && call.Length != 0 {
		r.body = &replay{source: call.Body}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(service.Timeout))
	var answer *http.Response
	var err error
	if answer, err = r.run(ctx); err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &answerBody{ReadCloser: answer.Body, ctx: ctx, cancel: cancel}
	return answer, nil
}

func (f *Forwarder) check(call cowslipproxy.ServiceCall) error {
	limit := f.MaxBody
	if limit == 0 {
		limit = DefaultMaxBody
	}
	if call.Length > limit {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "body: found %d bytes, accepted are at most %d", call.Length, limit)
	}
	if _, err := url.ParseRequestURI(call.Path); err != nil || !strings.HasPrefix(call.Path, "/") {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "path: found %.80q, accepted are paths that start with /", call.Path)
	}
	return nil
}

func (r *run) run(ctx context.Context) (*http.Response, error) {
	f := r.forwarder
	most := f.Attempts
	if most == 0 {
		most = defaultAttempts
	}
	for attempt := range most {
		if attempt > 0 && f.Retry != nil && !f.Retry(time.Now()) {
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
		answer, err := r.attempt(ctx, name, upstream, attempt < most-1)
		if err == nil {
			return answer, nil
		}
		if r.failure = err; !r.mayRetry(err) {
			break
		}
	}
	return nil, r.fail(ctx)
}

// mayRetry reports whether another attempt may follow one that ended with err.
func (r *run) mayRetry(err error) bool {
	whole := r.body == nil || r.body.whole()
	if errors.Is(err, cowslipproxy.ErrNotStarted) {
		return whole
	}
	r.begun = true
	return r.again && whole && !errors.Is(err, errTooLarge)
}

// attempt sends the call once. While another attempt may follow, the upstream
// gets half of the time that is left to begin its answer.
func (r *run) attempt(ctx context.Context, name string, upstream cowslipproxy.ServiceUpstream, more bool) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := func() bool { return true }
	if deadline, ok := ctx.Deadline(); ok && more && r.again {
		stop = time.AfterFunc(time.Until(deadline)/2, cancel).Stop
	}
	start := time.Now()
	answer, err := r.send(ctx, upstream)
	if !stop() && err == nil {
		_ = answer.Body.Close() // its context has ended, so it can't be read
		err = errors.Errorf("%s did not answer in time", name)
	}
	if err == nil && answer.StatusCode == http.StatusTooEarly {
		_ = answer.Body.Close() // the answer says only that nothing was started
		err = errors.Wrapf(cowslipproxy.ErrNotStarted, "%s answered %d", name, answer.StatusCode)
	}
	if r.forwarder.Observe != nil {
		r.forwarder.Observe(name, time.Since(start), err)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

func (r *run) send(ctx context.Context, upstream cowslipproxy.ServiceUpstream) (*http.Response, error) {
	call := r.call
	if r.body == nil {
		return upstream.Do(ctx, call)
	}
	body := &replayReader{replay: r.body}
	call.Body = body
	var answer *http.Response
	var err error
	if answer, err = upstream.Do(ctx, call); err != nil {
		body.end()
	}
	return answer, err
}

// fail returns what the caller is told after the last attempt.
func (r *run) fail(ctx context.Context) *cowslipproxy.Failure {
	message := "no upstream is available"
	if r.failure != nil {
		message = r.failure.Error()
	}
	end := cowslipproxy.Refuse
	reason := cowslipproxy.ReasonNoUpstream
	if r.begun {
		end, reason = cowslipproxy.Unknown, cowslipproxy.ReasonUpstreamFailed
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = cowslipproxy.ReasonDeadline
	case ctx.Err() != nil:
		reason = cowslipproxy.ReasonCancelled
	case errors.Is(r.failure, errTooLarge):
		reason = cowslipproxy.ReasonTooLarge
	case !r.begun:
		return end(reason, "%s", message).After(time.Second)
	}
	return end(reason, "%s", message)
}

// cancelBody ends the attempt's context with the body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return errors.WithStack(b.ReadCloser.Close())
}

// answerBody turns read errors into failures.
type answerBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *answerBody) Read(data []byte) (int, error) {
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
func (b *answerBody) Close() error {
	defer b.cancel()
	return errors.WithStack(b.ReadCloser.Close())
}
