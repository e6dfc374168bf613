package leaser

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Stream is the log stream of leases.
const Stream = "leases"

// Kind says what a record does.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"   // takes or renews the lease
	KindRelease Kind = "release" // ends the holder's lease early
)

// longest bounds how long a wrong record can keep others from the lease.
const longest = time.Hour

// Record is a record of the log stream. Its offset is the fencing number.
type Record struct {
	Kind   Kind                  `json:"kind"`
	ID     string                `json:"id"`     // one for each claim; an append that is repeated keeps it
	Name   string                `json:"name"`   // of the lease
	Holder string                `json:"holder"` // incarnation of the daemon
	Base   uint64                `json:"base"`   // the author has read all records before this offset
	Length cowslipproxy.Duration `json:"length"`
}

// Check reports the first field that is out of range.
func (r Record) Check() error {
	if r.Kind != KindClaim && r.Kind != KindRelease {
		return errors.Errorf("kind: found %q, accepted are claim and release", r.Kind)
	}
	for _, field := range []struct{ name, value string }{{"id", r.ID}, {"name", r.Name}, {"holder", r.Holder}} {
		if field.value == "" {
			return errors.Errorf("%s: found nothing, accepted is a name", field.name)
		}
	}
	if length := time.Duration(r.Length); length <= 0 || length > longest {
		return errors.Errorf("length: found %v, accepted are lengths up to %v", length, longest)
	}
	return nil
}

// Decode decodes a record and checks it.
func Decode(data []byte) (Record, error) {
	var record Record
	return record, decoder.StrictJSON(data, &record)
}
