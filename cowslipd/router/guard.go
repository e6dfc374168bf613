package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/committer"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

const headerReplayed = "Idempotency-Replayed"

// onceGuard ensures that non-idempotent requests run at most once. It implements
// caller.Guard.
type onceGuard struct {
	committer   *committer.Committer
	gossiper    *gossiper.Gossiper
	incarnation string
}

// Once implements caller.Guard.
func (g *onceGuard) Once(w http.ResponseWriter, r *http.Request, attempt caller.Attempt, dispatch func(http.ResponseWriter)) {
	if attempt.Key == "" {
		attempt.Key = "cow1." + g.incarnation + "." + uuid.NewString()
	}
	var key claimer.Key
	var err error
	if key, err = claimer.ParseKey(attempt.Key); err != nil {
		caller.WriteFailure(w, attempt.Request, cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%s: %v", caller.HeaderKey, err))
		return
	}
	claimAttempt := claimer.Attempt{
		Claim:    attempt.Request,
		Customer: attempt.Customer,
		Key:      key,
		Digest:   claimer.Digest(r.Method, r.URL.RequestURI(), attempt.Body, int64(len(attempt.Body))),
	}
	ctx, cancel := context.WithDeadline(r.Context(), attempt.Deadline)
	defer cancel()
	decision := g.committer.Claim(ctx, claimAttempt)
	switch decision.Verdict {
	case claimer.VerdictDispatch:
		g.dispatch(w, claimAttempt, dispatch)
	case claimer.VerdictAnswer:
		replay(w, attempt.Request, *decision.Answer)
	case claimer.VerdictForward:
		g.forward(w, r, attempt, decision.Owner)
	default:
		caller.WriteFailure(w, attempt.Request, decision.Failure)
	}
}

// dispatch runs the request and records its answer. If the handler panics because the
// answer was truncated, the outcome is recorded as unknown.
func (g *onceGuard) dispatch(w http.ResponseWriter, attempt claimer.Attempt, dispatch func(http.ResponseWriter)) {
	recorder := &recorder{ResponseWriter: w}
	complete := false
	defer func() {
		answer := recorder.answer()
		if !complete {
			answer = claimer.Answer{Outcome: cowslipproxy.OutcomeUnknown, Reason: cowslipproxy.ReasonAnswerLost, Message: "the answer was truncated"}
		}
		// With a cancelled context, Finish doesn't wait for the log: the caller already has
		// the answer, and the record is appended when the log accepts it.
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = g.committer.Finish(cancelled, attempt, answer)
	}()
	dispatch(recorder)
	complete = true
}

// forward sends a request to the daemon incarnation that its key names.
func (g *onceGuard) forward(w http.ResponseWriter, r *http.Request, attempt caller.Attempt, owner string) {
	address, ok := g.address(owner)
	if !ok || gossiper.IsForwarded(r.Context()) {
		caller.WriteFailure(w, attempt.Request, cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "daemon %s, which owns the idempotency key, is down or unknown", owner))
		return
	}
	forwarded := r.Clone(r.Context())
	forwarded.Body = io.NopCloser(bytes.NewReader(attempt.Body))
	forwarded.ContentLength = int64(len(attempt.Body))
	recorder := &recorder{ResponseWriter: w}
	err := g.gossiper.Forward(recorder, forwarded, address)
	if err == nil {
		return
	}
	if recorder.status != 0 {
		panic(http.ErrAbortHandler) // the caller must not mistake a truncated answer for a complete one
	}
	// The outcome is unknown even after ErrNotStarted: an earlier request with the key may have run.
	caller.WriteFailure(w, attempt.Request, cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "daemon %s, which owns the idempotency key, did not answer: %v", owner, errors.Cause(err)))
}

func (g *onceGuard) address(owner string) (string, bool) {
	for _, member := range g.gossiper.Members() {
		if member.Key() == owner {
			return member.Peer.String(), !member.Down
		}
	}
	return "", false
}

// ownerGone reports whether an incarnation is known to be down.
func (g *onceGuard) ownerGone(owner string) bool {
	for _, member := range g.gossiper.Members() {
		if member.Key() == owner {
			return member.Down
		}
	}
	return false
}

// replay writes a recorded answer.
func replay(w http.ResponseWriter, request string, answer claimer.Answer) {
	if !cowslipproxy.IsFinalStatus(answer.Status) {
		caller.WriteFailure(w, request, cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the request completed, but its answer was recorded with the invalid status %d", answer.Status))
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(caller.HeaderRequest, request)
	w.Header().Set(caller.HeaderOutcome, string(answer.Outcome))
	w.Header().Set(headerReplayed, "true")
	w.Header().Del("Trailer")
	if !cowslipproxy.IsUnframed(w.Header()) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the caller may have disconnected
}

// recorder copies the answer that is written through it.
type recorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
}

// Unwrap returns the caller's writer for http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status, r.header = status, r.Header().Clone()
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It keeps one byte more than the maximum size
// of a record, so that the claimer detects an answer that is too large.
func (r *recorder) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	remaining := claimer.MaxBodyBytes + 1 - len(r.body)
	r.body = append(r.body, data[:min(len(data), remaining)]...)
	_, _ = r.ResponseWriter.Write(data) // the answer is recorded completely even if the caller has disconnected
	return len(data), nil
}

// FlushError flushes the caller's writer for http.ResponseController.
func (r *recorder) FlushError() error {
	_ = http.NewResponseController(r.ResponseWriter).Flush() // the caller may have disconnected, as in Write
	return nil
}

func (r *recorder) answer() claimer.Answer {
	header := r.Header()
	return claimer.Answer{
		Outcome: cowslipproxy.Outcome(header.Get(caller.HeaderOutcome)),
		Reason:  cowslipproxy.Reason(header.Get(caller.HeaderReason)),
		Message: "recorded answer",
		Status:  r.status,
		Header:  r.header,
		Body:    r.body,
	}
}
