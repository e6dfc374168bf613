package relayer

import (
	"context"
	"log/slog"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

// attemptTimeoutFactor is the timeout of an attempt as a multiple of the route's
// target. It applies to idempotent requests that can be sent to another server.
const attemptTimeoutFactor = 3

// result is the outcome of an attempt at one server.
type result struct {
	reply  upstreamReply
	body   []byte
	memory *allocator.Allocation // of the body
	err    error

	isVerified bool // another server gave an answer of the same length
}

// notExecuted reports whether the server provably did not execute the request.
func (r result) notExecuted() bool {
	return errors.Is(r.err, cowslipproxy.ErrNotStarted) || r.err == nil && r.reply.NotExecuted
}

// isFailure reports whether the server failed to process the request, so that
// another server may succeed.
func (r result) isFailure() bool {
	return r.err != nil || r.reply.StatusCode >= http.StatusInternalServerError || r.reply.NotExecuted
}

// runUnary sends a request to a service whose servers each process whole
// requests, and relays the complete reply.
func (x *exchange) runUnary(ctx context.Context) *cowslipproxy.Failure {
	servers := x.Upstreams.Picker(x.service.Name)
	var tried []string
	var last result
	for {
		server, ok := x.pick(ctx, servers, tried)
		if !ok {
			break
		}
		if last.memory != nil {
			last.memory.Release()
		}
		if x.isRejected() {
			servers.Release(server.ID)
			return refuseStopping()
		}
		tried = append(tried, server.ID)
		last = x.attempt(ctx, server, len(tried))
		servers.Done(x.Clock(), server.ID, last.isFailure(), loadOf(last.reply))
		if !last.isFailure() {
			break
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(last.err, errConnectionBroken) {
			x.recordCrash(server.ID, server.Incarnation(), 0)
		}
		canRetry := !x.isQuarantined() && x.canRetry(ctx, last)
		reporter.EventAttemptFailed.Log(ctx, x.Logger, slog.String("request", x.callerRequest.ID), slog.String("upstream", server.ID),
			slog.Bool("started", !last.notExecuted()), slog.Int("answer", statusOf(last.reply)), slog.Any("error", last.err), slog.Bool("again", canRetry))
		if !canRetry {
			break
		}
	}
	if len(tried) == 0 && x.atLimit > 0 {
		return x.refuseAtLimit()
	}
	if len(tried) == 0 {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoUpstream, "service %s has no live server", x.service.Name).After(overloadRetryAfter)
	}
	last = x.verify(ctx, servers, tried, last)
	defer last.memory.Release()
	x.recordSurvival(last)
	return x.finish(ctx, last)
}

// recordSurvival records that a server did not crash by the request, if that is certain.
func (x *exchange) recordSurvival(last result) {
	if !last.isFailure() && (last.reply.isFramed() || last.isVerified) {
		x.Quarantine.Survived(x.Clock(), x.fingerprints)
	}
}

// verify sends a request that may be repeated to another server if the answer has neither a
// length nor chunks, so that it may have been cut. It returns the answer whose end is stated,
// or else the longer one. The caller gets the first one if the other does not come in time.
func (x *exchange) verify(ctx context.Context, servers *picker.Picker, tried []string, first result) result {
	if first.isFailure() || first.reply.isFramed() || x.route.Effect != cowslipproxy.EffectRepeat || !x.canRetry(ctx, first) {
		return first
	}
	server, ok := x.pick(ctx, servers, tried)
	if !ok {
		return first
	}
	x.verifications++
	ctx, cancel := context.WithTimeout(ctx, min(x.route.Target, x.timeLeft()/2))
	defer cancel()
	second := x.attempt(ctx, server, len(tried)+1)
	servers.Done(x.Clock(), server.ID, second.isFailure(), loadOf(second.reply))
	isSameStatus := !second.isFailure() && second.reply.StatusCode == first.reply.StatusCode
	if !isSameStatus || !second.reply.isFramed() && len(second.body) <= len(first.body) {
		first.isVerified = isSameStatus && len(second.body) == len(first.body)
		second.memory.Release()
		return first
	}
	first.memory.Release()
	return second
}

// pick chooses a server that was not tried and may get another request.
func (x *exchange) pick(ctx context.Context, servers *picker.Picker, tried []string) (cowslipproxy.Instance, bool) {
	excluded := slices.Clone(tried)
	for {
		server, ok := servers.Pick(x.Clock(), excluded)
		if !ok || x.acquire(ctx, server.Incarnation()) {
			return server, ok
		}
		servers.Release(server.ID)
		excluded = append(excluded, server.ID)
	}
}

// canRetry reports whether the request may be sent to another server. An allowed
// retry is charged to the retry budget.
func (x *exchange) canRetry(ctx context.Context, last result) bool {
	if !errors.Is(last.err, cowslipproxy.ErrNotStarted) && x.attempts >= x.route.Attempts {
		return false
	}
	return x.chargeRetry(ctx, last.notExecuted(), false, x.route.Target)
}

// chargeRetry reports whether a retry that is expected to take the given time is
// allowed, and if so, charges it to the retry budget. An attempt that reached no upstream
// counts as none, so that the next one is no retry.
func (x *exchange) chargeRetry(ctx context.Context, notExecuted, isResumed bool, expected time.Duration) bool {
	if x.arrivals.Load() == 0 {
		return x.timeLeft() > expected
	}
	decision := x.Upstreams.Budget(x.service.Name).Retry(x.Clock(), retrier.Attempt{
		Effect: x.route.Effect, NotStarted: notExecuted, Number: 1, Left: x.timeLeft(), Expected: expected,
	})
	return decision.Allowed || decision.Reason == retrier.ReasonBudget && x.Limits.Retry(ctx, x.service.Name, isResumed)
}

// attempt sends the request to one server and reads its complete reply.
func (x *exchange) attempt(ctx context.Context, server cowslipproxy.Instance, number int) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit := attemptTimeoutFactor * x.route.Target; x.route.Effect == cowslipproxy.EffectRepeat && number < x.route.Attempts && limit > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, limit)
		defer stop()
	}
	last := result{memory: x.Memory.Open(func() { cancel(allocator.ErrExhausted) })}
	last.reply, last.err = x.send(ctx, server.Incarnation(), cowslipproxy.Dispatch{Instance: server.ID, Address: server.Address, LastEventID: x.callerRequest.LastEventID})
	if !errors.Is(last.err, cowslipproxy.ErrNotStarted) {
		x.attempts++
	}
	if last.err != nil {
		return last
	}
	defer last.reply.Body.Close()
	if last.body, last.err = last.memory.ReadAll(last.reply.Body, maxReplyBody); last.err == nil {
		last.memory.Keep()
		last.err = checkStreamEnd(last.reply, last.body)
		return last
	}
	last.memory.Release()
	if errors.Is(context.Cause(ctx), allocator.ErrExhausted) {
		last.err = errors.WithStack(allocator.ErrExhausted)
		return last
	}
	last.err = readError(ctx, last.err)
	return last
}

// checkStreamEnd returns an error if a reply is a stream without a length or chunks that ends
// within an event.
func checkStreamEnd(reply upstreamReply, body []byte) error {
	mediaType, _, err := mime.ParseMediaType(reply.Header.Get("Content-Type"))
	if err != nil || mediaType != mediaTypeEvents || reply.isFramed() || !endsWithinEvent(body) {
		return nil
	}
	return errors.Wrap(errConnectionBroken, "the stream ends within an event")
}

// finish sends the result of the last attempt to the caller.
func (x *exchange) finish(ctx context.Context, last result) *cowslipproxy.Failure {
	if last.notExecuted() && last.reply.RetryAfter > 0 {
		x.recordWait(last.reply.RetryAfter)
		return x.refuseAtLimit()
	}
	if last.notExecuted() {
		return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "no server accepted the request").After(min(overloadRetryAfter, max(x.timeLeft()/4, time.Millisecond)))
	}
	if last.err != nil {
		return x.unknownOutcome(ctx, last.err)
	}
	x.copyHeader(last.reply.Header)
	switch {
	case last.reply.isFramed():
		x.answerEnd = endStated
		x.w.Header().Set("Content-Length", strconv.Itoa(len(last.body)))
	case last.isVerified:
		x.answerEnd = endVerified
		cowslipproxy.KeepUnframed(x.w.Header())
	default:
		x.answerEnd = endUnverified
		cowslipproxy.KeepUnframed(x.w.Header())
	}
	x.status, x.framed = last.reply.StatusCode, last.reply.isFramed()
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(last.body); err != nil {
		return cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "the caller disconnected: %v", err)
	}
	return nil
}

func loadOf(reply upstreamReply) *cowslipproxy.ServerLoad {
	if reply.Response == nil || !reply.HasLoad {
		return nil
	}
	return &reply.Load
}

func statusOf(reply upstreamReply) int {
	if reply.Response == nil {
		return 0
	}
	return reply.StatusCode
}
