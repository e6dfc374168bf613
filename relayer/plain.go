package relayer

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

// patience is how many times the route's target a server may take before an
// idempotent request is sent to another one.
const patience = 3

// result is how a try at a plain service ended.
type result struct {
	got  answered
	body []byte
	err  error
}

// notRun reports whether the server provably didn't run the request.
func (r result) notRun() bool {
	return errors.Is(r.err, cowslipproxy.ErrNotStarted) || r.err == nil && r.got.NotRun
}

// isFailure reports whether another server might do better.
func (r result) isFailure() bool {
	return r.err != nil || r.got.StatusCode >= http.StatusInternalServerError || r.got.NotRun
}

// plain relays a request to one server of a plain service.
func (x *exchange) plain(ctx context.Context) *cowslipproxy.Failure {
	servers := x.Upstreams.Picker(x.service.Name)
	var tried []string
	var last result
	for {
		server, ok := servers.Pick(x.Clock(), tried)
		if !ok {
			break
		}
		tried = append(tried, server.ID)
		last = x.try(ctx, server, len(tried))
		servers.Done(x.Clock(), server.ID, last.isFailure(), loadOf(last.got))
		if !last.isFailure() || ctx.Err() != nil {
			break
		}
		again := x.again(last)
		reporter.EventTryFailed.Log(ctx, x.Logger, slog.String("request", x.query.ID), slog.String("upstream", server.ID),
			slog.Bool("started", !last.notRun()), slog.Int("answer", statusOf(last.got)), slog.Any("error", last.err), slog.Bool("again", again))
		if !again {
			break
		}
	}
	if len(tried) == 0 {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoUpstream, "no server of %s is live", x.service.Name).After(crowdWait)
	}
	return x.finish(ctx, last)
}

// again decides whether another server gets the request.
func (x *exchange) again(last result) bool {
	if !errors.Is(last.err, cowslipproxy.ErrNotStarted) && x.tries >= x.route.Attempts {
		return false
	}
	return x.retry(last.notRun(), x.route.Target)
}

// retry asks the retry budget for another try, which is expected to take a time.
func (x *exchange) retry(notRun bool, expected time.Duration) bool {
	return x.Upstreams.Budget(x.service.Name).Retry(x.Clock(), retrier.Attempt{
		Effect: x.route.Effect, NotStarted: notRun, Tries: 1, Left: x.left(), Expected: expected,
	}).Again
}

// try sends the request to one server and reads its whole answer.
func (x *exchange) try(ctx context.Context, server cowslipproxy.Instance, number int) result {
	if limit := patience * x.route.Target; x.route.Effect == cowslipproxy.EffectRepeat && number < x.route.Attempts && limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	got, err := x.send(ctx, cowslipproxy.Dispatch{Instance: server.ID, Address: server.Address, Last: x.query.Last})
	if !errors.Is(err, cowslipproxy.ErrNotStarted) {
		x.tries++
	}
	if err != nil {
		return result{err: err}
	}
	body, err := whole(got)
	return result{got, body, err}
}

// finish answers the caller with the last try's result.
func (x *exchange) finish(ctx context.Context, last result) *cowslipproxy.Failure {
	if last.notRun() {
		return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "no server took the request").After(min(crowdWait, max(x.left()/4, time.Millisecond)))
	}
	if last.err != nil {
		return x.fail(ctx, last.err)
	}
	x.copyHeader(last.got.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(last.body)))
	x.status = last.got.StatusCode
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(last.body); err != nil {
		return cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "the caller went away: %v", err)
	}
	return nil
}

func loadOf(got answered) *cowslipproxy.ServerLoad {
	if got.Response == nil || !got.HasLoad {
		return nil
	}
	return &got.Load
}

func statusOf(got answered) int {
	if got.Response == nil {
		return 0
	}
	return got.StatusCode
}
