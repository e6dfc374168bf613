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

// Kind says what a record does.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
	KindClose   Kind = "close"
)

// MaxBody is the size of the longest body that a record carries. With its
// base64 form and headers a record stays below the 64 KiB of a log entry.
const MaxBody = 32 << 10

const (
	maxLabel = 128
	maxHead  = 8 << 10
)

// Record is one change of a key's state in a claims stream.
type Record struct {
	Kind     Kind      `json:"kind"`
	Key      string    `json:"key"`
	Customer string    `json:"customer"`
	Owner    string    `json:"owner"`            // incarnation of the daemon that wrote it
	Claim    string    `json:"claim"`            // id of the claim; a close names the claim that it withdraws
	Digest   string    `json:"digest,omitempty"` // claims
	Time     time.Time `json:"time"`
	Answer   *Answer   `json:"answer,omitempty"` // outcomes and closes
}

// Answer is what a send ended with.
type Answer struct {
	Outcome cowslipproxy.Outcome `json:"outcome"`
	Reason  cowslipproxy.Reason  `json:"reason,omitempty"`
	Message string               `json:"message,omitempty"`
	Status  int                  `json:"status,omitempty"`
	Header  http.Header          `json:"header,omitempty"`
	Body    []byte               `json:"body,omitempty"`
	Cut     bool                 `json:"cut,omitempty"` // the answer was too large to record
}

// Check reports the first field that is out of range.
func (r Record) Check() error {
	if _, err := ParseKey(r.Key); err != nil {
		return err
	}
	if r.Owner == "" || len(r.Owner) > maxLabel || r.Claim == "" || len(r.Claim) > maxLabel || len(r.Customer) > maxLabel {
		return errors.Errorf("record: found owner %q, claim %q, customer %q, accepted are 1 to %d bytes", r.Owner, r.Claim, r.Customer, maxLabel)
	}
	switch r.Kind {
	case KindClaim:
		if len(r.Digest) != 64 {
			return errors.Errorf("digest: found %q, accepted are 64 hexadecimal digits", r.Digest)
		}
		return nil
	case KindOutcome, KindClose:
		if r.Answer == nil {
			return errors.New("answer: found nothing, accepted is an answer")
		}
		return r.Answer.Check()
	default:
		return errors.Errorf("kind: found %q, accepted are claim, outcome and close", r.Kind)
	}
}

// Check reports the first field that is out of range.
func (a Answer) Check() error {
	switch a.Outcome {
	case cowslipproxy.OutcomeDone, cowslipproxy.OutcomeRefused, cowslipproxy.OutcomeUnknown:
	default:
		return errors.Errorf("outcome: found %q, accepted are done, refused and unknown", a.Outcome)
	}
	if len(a.Body) > MaxBody {
		return errors.Errorf("body: found %d bytes, accepted are at most %d", len(a.Body), MaxBody)
	}
	return nil
}

// Failure returns the error that a send with this answer gets, or nil if the
// answer can be replayed.
func (a Answer) Failure() *cowslipproxy.Failure {
	switch {
	case a.Outcome == cowslipproxy.OutcomeRefused:
		return cowslipproxy.Refuse(a.Reason, "%s", a.Message)
	case a.Outcome == cowslipproxy.OutcomeUnknown:
		return cowslipproxy.Unknown(a.Reason, "%s", a.Message)
	case a.Cut:
		return cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the request ran to its end; its answer was too large to record")
	default:
		return nil
	}
}

// trim returns the answer without parts that don't fit into a record.
func (a Answer) trim() Answer {
	size := 0
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if len(a.Body) > MaxBody || size > maxHead {
		a.Body, a.Header, a.Cut = nil, nil, true
	}
	if len(a.Message) > maxLabel*2 {
		a.Message = a.Message[:maxLabel*2]
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

// Join returns the log entry that carries encoded records.
func Join(records [][]byte) []byte {
	entry := append([]byte(`{"records":[`), bytes.Join(records, []byte(","))...)
	return append(entry, "]}"...)
}

// Decode returns the well-formed records of a log entry. Each reader drops the
// same malformed ones, so all folds agree. Unknown fields are accepted: a daemon
// that dropped a newer daemon's claims for them would dispatch a second time.
func Decode(data []byte) ([]Record, error) {
	var all batch
	if err := decoder.JSON(data, &all); err != nil {
		return nil, err
	}
	good := all.Records[:0]
	var failure error
	for _, record := range all.Records {
		if err := record.Check(); err != nil {
			failure = err
			continue
		}
		good = append(good, record)
	}
	return good, failure
}
