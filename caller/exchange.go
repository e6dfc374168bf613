package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// exchange is the state of one request of a caller.
type exchange struct {
	server    *Server
	requestID string
	w         http.ResponseWriter
	r         *http.Request
	active    cowslipproxy.ActiveConfiguration
	customer  cowslipproxy.Customer
	deadline  time.Time
	body      []byte
	start     time.Time
	upload    *upload // nil unless the body is sent to a service while it is received
}

const (
	maxDeadline   = time.Hour
	responseGrace = 10 * time.Second // time after the deadline in which a response can still be written
)

func (s *Server) newRequestID() string {
	return s.Incarnation + "-" + strconv.FormatUint(s.sequence.Add(1), 36)
}

// begin authenticates the customer and sets the deadline. The whole request is handled
// under the configuration that is active now.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	e := &exchange{server: s, requestID: s.newRequestID(), w: w, r: r, start: s.Clock()}
	w.Header().Set(HeaderRequest, e.requestID)
	if s.Stopping != nil && s.Stopping() && r.Header.Get(HeaderKey) == "" {
		// A request with an idempotency key may be a resend of one that ran, so it is
		// still accepted.
		w.Header().Set("Connection", "close")
		return e, cowslipproxy.Refuse(cowslipproxy.ReasonStopping, "this daemon is stopping; request another address").After(time.Second)
	}
	var ready bool
	if e.active, ready = s.ActiveConfiguration(); !ready || len(e.active.Customers) == 0 {
		return e, cowslipproxy.Refuse(cowslipproxy.ReasonNotReady, "this daemon has no configuration yet").After(time.Second)
	}
	w.Header().Set(HeaderVersion, strconv.FormatUint(e.active.Offset, 10))
	var ok bool
	if e.customer, ok = e.active.Customer(bearerHash(r)); !ok {
		return e, cowslipproxy.Refuse(cowslipproxy.ReasonUnauthorized, "the bearer key does not belong to any customer")
	}
	return e, e.setDeadline()
}

// setConnDeadlines sets the time limit for reading the request and writing the response.
func (e *exchange) setConnDeadlines(limit time.Duration) {
	controller := http.NewResponseController(e.w)
	until := time.Now().Add(limit)
	_ = controller.SetReadDeadline(until)  // not supported for requests forwarded by another daemon
	_ = controller.SetWriteDeadline(until) // as above
}

func bearerHash(r *http.Request) string {
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (e *exchange) setDeadline() error {
	timeout := e.server.DefaultTimeout
	if text := e.r.Header.Get(HeaderDeadline); text != "" {
		var err error
		if timeout, err = time.ParseDuration(text); err != nil || timeout <= 0 || timeout > maxDeadline {
			return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%s: %q is not a positive duration up to %v", HeaderDeadline, text, maxDeadline)
		}
	}
	e.deadline = e.server.Clock().Add(timeout)
	e.setConnDeadlines(timeout + responseGrace)
	return nil
}

// detach lets the request run to its end or its deadline even if the caller
// disconnects: once a non-idempotent request was dispatched, its result is needed to
// respond to a resend. It returns a function that cancels the request's new context.
func (e *exchange) detach() context.CancelFunc {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(e.r.Context()), e.deadline)
	e.r = e.r.WithContext(ctx)
	return cancel
}

// readBody reads the complete body, up to the size limit.
func (e *exchange) readBody() error {
	var err error
	if e.body, err = io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, e.server.BodyLimit)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "body: size exceeds the limit of %d bytes", large.Limit)
		}
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "body: %v", err)
	}
	return nil
}

// fingerprint returns a hash of the customer and the content of a request. It doesn't
// depend on the idempotency key.
func (e *exchange) fingerprint(content string) uint64 {
	return xxhash.Sum64String(e.customer.Name + "\x00" + content)
}

// fail writes a failure. It must be called before anything else is written.
func (e *exchange) fail(err error) {
	if e.upload.isInProgress() {
		e.w.Header().Set("Connection", "close") // the rest must not be read as another request
	}
	WriteFailure(e.w, e.requestID, toFailure(err))
}

// WriteFailure writes a failure. It must be called before anything else is written.
func WriteFailure(w http.ResponseWriter, requestID string, failure *cowslipproxy.Failure) {
	header := w.Header()
	header.Set(HeaderRequest, requestID)
	header.Set(HeaderOutcome, string(failure.Outcome))
	header.Set(HeaderReason, string(failure.Reason))
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	writeJSON(w, failure.Status(), errorBody(requestID, failure))
}

func toFailure(err error) *cowslipproxy.Failure {
	var failure *cowslipproxy.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return cowslipproxy.Unknown(cowslipproxy.ReasonUpstreamFailed, "%v", err)
}

var errorTypes = map[cowslipproxy.Outcome]string{
	cowslipproxy.OutcomeRefused: "refused_error",
	cowslipproxy.OutcomeUnknown: "unknown_outcome_error",
}

func errorBody(requestID string, failure *cowslipproxy.Failure) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: failure.Message,
		Type:    errorTypes[failure.Outcome],
		Code:    string(failure.Reason),
		Outcome: string(failure.Outcome),
		Reason:  string(failure.Reason),
		Request: requestID,
	}}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller may be disconnected
}
