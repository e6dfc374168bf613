package cowslipproxy

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the result of a request, as far as the daemon can know it.
type Outcome string

// Outcomes of a request. Each request ends in exactly one of them.
const (
	OutcomeDone    Outcome = "done"    // the caller got the complete answer
	OutcomeRefused Outcome = "refused" // the request provably did not run
	OutcomeUnknown Outcome = "unknown" // the request may have run, wholly or in part
)

// Reason is the reason why a request was not answered.
type Reason string

// Reasons for outcomes other than done.
const (
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonMalformed      Reason = "malformed"
	ReasonTooLarge       Reason = "too_large"
	ReasonModelUnknown   Reason = "model_unknown"
	ReasonServiceUnknown Reason = "service_unknown"
	ReasonNotReady       Reason = "not_ready"
	ReasonOverLimit      Reason = "over_limit"
	ReasonOverloaded     Reason = "overloaded"
	ReasonDeadline       Reason = "deadline"
	ReasonNoChain        Reason = "no_chain"
	ReasonNoUpstream     Reason = "no_upstream"
	ReasonQuarantined    Reason = "quarantined"
	ReasonLogUnavailable Reason = "log_unavailable"
	ReasonKeyReused      Reason = "key_reused"
	ReasonKeyExpired     Reason = "key_expired"
	ReasonOwnerGone      Reason = "owner_gone"
	ReasonStopping       Reason = "stopping"
	ReasonUpstreamFailed Reason = "upstream_failed"
	ReasonCancelled      Reason = "cancelled"
	ReasonAnswerLost     Reason = "answer_lost"
)

// Failure is the error of a request that ended with an outcome other than done.
type Failure struct {
	Outcome    Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration // zero when a retry can't help
	Cause      error         // nil if there is none besides the reason
}

// Unwrap returns the cause of the failure.
func (f *Failure) Unwrap() error { return f.Cause }

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.Outcome, f.Reason, f.Message)
}

// Refuse returns the failure of a request that provably did not run.
func Refuse(reason Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: OutcomeRefused, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns the failure of a request that may have run.
func Unknown(reason Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: OutcomeUnknown, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// After returns a copy of f that states how long the caller must wait before a retry.
func (f *Failure) After(wait time.Duration) *Failure {
	copied := *f
	copied.RetryAfter = wait
	return &copied
}

var refusalStatus = map[Reason]int{
	ReasonUnauthorized:   http.StatusUnauthorized,
	ReasonMalformed:      http.StatusBadRequest,
	ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonModelUnknown:   http.StatusNotFound,
	ReasonServiceUnknown: http.StatusNotFound,
	ReasonOverLimit:      http.StatusTooManyRequests,
	ReasonQuarantined:    http.StatusConflict,
	ReasonKeyReused:      http.StatusConflict,
	ReasonKeyExpired:     http.StatusConflict,
}

// Status returns the HTTP status code of the failure.
func (f *Failure) Status() int {
	if f.Outcome == OutcomeUnknown {
		if f.Reason == ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if status, ok := refusalStatus[f.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
