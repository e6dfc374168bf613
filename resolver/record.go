// Package resolver decides which configuration records of the log are in effect.
// Its state is a function of the records applied so far. A snapshot contains the
// whole state, so a reader that starts from a snapshot reaches the same verdicts as
// one that applied every record.
package resolver

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Kind is the type of a record in the configuration stream.
type Kind string

// Kinds of records.
const (
	KindChange   Kind = "change"
	KindSnapshot Kind = "snapshot"
)

// Verdict is the result of a change.
type Verdict string

// Verdicts on changes.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictConflict Verdict = "conflict" // the base is not the current version of the scope
	VerdictInvalid  Verdict = "invalid"
	VerdictUnknown  Verdict = "unknown yet" // only reported by publishers, while a change isn't decided
)

// MaxRecordBytes is the size limit of a record. Larger records are ignored.
const MaxRecordBytes = 64 << 10

// MaxBodyBytes is the size limit of a body. It admits a service with 100 rules whose
// paths have the maximum length, which takes 31 KiB. Since it is half of
// MaxRecordBytes, each snapshot entry fits into one record.
const MaxBodyBytes = 32 << 10

// Change is a record that sets or, with an empty body, deletes a scope.
type Change struct {
	Kind  Kind            `json:"kind" validate:"oneof=change"`
	ID    string          `json:"id" validate:"required,max=128"`
	Scope string          `json:"scope" validate:"required,max=80"`
	Base  uint64          `json:"base"` // version of the scope that the change replaces
	Body  json.RawMessage `json:"body,omitempty"`
}

// Check returns an error if the scope or body is invalid.
func (c Change) Check() error {
	_, err := decodeBody(c.Scope, c.Body)
	return err
}

// Deletes reports whether the change deletes its scope.
func (c Change) Deletes() bool { return isEmpty(c.Body) }

// Rejection identifies a rejected change whose base is not below the version of its
// scope. It is kept because the change could otherwise be accepted later if its
// record were appended again when the scope has that version.
type Rejection struct {
	Scope   string  `json:"scope" validate:"required,max=80"`
	ID      string  `json:"id" validate:"required,max=128"`
	Base    uint64  `json:"base"`
	Verdict Verdict `json:"verdict" validate:"oneof=conflict invalid"`
}

// Entry is the state of a scope in a snapshot.
type Entry struct {
	Scope   string          `json:"scope" validate:"required,max=80"`
	Version uint64          `json:"version" validate:"gte=1"`
	ID      string          `json:"id" validate:"required,max=128"` // of the last accepted change
	Body    json.RawMessage `json:"body,omitempty"`                 // empty if the scope is deleted
}

// Check returns an error if the scope or body is invalid.
func (e Entry) Check() error {
	_, err := decodeBody(e.Scope, e.Body)
	return err
}

// Part is a record with a part of a snapshot. A snapshot is usable once all its parts
// have been read.
type Part struct {
	Kind     Kind        `json:"kind" validate:"oneof=snapshot"`
	ID       string      `json:"id" validate:"required,max=128"`
	At       uint64      `json:"at"` // offset of the last record that the snapshot includes
	Part     int         `json:"part" validate:"gte=0"`
	Parts    int         `json:"parts" validate:"gte=1,lte=100000"`
	Entries  []Entry     `json:"entries" validate:"dive"`
	Rejected []Rejection `json:"refused,omitempty" validate:"dive"`
}

// Check returns an error if the part number is out of range or an entry is invalid.
func (p Part) Check() error {
	if p.Part >= p.Parts {
		return errors.Errorf("part: number %d is out of range in a snapshot of %d parts", p.Part, p.Parts)
	}
	for _, entry := range p.Entries {
		if err := entry.Check(); err != nil {
			return err
		}
	}
	for _, rejection := range p.Rejected {
		if _, err := decodeBody(rejection.Scope, nil); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the JSON form of a record. It doesn't escape HTML characters, since
// escaping could make a snapshot entry larger than the body that it contains.
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

// decodeBody decodes the customer, model or service in the body. It returns nil for
// an empty body.
func decodeBody(scope string, body json.RawMessage) (any, error) {
	kind, name, found := strings.Cut(scope, "/")
	if !found {
		return nil, errors.Errorf("scope: %q is not customer/, model/ or service/ followed by a name", scope)
	}
	if err := decoder.Check(&scopeName{name}); err != nil {
		return nil, err
	}
	if len(body) > MaxBodyBytes {
		return nil, errors.Errorf("body: %d bytes exceed the limit of %d", len(body), MaxBodyBytes)
	}
	switch kind + "/" {
	case cowslipproxy.ScopeCustomer:
		return decodeAs(name, body, func(c cowslipproxy.Customer) string { return c.Name })
	case cowslipproxy.ScopeModel:
		return decodeAs(name, body, func(m cowslipproxy.Model) string { return m.Name })
	case cowslipproxy.ScopeService:
		return decodeAs(name, body, func(s cowslipproxy.Service) string { return s.Name })
	default:
		return nil, errors.Errorf("scope: %q is not customer/, model/ or service/ followed by a name", scope)
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
		return nil, errors.Errorf("body.name: %q differs from the name %q in the scope", nameOf(value), name)
	}
	return value, nil
}
