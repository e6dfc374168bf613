package server

import (
	"time"

	"github.com/pkg/errors"
)

// FaultKind says what goes wrong with a request.
type FaultKind string

// Faults of the stand-in.
const (
	FaultDelay  FaultKind = "delay"  // waits before it reads the body
	FaultLost   FaultKind = "lost"   // the effect happens, the connection is cut instead of the answer
	FaultHalf   FaultKind = "half"   // the effect happens, the connection is cut within the answer
	FaultCut    FaultKind = "cut"    // the connection is cut before the body is read
	FaultCrash  FaultKind = "crash"  // when the body contains Text: from then on all connections are cut
	FaultRefuse FaultKind = "refuse" // 425, nothing is started
)

// Fault is a fault that the next requests meet.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	Path  string        `json:"path,omitempty"`  // prefix of the paths that it concerns
	Text  string        `json:"text,omitempty"`  // for crash
	Wait  time.Duration `json:"wait,omitempty"`  // for delay
	Count int           `json:"count,omitempty"` // so many requests; 0 for all
}

// Check reports the first field that is out of range.
func (f Fault) Check() error {
	switch f.Kind {
	case FaultDelay, FaultLost, FaultHalf, FaultCut, FaultRefuse:
	case FaultCrash:
		if f.Text == "" {
			return errors.New("text: found nothing, accepted is a text for a crash")
		}
	default:
		return errors.Errorf("kind: found %q, accepted are delay, lost, half, cut, crash and refuse", f.Kind)
	}
	if f.Count < 0 || f.Wait < 0 {
		return errors.Errorf("count, wait: found %d and %v, accepted are values from 0", f.Count, f.Wait)
	}
	return nil
}

// Control is what the control endpoint sets.
type Control struct {
	Faults []Fault `json:"faults"` // replace the present ones
	Honour bool    `json:"honour"` // honour Idempotency-Key
}

// Check reports the first field that is out of range.
func (c Control) Check() error {
	for i, fault := range c.Faults {
		if err := fault.Check(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}
