package server

import (
	"time"

	"github.com/pkg/errors"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	FaultDelay    FaultKind = "delay"  // waits before reading the body
	FaultLost     FaultKind = "lost"   // closes the connection after the effect, without a response
	FaultTruncate FaultKind = "half"   // closes the connection after the effect, within the response
	FaultClose    FaultKind = "cut"    // closes the connection before reading the body
	FaultCrash    FaultKind = "crash"  // on a body that contains Text, closes this connection and those of all later requests
	FaultRefuse   FaultKind = "refuse" // responds with status 425 and has no effect
)

// Fault is a fault that is injected into matching requests.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	Path  string        `json:"path,omitempty"`  // prefix of the URL paths that match
	Text  string        `json:"text,omitempty"`  // for crash
	Wait  time.Duration `json:"wait,omitempty"`  // for delay
	Count int           `json:"count,omitempty"` // number of requests; 0 means all
}

// Check reports the first invalid field.
func (f Fault) Check() error {
	switch f.Kind {
	case FaultDelay, FaultLost, FaultTruncate, FaultClose, FaultRefuse:
	case FaultCrash:
		if f.Text == "" {
			return errors.New("text: required for a crash")
		}
	default:
		return errors.Errorf("kind: %q is not one of delay, lost, half, cut, crash and refuse", f.Kind)
	}
	if f.Count < 0 || f.Wait < 0 {
		return errors.Errorf("count, wait: %d or %v is not at least 0", f.Count, f.Wait)
	}
	return nil
}

// Control is the body of a request to the control endpoint.
type Control struct {
	Faults     []Fault `json:"faults"` // replace all earlier faults
	HonourKeys bool    `json:"honour"` // honour Idempotency-Key
}

// Check reports the first invalid field.
func (c Control) Check() error {
	for i, fault := range c.Faults {
		if err := fault.Check(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}
