package leaser

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Stream is the name of the log stream with the lease records.
const Stream = "leases"

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"   // acquires or renews the lease
	KindRelease Kind = "release" // ends the lease of the holder early
)

// maxTTL limits how long an invalid record can block claims.
const maxTTL = time.Hour

// Record is a record of the log stream. The offset of a claim is its fencing
// token.
type Record struct {
	Kind   Kind                  `json:"kind"`
	ID     string                `json:"id"`     // unique for each claim; retries of an append keep it
	Name   string                `json:"name"`   // of the lease
	Holder string                `json:"holder"` // incarnation of the daemon that wrote the record
	Base   uint64                `json:"base"`   // offset up to which the holder had read the stream, exclusive
	TTL    cowslipproxy.Duration `json:"length"`
}

// Check reports the first invalid field.
func (r Record) Check() error {
	if r.Kind != KindClaim && r.Kind != KindRelease {
		return errors.Errorf("kind: %q is not claim or release", r.Kind)
	}
	for _, field := range []struct{ name, value string }{{"id", r.ID}, {"name", r.Name}, {"holder", r.Holder}} {
		if field.value == "" {
			return errors.Errorf("%s: missing; a non-empty string is required", field.name)
		}
	}
	if ttl := time.Duration(r.TTL); ttl <= 0 || ttl > maxTTL {
		return errors.Errorf("length: %v is not positive or exceeds %v", ttl, maxTTL)
	}
	return nil
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var record Record
	return record, decoder.StrictJSON(data, &record)
}
