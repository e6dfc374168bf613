// Package caller serves callers over HTTP.
package caller

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Headers of requests and responses.
const (
	HeaderOutcome  = "Cowslip-Outcome"
	HeaderReason   = "Cowslip-Reason"
	HeaderRequest  = "Cowslip-Request"
	HeaderVersion  = "Cowslip-Version"
	HeaderDeadline = "Cowslip-Deadline" // how long the caller waits for the response, such as 30s
	HeaderKey      = "Idempotency-Key"
)

// Admission describes a request to admission control.
type Admission struct {
	Request     string // id of the request
	Customer    cowslipproxy.Customer
	Scope       string // model/<name> or service/<name>
	Fingerprint uint64 // of customer and content
	Tokens      int    // estimated number of tokens of prompt and completion
	Deadline    time.Time
	Urgent      bool
}

// Admitter is the admission control. It may queue requests.
type Admitter interface {
	// Admit blocks until the request is admitted. The returned function must be called
	// when the request ends, with the number of tokens used.
	Admit(ctx context.Context, admission Admission) (func(used int), error)
}

// ModelRunner executes requests to models.
type ModelRunner interface {
	Run(ctx context.Context, job driver.Job, emit func(driver.Token) error) (driver.Usage, error)
}

// ServiceRunner executes calls to plain services.
type ServiceRunner interface {
	Call(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall, deadline time.Time) (*http.Response, error)
}

// Guard ensures that non-idempotent requests run at most once.
type Guard interface {
	// Once calls dispatch if the request may run. Otherwise it writes the response
	// itself. The body of the request has been read already.
	Once(w http.ResponseWriter, r *http.Request, attempt Attempt, dispatch func(http.ResponseWriter))
}

// Attempt is one attempt of a caller to send a non-idempotent request.
type Attempt struct {
	Request  string // id of the request
	Customer string
	Key      string // idempotency key; empty if the caller sent none
	Body     []byte
	Deadline time.Time
}

// Server serves callers over HTTP. Its exported fields are set before Handler is called.
type Server struct {
	ActiveConfiguration func() (cowslipproxy.ActiveConfiguration, bool)
	Admitter            Admitter
	Models              ModelRunner
	Services            ServiceRunner
	Guard               Guard
	Addresses           func(now time.Time, from netip.Addr) cowslipproxy.Addresses
	Stopping            func() bool // true once no address response includes this daemon; may be nil
	Incarnation         string
	BodyLimit           int64         // maximum size of a request body, in bytes
	DefaultTimeout      time.Duration // time until the deadline of requests without a deadline header
	Clock               func() time.Time
	Logger              *slog.Logger
	Metrics             metrics.Registry

	sequence atomic.Uint64
	inflight atomic.Int64
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inflight.Load() }

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(s.countRequests)
	router.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", s.completion).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{service}{path:/.*}", s.service)
	router.NotFoundHandler = http.HandlerFunc(s.notFound)
	return router
}

func (s *Server) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inflight.Add(1)
		(&exchange{w: w}).setConnDeadlines(maxDeadline) // replaces the deadlines of the previous request on this connection
		defer s.inflight.Add(-1)
		completed, start := false, s.Clock()
		defer func() { s.recordResult(w.Header(), completed, s.Clock().Sub(start)) }()
		next.ServeHTTP(w, r)
		completed = true
	})
}

// recordResult updates the metrics at the end of a request. completed is false if the
// handler panicked because the response was interrupted.
func (s *Server) recordResult(header http.Header, completed bool, duration time.Duration) {
	outcome, reason := cowslipproxy.Outcome(header.Get(HeaderOutcome)), header.Get(HeaderReason)
	switch {
	case !completed:
		outcome, reason = cowslipproxy.OutcomeUnknown, string(cowslipproxy.ReasonAnswerLost)
	case outcome == "":
		return // a request for addresses or models
	case outcome == cowslipproxy.OutcomeDone:
		reason = ""
	}
	reporter.Count(s.Metrics, reporter.Labelled(reporter.MetricRequests, "outcome", string(outcome), "reason", reason))
	reporter.DurationHistogram(s.Metrics, reporter.MetricDuration).Update(int64(duration))
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	var from netip.AddrPort
	var err error
	if from, err = netip.ParseAddrPort(r.RemoteAddr); err != nil {
		from = netip.AddrPort{} // the response then ignores the location of the caller
	}
	writeJSON(w, http.StatusOK, s.Addresses(s.Clock(), from.Addr()))
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	e := &exchange{server: s, requestID: s.newRequestID(), w: w}
	e.fail(cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "no such path: %s", r.URL.Path))
}
