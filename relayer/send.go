package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// maxReplyBody bounds the body in bytes of a reply that is buffered until it is
	// complete.
	maxReplyBody = 8 << 20
	// maxRejectionBody bounds the body in bytes of an engine's rejection.
	maxRejectionBody = 64 << 10
)

// errConnectionBroken reports that an upstream closed or reset the connection before its
// reply was complete, as it does when it crashes.
var errConnectionBroken = errors.New("the upstream broke the connection")

// errInvalidReply reports a response that is not the upstream's reply to this
// request.
var errInvalidReply = errors.New("not a valid reply to this request")

// upstreamReply is an upstream's response with its decoded header.
type upstreamReply struct {
	*http.Response
	cowslipproxy.ReplyHeader
}

// isFramed reports whether the body has a length or chunks.
func (r upstreamReply) isFramed() bool { return cowslipproxy.IsFramed(r.Response) }

// send forwards the request on a connection of its own, so that its reply cannot
// contain bytes of another request's reply. The error wraps
// cowslipproxy.ErrNotStarted if no connection was established. The upstream is given by its
// incarnation.
func (x *exchange) send(ctx context.Context, upstream string, to cowslipproxy.Dispatch) (upstreamReply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		x.arrivals.Add(1)
	}}
	to.Customer, to.Priority, to.TimeLeft = x.customer.Name, x.priority, x.timeLeft()
	var request *http.Request
	var err error
	if request, err = x.Dialect.Request(httptrace.WithClientTrace(ctx, trace), x.callerRequest, to); err != nil {
		return upstreamReply{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	x.recordTrial(upstream)
	sent := x.Clock()
	response, err := x.Transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return upstreamReply{}, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
	}
	if err != nil {
		return upstreamReply{}, readError(ctx, err)
	}
	reply := upstreamReply{response, x.Dialect.Reply(response)}
	if err := x.check(reply); err != nil {
		response.Body.Close()
		return upstreamReply{}, err
	}
	x.recordLimit(sent, upstream, reply)
	x.recordAvailability(upstream, reply)
	return reply, nil
}

// readError returns the error of reading from an upstream. It wraps errConnectionBroken
// unless this daemon ended the request.
func readError(ctx context.Context, err error) error {
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if ctx.Err() == nil && errors.Is(err, broken) {
			return errors.Wrap(errConnectionBroken, err.Error())
		}
	}
	return errors.WithStack(err)
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
	if !cowslipproxy.IsFinalStatus(reply.StatusCode) {
		return errors.Wrapf(errInvalidReply, "unexpected status %q", reply.Status)
	}
	if reply.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return errors.Wrap(errInvalidReply, "signature is missing")
	}
	return nil
}

// discardReply reads and closes the body of a reply that the caller does not get. It
// returns an error if the body exceeds maxRejectionBody.
func discardReply(reply upstreamReply) error {
	defer reply.Body.Close()
	var n int64
	var err error
	if n, err = io.Copy(io.Discard, io.LimitReader(reply.Body, maxRejectionBody+1)); err != nil {
		return errors.WithStack(err)
	}
	if n > maxRejectionBody {
		return errors.Errorf("reply body exceeds %d bytes", maxRejectionBody)
	}
	return nil
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
