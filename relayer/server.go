// Package relayer takes callers' requests and passes them on whole to the
// upstreams of their routes.
package relayer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
	"github.com/cowslipproxy/cowslipproxy/throttler"
)

const (
	// startWait is what callers are asked to wait while the daemon learns the
	// configuration, which takes it some hundred milliseconds after its start.
	startWait = 300 * time.Millisecond
	// crowdWait is what callers are asked to wait when all servers are full.
	crowdWait = 500 * time.Millisecond
	// defaultBody bounds a request's body where the configuration sets no bound.
	defaultBody = 4 << 20
	// defaultTimeout holds for requests without a deadline on routes without one.
	defaultTimeout = 30 * time.Second
)

// Upstreams is what the server asks for a request's upstreams.
type Upstreams interface {
	Picker(service string) *picker.Picker
	Finder(service string) *pathfinder.Finder
	Budget(service string) *retrier.Retrier
	Throttler(service string) *throttler.Throttler
}

// Server relays requests. Its exported fields are set before the first use.
type Server struct {
	Matcher   func() *matcher.Matcher // nil until a configuration is known
	Upstreams Upstreams
	Dialect   cowslipproxy.Dialect
	Engines   cowslipproxy.Operable
	Transport http.RoundTripper
	Stopping  func() bool // whether callers shall connect elsewhere
	Finished  func() bool // whether no new requests are taken
	Clock     func() time.Time
	Logger    *slog.Logger
	Metrics   metrics.Registry

	inFlight  atomic.Int64
	inspector inspector
}

// InFlight returns the number of requests that have not ended.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// exchange is one request on its way.
type exchange struct {
	*Server
	w        http.ResponseWriter
	query    cowslipproxy.Query
	route    cowslipproxy.Route
	service  cowslipproxy.RelayService
	customer cowslipproxy.RelayCustomer
	priority int
	deadline time.Time
	version  uint64
	tries    int                // servers that the request was sent to
	status   int                // that the caller got; 0 for none
	path     []cowslipproxy.Hop // of the last try
	events   int                // of a stream that the caller got
	first    time.Duration      // from its arrival to the first event
	pause    time.Duration      // longest between two events
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{Server: s, w: w}
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	failure := x.admit(r)
	if failure == nil {
		failure = x.run(r.Context())
	}
	if failure != nil {
		x.refuse(failure)
	}
	x.log(r.Context(), failure)
	if failure != nil && failure.Reason == cowslipproxy.ReasonAnswerLost {
		panic(http.ErrAbortHandler) // breaks the connection, so that the answer doesn't look whole
	}
}

// admit decodes the request and finds its route and customer.
func (x *exchange) admit(r *http.Request) *cowslipproxy.Failure {
	var err error
	if x.query, err = x.Dialect.Query(r, x.Clock()); err != nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%v", err)
	}
	if x.Finished() {
		return cowslipproxy.Refuse(cowslipproxy.ReasonStopping, "this daemon is stopping").After(time.Millisecond)
	}
	m := x.Matcher()
	if m == nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNotReady, "no configuration is known yet").After(startWait)
	}
	x.version = m.Table.Version
	var ok bool
	if x.route, ok = m.Route(x.query.Host, x.query.Path); !ok {
		return cowslipproxy.Refuse(cowslipproxy.ReasonServiceUnknown, "no route for %s%s", x.query.Host, x.query.Path)
	}
	if x.customer, ok = m.Customer(x.route, x.query.Key); !ok {
		return cowslipproxy.Refuse(cowslipproxy.ReasonUnauthorized, "the key is not known")
	}
	x.priority = m.Priority(x.route, x.customer)
	x.service = m.Service(x.route, rand.Float64())
	x.deadline = x.end()
	return x.readBody(r, m.Table.Limits.Body)
}

// end returns when the request gets its final answer at the latest.
func (x *exchange) end() time.Time {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	end := x.query.Arrived.Add(timeout)
	if !x.query.Deadline.IsZero() && x.query.Deadline.Before(end) {
		end = x.query.Deadline
	}
	return end
}

func (x *exchange) readBody(r *http.Request, limit int64) *cowslipproxy.Failure {
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "the body has %d bytes, accepted are %d", r.ContentLength, limit)
	}
	var err error
	if x.query.Body, err = io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit)); err == nil {
		return nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "the body has over %d bytes", limit)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "the body could not be read: %v", err)
}

func (x *exchange) run(ctx context.Context) *cowslipproxy.Failure {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.Upstreams.Budget(x.service.Name).Request(x.Clock())
	if x.service.IsSplit() {
		return (&streaming{exchange: x}).run(ctx)
	}
	return x.plain(ctx)
}

// refuse answers for the daemon itself. After a part of an upstream's answer
// nothing can be added to it.
func (x *exchange) refuse(failure *cowslipproxy.Failure) {
	if x.status != 0 {
		return
	}
	x.status = failure.Status()
	header := x.w.Header()
	if x.query.ID != "" {
		x.Dialect.ID(header, x.query.ID)
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(failure.Message)+1))
	x.w.WriteHeader(x.status)
	_, _ = io.WriteString(x.w, failure.Message+"\n") // fails only when the caller is gone
}

func (x *exchange) log(ctx context.Context, failure *cowslipproxy.Failure) {
	outcome, reason, message := cowslipproxy.OutcomeDone, cowslipproxy.Reason(""), ""
	if failure != nil {
		outcome, reason, message = failure.Outcome, failure.Reason, failure.Message
	}
	took := x.Clock().Sub(x.query.Arrived)
	reporter.Count(x.Metrics, reporter.Labelled(reporter.MetricRequests, "outcome", string(outcome), "reason", string(reason)))
	reporter.Times(x.Metrics, reporter.MetricDuration).Update(int64(took))
	reporter.EventRelayed.Log(ctx, x.Logger,
		slog.String("request", x.query.ID), slog.String("route", x.route.Name), slog.Uint64("version", x.version),
		slog.Int("tries", x.tries), slog.Int("status", x.status), slog.Duration("took", took),
		slog.String("path", pathText(x.path)), slog.Int("events", x.events), slog.Duration("first", x.first), slog.Duration("pause", x.pause),
		slog.String("outcome", string(outcome)), slog.String("reason", string(reason)), slog.String("message", message))
}

// pathText names a path's engines and the layers that each runs.
func pathText(path []cowslipproxy.Hop) string {
	var text strings.Builder
	for _, hop := range path {
		fmt.Fprintf(&text, " %s%s", hop.Address, hop.Range)
	}
	return strings.TrimSpace(text.String())
}

// fail returns the failure of a request whose last try may have run.
func (x *exchange) fail(ctx context.Context, err error) *cowslipproxy.Failure {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "the caller went away")
	}
	if !x.Clock().Before(x.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "no answer in time")
	}
	return cowslipproxy.Unknown(cowslipproxy.ReasonUpstreamFailed, "the upstream failed: %v", err)
}

// left returns the time until the request's end.
func (x *exchange) left() time.Duration { return x.deadline.Sub(x.Clock()) }
