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

// guard makes non-idempotent requests run at most once. It implements caller.Guard.
type guard struct {
	committer   *committer.Committer
	gossiper    *gossiper.Gossiper
	incarnation string
}

// Once implements caller.Guard.
func (g *guard) Once(w http.ResponseWriter, r *http.Request, send caller.Send, dispatch func(http.ResponseWriter)) {
	if send.Key == "" {
		send.Key = "cow1." + g.incarnation + "." + uuid.NewString()
	}
	var key claimer.Key
	var err error
	if key, err = claimer.ParseKey(send.Key); err != nil {
		caller.WriteFailure(w, send.Request, cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%s: %v", caller.HeaderKey, err))
		return
	}
	claim := claimer.Send{
		Claim:    send.Request,
		Customer: send.Customer,
		Key:      key,
		Digest:   claimer.Digest(r.Method, r.URL.RequestURI(), send.Body, int64(len(send.Body))),
	}
	ctx, cancel := context.WithDeadline(r.Context(), send.Deadline)
	defer cancel()
	decision := g.committer.Claim(ctx, claim)
	switch decision.Verdict {
	case claimer.VerdictDispatch:
		g.dispatch(w, claim, dispatch)
	case claimer.VerdictAnswer:
		replay(w, send.Request, *decision.Answer)
	case claimer.VerdictForward:
		g.forward(w, r, send, decision.Owner)
	default:
		caller.WriteFailure(w, send.Request, decision.Failure)
	}
}

// dispatch runs the request and records its answer, also when the handler ends
// with a panic because the answer broke off.
func (g *guard) dispatch(w http.ResponseWriter, claim claimer.Send, dispatch func(http.ResponseWriter)) {
	recorder := &recorder{ResponseWriter: w}
	whole := false
	defer func() {
		answer := recorder.answer()
		if !whole {
			answer = claimer.Answer{Outcome: cowslipproxy.OutcomeUnknown, Reason: cowslipproxy.ReasonAnswerLost, Message: "the answer broke off"}
		}
		// The caller has its answer; the record is appended as soon as the log allows.
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = g.committer.Finish(ended, claim, answer)
	}()
	dispatch(recorder)
	whole = true
}

// forward passes a request to the incarnation that its key names.
func (g *guard) forward(w http.ResponseWriter, r *http.Request, send caller.Send, owner string) {
	address, ok := g.address(owner)
	if !ok || gossiper.IsForwarded(r.Context()) {
		caller.WriteFailure(w, send.Request, cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "the daemon of the key, %s, is gone", owner))
		return
	}
	passed := r.Clone(r.Context())
	passed.Body = io.NopCloser(bytes.NewReader(send.Body))
	passed.ContentLength = int64(len(send.Body))
	recorder := &recorder{ResponseWriter: w}
	err := g.gossiper.Forward(recorder, passed, address)
	if err == nil {
		return
	}
	if recorder.status != 0 {
		panic(http.ErrAbortHandler) // the caller must not take a part for the whole answer
	}
	// Not even ErrNotStarted makes this a refusal: an earlier send of the key may have run.
	caller.WriteFailure(w, send.Request, cowslipproxy.Unknown(cowslipproxy.ReasonOwnerGone, "the daemon of the key, %s, didn't answer: %v", owner, errors.Cause(err)))
}

func (g *guard) address(owner string) (string, bool) {
	for _, member := range g.gossiper.Members() {
		if member.Key() == owner {
			return member.Peer.String(), !member.Down
		}
	}
	return "", false
}

// gone reports whether an incarnation has ended: a later one of its name is known.
func (g *guard) gone(owner string) bool {
	for _, member := range g.gossiper.Members() {
		if member.Key() == owner {
			return member.Down
		}
	}
	return false
}

// replay writes a recorded answer.
func replay(w http.ResponseWriter, request string, answer claimer.Answer) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(caller.HeaderRequest, request)
	w.Header().Set(caller.HeaderOutcome, string(answer.Outcome))
	w.Header().Set(headerReplayed, "true")
	w.Header().Del("Trailer")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a caller that is gone can't be told
}

// recorder keeps a copy of the answer that passes through it.
type recorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
}

// Unwrap lets http.ResponseController reach the caller's writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status, r.header = status, r.Header().Clone()
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. One byte more than a record takes is
// kept, by which the claimer sees that the answer is too large.
func (r *recorder) Write(data []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	room := claimer.MaxBodyBytes + 1 - len(r.body)
	r.body = append(r.body, data[:min(len(data), room)]...)
	_, _ = r.ResponseWriter.Write(data) // the answer is recorded whole even if the caller went away
	return len(data), nil
}

// FlushError lets http.ResponseController flush what was written so far.
func (r *recorder) FlushError() error {
	_ = http.NewResponseController(r.ResponseWriter).Flush() // as in Write
	return nil
}

func (r *recorder) answer() claimer.Answer {
	header := r.Header()
	return claimer.Answer{
		Outcome: cowslipproxy.Outcome(header.Get(caller.HeaderOutcome)),
		Reason:  cowslipproxy.Reason(header.Get(caller.HeaderReason)),
		Message: "as recorded",
		Status:  r.status,
		Header:  r.header,
		Body:    r.body,
	}
}
