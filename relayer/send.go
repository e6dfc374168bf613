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

// maxReplyBody bounds the body in bytes of a reply that is buffered until it is
// complete.
const maxReplyBody = 8 << 20

// errInvalidReply reports a response that is not the upstream's reply to this
// request.
var errInvalidReply = errors.New("not a valid reply to this request")

// upstreamReply is an upstream's response with its decoded header.
type upstreamReply struct {
	*http.Response
	cowslipproxy.ReplyHeader
}

// send forwards the request on a connection of its own, so that its reply cannot
// contain bytes of another request's reply. The error wraps
// cowslipproxy.ErrNotStarted if no connection was established.
func (x *exchange) send(ctx context.Context, to cowslipproxy.Dispatch) (upstreamReply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	to.Customer, to.Priority, to.TimeLeft = x.customer.Name, x.priority, x.timeLeft()
	var request *http.Request
	var err error
	if request, err = x.Dialect.Request(httptrace.WithClientTrace(ctx, trace), x.callerRequest, to); err != nil {
		return upstreamReply{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	response, err := x.Transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return upstreamReply{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	if err != nil {
		return upstreamReply{}, errors.WithStack(err)
	}
	reply := upstreamReply{response, x.Dialect.Reply(response)}
	if err := x.check(reply); err != nil {
		response.Body.Close()
		return upstreamReply{}, err
	}
	return reply, nil
}

// check returns an error if the response is not the upstream's reply to this
// request.
func (x *exchange) check(reply upstreamReply) error {
	if reply.ID != "" && reply.ID != x.callerRequest.ID {
		return errors.Wrapf(errInvalidReply, "reply has request id %q", reply.ID)
	}
	if reply.Header.Get("Content-Encoding") != "" {
		return errors.Wrap(errInvalidReply, "unexpected Content-Encoding")
	}
	if reply.StatusCode < http.StatusOK {
		return errors.Wrapf(errInvalidReply, "unexpected status %d", reply.StatusCode)
	}
	if reply.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return errors.Wrap(errInvalidReply, "signature is missing")
	}
	return nil
}

// readReply reads and closes the body of a reply. It returns an error if the body
// exceeds maxReplyBody.
func readReply(reply upstreamReply) ([]byte, error) {
	defer reply.Body.Close()
	var body []byte
	var err error
	if body, err = io.ReadAll(io.LimitReader(reply.Body, maxReplyBody+1)); err != nil {
		return nil, errors.WithStack(err)
	}
	if len(body) > maxReplyBody {
		return nil, errors.Errorf("reply body exceeds %d bytes", maxReplyBody)
	}
	return body, nil
}

// copyHeader copies the end-to-end headers of an upstream's reply to the response.
func (x *exchange) copyHeader(from http.Header) {
	header := x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	cowslipproxy.RemoveHopByHopHeaders(header)
	if x.Stopping() {
		header.Set("Connection", "close")
	}
}
