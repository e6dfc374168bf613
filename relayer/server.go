// Package relayer is the HTTP server that forwards callers' requests to the
// upstreams of their routes and relays the replies.
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
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/pacer"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
	"github.com/cowslipproxy/cowslipproxy/throttler"
)

const (
	// startRetryAfter is the Retry-After while the daemon has no configuration. It
	// gets one within a few hundred milliseconds of its start.
	startRetryAfter = 300 * time.Millisecond
	// overloadRetryAfter is the Retry-After when no upstream accepts the request.
	overloadRetryAfter = 500 * time.Millisecond
	// defaultMaxBody bounds a request's body in bytes if the configuration sets no
	// limit.
	defaultMaxBody = 4 << 20
	// maxDrainedBytes and drainTimeout bound what is read of the body of a refused
	// request.
	maxDrainedBytes = 256 << 10
	drainTimeout    = 500 * time.Millisecond
	// defaultTimeout applies to requests on routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// Upstreams provides the load balancing and retry state of a service.
type Upstreams interface {
	Picker(service string) *picker.Picker
	Finder(service string) *pathfinder.Finder
	Budget(service string) *retrier.Retrier
	Throttler(service string) *throttler.Throttler
	Pacer(service string) *pacer.Pacer
}

// Speeds records what streams and reports show of the speed of engines.
type Speeds interface {
	// RecordLate records that an event of a stream on the path is late.
	RecordLate(ctx context.Context, now time.Time, path []cowslipproxy.Hop)
	// RecordInTime records that the events of a stream on the path are in time.
	RecordInTime(now time.Time, path []cowslipproxy.Hop)
	// RecordReport records what an engine reported to this daemon, which asked it at the given time.
	RecordReport(ctx context.Context, asked time.Time, incarnation string, state cowslipproxy.EngineState)
	// RecordUnusable records that an engine refuses work although it has memory.
	RecordUnusable(ctx context.Context, now time.Time, incarnation string)
}

// Server relays requests. Its exported fields are set before the first use.
type Server struct {
	Matcher    func() *matcher.Matcher // nil until a configuration is known
	Upstreams  Upstreams
	Dialect    cowslipproxy.Dialect
	Engines    cowslipproxy.EngineControl
	Transport  http.RoundTripper
	Memory     *allocator.Allocator // for the bodies of requests and replies
	Quarantine *quarantiner.Quarantiner
	AskTrial   func(ctx context.Context, trial quarantiner.Trial) bool // asks the trial's arbiter, and reports whether it is granted
	Limits     Limits
	Speeds     Speeds
	Stopping   func() bool     // whether to close connections after the reply, so that callers connect elsewhere
	Rejecting  context.Context // done when requests that no upstream has got are refused
	Ending     context.Context // done when requests in flight get their final answer, because the daemon ends
	Clock      func() time.Time
	Logger     *slog.Logger
	Metrics    metrics.Registry

	inFlight   atomic.Int64
	stateCache stateCache
}

// InFlight returns the number of requests that have not ended.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// exchange is a request and the state of its reply.
type exchange struct {
	*Server
	w             http.ResponseWriter
	protocol      string                // of the caller, such as HTTP/1.1
	bodyMemory    *allocator.Allocation // of the request's body
	callerRequest cowslipproxy.RelayRequest
	route         cowslipproxy.Route
	service       cowslipproxy.RelayService
	customer      cowslipproxy.RelayCustomer
	priority      int
	deadline      time.Time
	version       uint64                           // version of the configuration
	fingerprints  []quarantiner.RequestFingerprint // of the request and the shared parts of its prompt
	tried         []quarantiner.RequestFingerprint // quarantined ones that the request is a trial of, until it is sent
	arrivals      atomic.Int32                     // number of attempts for which a connection to an upstream was established
	attempts      int                              // number of attempts that upstreams may have executed
	status        int                              // HTTP status sent to the caller; 0 before the header is sent
	framed        bool                             // the upstream's reply that began the answer has a length or chunks
	answerEnd     answerEnd                        // how the end of the answer was established
	endCause      error                            // why it was not verified
	verifications int                              // number of attempts made to verify it
	path          []cowslipproxy.Hop               // path of the last attempt
	limit         float64                          // limit that the last upstream named, in requests per second; 0 if it named none
	atLimit       int                              // number of attempts that upstreams did not accept because of their limits or for some time
	limitWait     time.Duration                    // shortest time until one of these upstreams accepts a request
	eventsSent    int                              // number of events sent to the caller
	timeToFirst   time.Duration                    // from the request's arrival to the first event
	longestPause  time.Duration                    // longest time between two events
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{Server: s, w: w, protocol: r.Proto, bodyMemory: s.Memory.Open(nil)}
	defer x.bodyMemory.Release()
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	failure := x.accept(r)
	if failure == nil {
		failure = x.run(r.Context())
	}
	if failure != nil {
		x.refuse(failure)
		x.drainBody(r)
	}
	x.log(r.Context(), failure)
	if failure != nil && failure.Reason == cowslipproxy.ReasonAnswerLost {
		panic(http.ErrAbortHandler) // ends the connection so that the answer does not look complete
	}
}

// accept decodes and authenticates the request, resolves its route and service,
// and reads its body.
func (x *exchange) accept(r *http.Request) *cowslipproxy.Failure {
	var err error
	if x.callerRequest, err = x.Dialect.RelayRequest(r, x.Clock()); err != nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%v", err)
	}
	if x.isRejected() {
		return refuseStopping()
	}
	m := x.Matcher()
	if m == nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNotReady, "the configuration is not loaded yet").After(startRetryAfter)
	}
	x.version = m.RelayConfiguration.Version
	var ok bool
	if x.route, ok = m.Route(x.callerRequest.Host, x.callerRequest.Path); !ok {
		return cowslipproxy.Refuse(cowslipproxy.ReasonServiceUnknown, "no route matches %s%s", x.callerRequest.Host, x.callerRequest.Path)
	}
	if x.customer, ok = m.Customer(x.route, x.callerRequest.Key); !ok {
		return cowslipproxy.Refuse(cowslipproxy.ReasonUnauthorized, "API key is missing or unknown")
	}
	x.priority = m.Priority(x.route, x.customer)
	x.service = m.Service(x.route, rand.Float64())
	x.deadline = x.endTime()
	return x.readBody(r, m.RelayConfiguration.Limits.Body)
}

// endTime returns the earlier of the caller's deadline and the end of the route's
// timeout.
func (x *exchange) endTime() time.Time {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	endTime := x.callerRequest.Arrived.Add(timeout)
	if !x.callerRequest.Deadline.IsZero() && x.callerRequest.Deadline.Before(endTime) {
		endTime = x.callerRequest.Deadline
	}
	return endTime
}

func (x *exchange) readBody(r *http.Request, limit int64) *cowslipproxy.Failure {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "request body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	stop := x.abortReads()
	var err error
	x.callerRequest.Body, err = x.bodyMemory.ReadAll(r.Body, limit)
	stop()
	if x.isRejected() {
		return refuseStopping()
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, allocator.ErrTooLarge) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "request body exceeds the limit of %d bytes", limit)
	}
	if errors.Is(err, allocator.ErrExhausted) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonOverloaded, "%v", err).After(overloadRetryAfter)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "read request body: %v", err)
}

func (x *exchange) run(ctx context.Context) *cowslipproxy.Failure {
	ctx, stop := x.withEnd(ctx)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.fingerprints = fingerprintsOf(x.callerRequest, x.service.Name, x.customer.Name)
	if failure := x.admit(ctx); failure != nil {
		reporter.Count(x.Metrics, reporter.MetricQuarantineRefusals)
		return failure
	}
	x.Upstreams.Budget(x.service.Name).RecordRequest(x.Clock())
	if x.service.IsSplit() {
		return (&streamExchange{exchange: x}).run(ctx)
	}
	return x.runUnary(ctx)
}

// refuse sends the daemon's own error response, unless the header of an
// upstream's reply was already sent.
func (x *exchange) refuse(failure *cowslipproxy.Failure) {
	if x.status != 0 {
		return
	}
	x.status = x.Dialect.Status(failure)
	header := x.w.Header()
	if x.Stopping() {
		header.Set("Connection", "close")
	}
	if x.callerRequest.ID != "" {
		x.Dialect.SetID(header, x.callerRequest.ID)
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(failure.Message)+1))
	x.w.WriteHeader(x.status)
	_, _ = io.WriteString(x.w, failure.Message+"\n") // fails only if the caller disconnected
}

// drainBody reads the rest of the body of a refused request whose connection closes. A
// connection that is closed with unread bytes is reset, so that the caller might not get
// the response. net/http does that itself for connections that stay open.
func (x *exchange) drainBody(r *http.Request) {
	if !r.Close && x.w.Header().Get("Connection") != "close" {
		return
	}
	controller := http.NewResponseController(x.w)
	if err := controller.Flush(); err != nil {
		return // the caller disconnected
	}
	if err := controller.SetReadDeadline(x.Clock().Add(drainTimeout)); err != nil {
		return // the body might not end
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainedBytes) // the connection closes in any case
}

func (x *exchange) log(ctx context.Context, failure *cowslipproxy.Failure) {
	outcome, reason, message := cowslipproxy.OutcomeDone, cowslipproxy.Reason(""), ""
	if failure != nil {
		outcome, reason, message = failure.Outcome, failure.Reason, failure.Message
	} else if x.endCause != nil {
		message = x.endCause.Error()
	}
	took := x.Clock().Sub(x.callerRequest.Arrived)
	reporter.Count(x.Metrics, reporter.Labelled(reporter.MetricRequests, "outcome", string(outcome), "reason", string(reason)))
	reporter.DurationHistogram(x.Metrics, reporter.MetricDuration).Update(int64(took))
	reporter.EventRequestEnded.Log(ctx, x.Logger,
		slog.String("request", x.callerRequest.ID), slog.String("route", x.route.Name), slog.Uint64("version", x.version),
		slog.Int("tries", x.attempts), slog.Int("status", x.status), slog.Duration("took", took),
		slog.String("path", formatPath(x.path)), slog.Float64("limit", x.limit), slog.Int("limited", x.atLimit), slog.Bool("framed", x.framed), slog.String("end", string(x.answerEnd)), slog.Int("verifications", x.verifications), slog.String("protocol", x.protocol), slog.Int("events", x.eventsSent), slog.Duration("first", x.timeToFirst), slog.Duration("pause", x.longestPause),
		slog.String("outcome", string(outcome)), slog.String("reason", string(reason)), slog.String("message", message))
}

// formatPath formats a path's engines and their layers for the log.
func formatPath(path []cowslipproxy.Hop) string {
	var text strings.Builder
	for _, hop := range path {
		fmt.Fprintf(&text, " %s%s", hop.Address, hop.Range)
	}
	return strings.TrimSpace(text.String())
}

// unknownOutcome returns the failure of a request whose last attempt may have
// been executed.
func (x *exchange) unknownOutcome(ctx context.Context, err error) *cowslipproxy.Failure {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return cowslipproxy.Unknown(cowslipproxy.ReasonCancelled, "the caller disconnected")
	}
	if errors.Is(context.Cause(ctx), errEnding) {
		return cowslipproxy.Unknown(cowslipproxy.ReasonStopping, "no answer before this daemon ended")
	}
	if !x.Clock().Before(x.deadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cowslipproxy.Unknown(cowslipproxy.ReasonDeadline, "no answer before the deadline")
	}
	return cowslipproxy.Unknown(cowslipproxy.ReasonUpstreamFailed, "upstream failed: %v", err)
}

// timeLeft returns the time until the request's deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.Clock()) }
