// Package resolver decides which configuration records of the log are in force.
// Its state is a function of the records folded so far, and a snapshot carries
// all of it, so a reader that starts from a snapshot gives the same verdicts as
// one that folded every record.
package resolver

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Kind says what a record of the configuration stream is.
type Kind string

// Kinds of records.
const (
	KindChange   Kind = "change"
	KindSnapshot Kind = "snapshot"
)

// Verdict says what became of a change.
type Verdict string

// Verdicts on changes.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictConflict Verdict = "conflict" // the base is not the scope's version
	VerdictInvalid  Verdict = "invalid"
	VerdictUnknown  Verdict = "unknown yet" // only reported by publishers
)

// MaxRecord is the largest record in bytes. Larger ones are ignored.
const MaxRecord = 64 << 10

// MaxBody is the largest body in bytes. A service with 100 rules of the longest
// path needs 31 KiB; half a record leaves space for the rest of a snapshot entry.
const MaxBody = 32 << 10

// Change is a record that sets or, with an empty body, deletes a scope.
type Change struct {
	Kind  Kind            `json:"kind" validate:"oneof=change"`
	ID    string          `json:"id" validate:"required,max=128"`
	Scope string          `json:"scope" validate:"required,max=80"`
	Base  uint64          `json:"base"` // version of the scope that the change replaces
	Body  json.RawMessage `json:"body,omitempty"`
}

// Check reports a scope or body that is not valid.
func (c Change) Check() error {
	_, err := decodeBody(c.Scope, c.Body)
	return err
}

// Deletes reports whether the change deletes its scope.
func (c Change) Deletes() bool { return isEmpty(c.Body) }

// Refusal is the id of a refused change whose base the scope has not passed yet.
// It is remembered, since the change would be accepted if it were sent again at
// the right moment.
type Refusal struct {
	Scope   string  `json:"scope" validate:"required,max=80"`
	ID      string  `json:"id" validate:"required,max=128"`
	Base    uint64  `json:"base"`
	Verdict Verdict `json:"verdict" validate:"oneof=conflict invalid"`
}

// Entry is the state of a scope in a snapshot.
type Entry struct {
	Scope   string          `json:"scope" validate:"required,max=80"`
	Version uint64          `json:"version" validate:"gte=1"`
	ID      string          `json:"id" validate:"required,max=128"` // last accepted change
	Body    json.RawMessage `json:"body,omitempty"`                 // empty when the scope is deleted
}

// Check reports a scope or body that is not valid.
func (e Entry) Check() error {
	_, err := decodeBody(e.Scope, e.Body)
	return err
}

// Part is one record of a snapshot. A snapshot is complete with all its parts.
type Part struct {
	Kind    Kind      `json:"kind" validate:"oneof=snapshot"`
	ID      string    `json:"id" validate:"required,max=128"`
	At      uint64    `json:"at"` // offset through which the entries were folded
	Part    int       `json:"part" validate:"gte=0"`
	Parts   int       `json:"parts" validate:"gte=1,lte=100000"`
	Entries []Entry   `json:"entries" validate:"dive"`
	Refused []Refusal `json:"refused,omitempty" validate:"dive"`
}

// Check reports a part number outside of the snapshot or an entry that is not valid.
func (p Part) Check() error {
	if p.Part >= p.Parts {
		return errors.Errorf("part: found %d, accepted is less than %d", p.Part, p.Parts)
	}
	for _, entry := range p.Entries {
		if err := entry.Check(); err != nil {
			return err
		}
	}
	for _, refusal := range p.Refused {
		if _, err := decodeBody(refusal.Scope, nil); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the record as bytes. It leaves HTML characters as they are,
// since escapes would let a snapshot entry outgrow the body that it was made from.
func Encode(record any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(record); err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}

func isEmpty(body json.RawMessage) bool {
	return len(body) == 0 || string(body) == "null"
}

type scopeName struct {
	Scope string `json:"scope" validate:"required,max=64,label"`
}

// decodeBody returns the customer, model or service in the body, or nil for an empty body.
func decodeBody(scope string, body json.RawMessage) (any, error) {
	kind, name, found := strings.Cut(scope, "/")
	if !found {
		return nil, errors.Errorf("scope: found %q, accepted is customer/, model/ or service/ with a name", scope)
	}
	if err := decoder.Check(&scopeName{name}); err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, errors.Errorf("body: found %d bytes, accepted is at most %d", len(body), MaxBody)
	}
	switch kind + "/" {
	case cowslipproxy.ScopeCustomer:
		return decodeAs(name, body, func(c cowslipproxy.Customer) string { return c.Name })
	case cowslipproxy.ScopeModel:
		return decodeAs(name, body, func(m cowslipproxy.Model) string { return m.Name })
	case cowslipproxy.ScopeService:
		return decodeAs(name, body, func(s cowslipproxy.Service) string { return s.Name })
	default:
		return nil, errors.Errorf("scope: found %q, accepted is customer/, model/ or service/ with a name", scope)
	}
}

func decodeAs[T any](name string, body json.RawMessage, nameOf func(T) string) (any, error) {
	if isEmpty(body) {
		return nil, nil
	}
	var value T
	if err := decoder.StrictJSON(body, &value); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if nameOf(value) != name {
		return nil, errors.Errorf("body.name: found %q, accepted is %q as in the scope", nameOf(value), name)
	}
	return value, nil
}
