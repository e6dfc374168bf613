package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// maxAnswer bounds an answer that is held back until it is whole, in bytes.
const maxAnswer = 8 << 20

// errForeign says that bytes came that are not the upstream's answer to this request.
var errForeign = errors.New("the answer is not one to this request")

// answered is the head of an upstream's answer, with what it says.
type answered struct {
	*http.Response
	cowslipproxy.ReplyHead
}

// send passes the request on over a connection of its own, so that no bytes of
// another request's answer can follow on it. The error wraps
// cowslipproxy.ErrNotStarted if there was no connection.
func (x *exchange) send(ctx context.Context, to cowslipproxy.Dispatch) (answered, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	to.Customer, to.Priority, to.Left = x.customer.Name, x.priority, x.left()
	var request *http.Request
	var err error
	if request, err = x.Dialect.Request(httptrace.WithClientTrace(ctx, trace), x.query, to); err != nil {
		return answered{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	response, err := x.Transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return answered{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	if err != nil {
		return answered{}, errors.WithStack(err)
	}
	got := answered{response, x.Dialect.Reply(response)}
	if err := x.check(got); err != nil {
		response.Body.Close()
		return answered{}, err
	}
	return got, nil
}

// check reports whether the answer is an upstream's own to this request.
func (x *exchange) check(got answered) error {
	if got.ID != "" && got.ID != x.query.ID {
		return errors.Wrapf(errForeign, "request %q", got.ID)
	}
	if got.Header.Get("Content-Encoding") != "" {
		return errors.Wrap(errForeign, "the body is encoded")
	}
	if got.StatusCode < http.StatusOK {
		return errors.Wrapf(errForeign, "status %d", got.StatusCode)
	}
	if got.StatusCode < http.StatusMultipleChoices && !got.Signed {
		return errors.Wrap(errForeign, "no signature")
	}
	return nil
}

// whole reads the body to its end.
func whole(got answered) ([]byte, error) {
	defer got.Body.Close()
	var body []byte
	var err error
	if body, err = io.ReadAll(io.LimitReader(got.Body, maxAnswer+1)); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > maxAnswer {
		return nil, errors.Errorf("the answer has over %d bytes", maxAnswer)
	}
	return body, nil
}

// copyHeader hands an upstream's headers to the caller.
func (x *exchange) copyHeader(from http.Header) {
	header := x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	cowslipproxy.RemoveConnectionHeaders(header)
	if x.Stopping() {
		header.Set("Connection", "close")
	}
}
