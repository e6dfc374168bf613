package claimer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindClose   Kind = "close"
)

// MaxBodyBytes is the largest body in a record. A record with such a body in
// base64 and with headers stays below the 64 KiB limit of a log entry.
const MaxBodyBytes = 32 << 10

const (
	maxFieldBytes  = 128     // of an owner, claim or customer
	maxHeaderBytes = 8 << 10 // of all header names and values
)

// Record is a state transition of a key in a claims stream.
type Record struct {
	Kind     Kind      `json:"kind"`
	Key      string    `json:"key"`
	Customer string    `json:"customer"`
	Owner    string    `json:"owner"`            // incarnation of the daemon that wrote it
	Claim    string    `json:"claim"`            // id of the claim; in a close, the claim that it withdraws
	Digest   string    `json:"digest,omitempty"` // only in claims
	Time     time.Time `json:"time"`
	Answer   *Answer   `json:"answer,omitempty"` // only in outcomes and closes
}

// Answer is the result of an attempt.
type Answer struct {
	Outcome     cowslipproxy.Outcome `json:"outcome"`
	Reason      cowslipproxy.Reason  `json:"reason,omitempty"`
	Message     string               `json:"message,omitempty"`
	Status      int                  `json:"status,omitempty"`
	Header      http.Header          `json:"header,omitempty"`
	Body        []byte               `json:"body,omitempty"`
	BodyOmitted bool                 `json:"cut,omitempty"` // header and body were too large to record or were evicted
}

// Check reports the first invalid field.
func (r Record) Check() error {
	if _, err := ParseKey(r.Key); err != nil {
		return err
	}
	if r.Owner == "" || len(r.Owner) > maxFieldBytes || r.Claim == "" || len(r.Claim) > maxFieldBytes || len(r.Customer) > maxFieldBytes {
		return errors.Errorf("record: owner %q, claim %q or customer %q is missing or longer than %d bytes", r.Owner, r.Claim, r.Customer, maxFieldBytes)
	}
	switch r.Kind {
	case KindClaim:
		if len(r.Digest) != 64 {
			return errors.Errorf("digest: %q does not have 64 hexadecimal digits", r.Digest)
		}
		return nil
	case KindOutcome, KindClose:
		if r.Answer == nil {
			return errors.New("answer: missing")
		}
		return r.Answer.Check()
	default:
		return errors.Errorf("kind: %q is not claim, outcome or close", r.Kind)
	}
}

// Check reports the first invalid field.
func (a Answer) Check() error {
	switch a.Outcome {
	case cowslipproxy.OutcomeDone, cowslipproxy.OutcomeRefused, cowslipproxy.OutcomeUnknown:
	default:
		return errors.Errorf("outcome: %q is not done, refused or unknown", a.Outcome)
	}
	if len(a.Body) > MaxBodyBytes {
		return errors.Errorf("body: %d bytes exceed the limit of %d", len(a.Body), MaxBodyBytes)
	}
	return nil
}

// Failure returns the error to report for this answer, or nil if the answer can be
// replayed.
func (a Answer) Failure() *cowslipproxy.Failure {
	switch {
	case a.Outcome == cowslipproxy.OutcomeRefused:
		return cowslipproxy.Refuse(a.Reason, "%s", a.Message)
	case a.Outcome == cowslipproxy.OutcomeUnknown:
		return cowslipproxy.Unknown(a.Reason, "%s", a.Message)
	case a.BodyOmitted:
		return cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the request completed, but its answer was too large to record")
	default:
		return nil
	}
}

// trim returns the answer without header and body if these don't fit into a record,
// and with a shortened message.
func (a Answer) trim() Answer {
	size := 0
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if len(a.Body) > MaxBodyBytes || size > maxHeaderBytes {
		a.Body, a.Header, a.BodyOmitted = nil, nil, true
	}
	if len(a.Message) > maxFieldBytes*2 {
		a.Message = a.Message[:maxFieldBytes*2]
	}
	return a
}

type batch struct {
	Records []Record `json:"records"`
}

// Encode returns the JSON form of a record.
func Encode(record Record) ([]byte, error) {
	data, err := json.Marshal(record)
	return data, errors.WithStack(err)
}

// Join combines encoded records into a log entry.
func Join(records [][]byte) []byte {
	entry := append([]byte(`{"records":[`), bytes.Join(records, []byte(","))...)
	return append(entry, "]}"...)
}

// Decode returns the well-formed records of a log entry. All readers drop the same
// malformed records, so their states agree. Unknown fields are accepted: a daemon
// that rejected claims of a newer version because of them would dispatch a request
// twice.
func Decode(data []byte) ([]Record, error) {
	var decoded batch
	if err := decoder.JSON(data, &decoded); err != nil {
		return nil, err
	}
	valid := decoded.Records[:0]
	var failure error
	for _, record := range decoded.Records {
		if err := record.Check(); err != nil {
			failure = err
			continue
		}
		valid = append(valid, record)
	}
	return valid, failure
}
