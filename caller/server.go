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

// Headers of the protocol towards callers.
const (
	HeaderOutcome  = "Cowslip-Outcome"
	HeaderReason   = "Cowslip-Reason"
	HeaderRequest  = "Cowslip-Request"
	HeaderVersion  = "Cowslip-Version"
	HeaderDeadline = "Cowslip-Deadline" // time that the caller waits, such as 30s
	HeaderKey      = "Idempotency-Key"
)

// Admission is what admission control knows of a request.
type Admission struct {
	Request     string
	Customer    cowslipproxy.Customer
	Kind        string // model/<name> or service/<name>
	Fingerprint uint64 // of customer and content
	Tokens      int    // estimated tokens, prompt and answer
	Deadline    time.Time
	Urgent      bool
}

// Admitter decides whether a request may run now. It may wait.
type Admitter interface {
	// Admit returns a function to call when the request ended, with the tokens used.
	Admit(ctx context.Context, admission Admission) (func(used int), error)
}

// ModelRunner runs requests to models.
type ModelRunner interface {
	Run(ctx context.Context, job driver.Job, emit func(driver.Token) error) (driver.Usage, error)
}

// ServiceRunner runs calls to plain services.
type ServiceRunner interface {
	Call(ctx context.Context, service cowslipproxy.Service, call cowslipproxy.ServiceCall, deadline time.Time) (*http.Response, error)
}

// Guard makes non-idempotent requests run at most once.
type Guard interface {
	// Once wraps the part of the handler that dispatches the request. The
	// request's body has been read.
	Once(w http.ResponseWriter, r *http.Request, send Send, dispatch func(http.ResponseWriter))
}

// Send is one sending of a non-idempotent request.
type Send struct {
	Request  string
	Customer string
	Key      string // empty when the caller gave none
	Body     []byte
	Deadline time.Time
}

// Server serves callers. Its exported fields are set before Handler is called.
type Server struct {
	Settled     func() (cowslipproxy.Settled, bool)
	Admitter    Admitter
	Models      ModelRunner
	Services    ServiceRunner
	Guard       Guard
	Addresses   func(now time.Time, from netip.Addr) cowslipproxy.Addresses
	Stopping    func() bool // true once no address answer names this daemon; may be nil
	Incarnation string
	BodyLimit   int64         // bytes of a request's body
	Wait        time.Duration // deadline of requests that name none
	Clock       func() time.Time
	Logger      *slog.Logger
	Metrics     metrics.Registry

	sequence atomic.Uint64
	inflight atomic.Int64
}

// InFlight returns the number of requests that have not ended.
func (s *Server) InFlight() int64 { return s.inflight.Load() }

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(s.count)
	router.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", s.completion).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{service}{path:/.*}", s.service)
	router.NotFoundHandler = http.HandlerFunc(s.notFound)
	return router
}

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inflight.Add(1)
		(&exchange{w: w}).limitTime(maxDeadline) // replaces the limit of the request before on this connection
		defer s.inflight.Add(-1)
		whole, began := false, s.Clock()
		defer func() { s.ended(w.Header(), whole, s.Clock().Sub(began)) }()
		next.ServeHTTP(w, r)
		whole = true
	})
}

// ended counts a request. The handler of an answer that broke off panics.
func (s *Server) ended(header http.Header, whole bool, took time.Duration) {
	outcome, reason := cowslipproxy.Outcome(header.Get(HeaderOutcome)), header.Get(HeaderReason)
	switch {
	case !whole:
		outcome, reason = cowslipproxy.OutcomeUnknown, string(cowslipproxy.ReasonAnswerLost)
	case outcome == "":
		return // a question for addresses or models
	case outcome == cowslipproxy.OutcomeDone:
		reason = ""
	}
	reporter.Count(s.Metrics, reporter.Labelled(reporter.MetricRequests, "outcome", string(outcome), "reason", reason))
	reporter.Times(s.Metrics, reporter.MetricDuration).Update(int64(took))
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	var from netip.AddrPort
	var err error
	if from, err = netip.ParseAddrPort(r.RemoteAddr); err != nil {
		from = netip.AddrPort{} // an answer without regard to where the caller is
	}
	writeJSON(w, http.StatusOK, s.Addresses(s.Clock(), from.Addr()))
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	e := &exchange{server: s, request: s.newID(), w: w}
	e.fail(cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "no such path: %s", r.URL.Path))
}
