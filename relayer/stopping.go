package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// errEnding is the cause of the end of requests that are in flight when their daemon ends.
var errEnding = errors.New("this daemon ends")

// errRejected reports that a request was not passed on before its daemon rejects requests.
var errRejected = errors.New("this daemon is shutting down")

// stoppingRetryAfter is the Retry-After of a daemon that is shutting down. Another daemon
// can take the request at once.
const stoppingRetryAfter = time.Millisecond

// isRejected reports whether the request must not be passed on any more. One that an
// upstream may have started continues.
func (x *exchange) isRejected() bool { return x.attempts == 0 && x.Rejecting.Err() != nil }

func refuseStopping() *cowslipproxy.Failure {
	return cowslipproxy.Refuse(cowslipproxy.ReasonStopping, "this daemon is shutting down").After(stoppingRetryAfter)
}

// withEnd returns a context that also ends when the daemon ends, with errEnding as its cause.
func (x *exchange) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(x.Ending, func() { cancel(errEnding) })
	return ctx, func() { stop(); cancel(nil) }
}

// abortReads ends the reading of the request's body when new requests are rejected, unless
// the returned function was called before.
func (x *exchange) abortReads() (stop func()) {
	past := time.Unix(1, 0) // not from the clock, which may be ahead of that of the system
	done := make(chan struct{})
	cancel := context.AfterFunc(x.Rejecting, func() {
		defer close(done)
		_ = http.NewResponseController(x.w).SetReadDeadline(past) // fails only if the caller disconnected
	})
	return func() {
		if !cancel() {
			<-done // a later deadline must not be overwritten
		}
	}
}
