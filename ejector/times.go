package ejector

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// settledAfter is the number of samples after which an average is judged.
	settledAfter = 8
	// weight of a new sample in the average.
	weight = 1.0 / 8
	// minExcess keeps scheduling noise between fast peers from counting as slowness.
	minExcess = 20 * time.Millisecond
	// gain is the relative step of the estimate of the 99th percentile. With 1
	// sample in 100 above it, rises and falls cancel out.
	gain = 0.05

	minDecode  = 200 * time.Millisecond
	maxDecode  = time.Second
	maxPrefill = 5 * time.Second
	// decodeMultiple is the part of a decode step's timeout that scales with
	// the 99th percentile.
	decodeMultiple  = 3
	prefillMultiple = 3
)

// times are the measured times of an upstream, in nanoseconds.
type times struct {
	typical float64 // decayed average
	count   int
	p99     float64 // of decode steps
}

func (t *times) settled() bool { return t.count >= settledAfter }

func (t *times) add(took time.Duration) {
	value := float64(took)
	if t.count == 0 {
		t.typical = value
	}
	t.typical += (value - t.typical) * weight
	t.count++
}

// addDecode moves the estimate of the 99th percentile, which needs no memory of samples.
func (t *times) addDecode(took time.Duration) {
	value := float64(took)
	switch {
	case t.p99 == 0:
		t.p99 = value
	case value > t.p99:
		t.p99 *= 1 + gain*0.99
	default:
		t.p99 *= 1 - gain*0.01
	}
}

// Timeout returns how long a step may take on an upstream before it counts as
// failed. Together with a recomputation, a decode step's timeout fits into the
// 2 s that an upstream's death may cost. The expected time counts where it is
// longer than the measured one, since under overload only fast steps are measured.
func (e *Ejector) Timeout(name string, kind cowslipproxy.StepKind, expected time.Duration) time.Duration {
	if kind == cowslipproxy.StepPrefill {
		return min(max(prefillMultiple*expected, minDecode), maxPrefill)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	typical := expected
	if p := e.peers[name]; p != nil && p.times.settled() && p.times.p99 > 0 {
		typical = max(typical, time.Duration(p.times.p99))
	}
	return min(max(decodeMultiple*typical, minDecode), maxDecode)
}
