package ejector

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// minSamples is the number of samples from which an average is compared.
	minSamples = 8
	// sampleWeight is the weight of a new sample in the average.
	sampleWeight = 1.0 / 8
	// minExcess is the minimum excess over the median that counts as slow. It
	// excludes scheduling noise between fast peers.
	minExcess = 20 * time.Millisecond
	// p99Step is the relative step of the estimate of the 99th percentile. If 1
	// sample in 100 is above the estimate, increases and decreases cancel out.
	p99Step = 0.05

	minTimeout        = 200 * time.Millisecond
	maxDecodeTimeout  = time.Second
	maxPrefillTimeout = 5 * time.Second
	// decodeMultiple is the timeout of a decode step as a multiple of the 99th
	// percentile or the expected time, prefillMultiple that of a prefill step as
	// a multiple of the expected time.
	decodeMultiple  = 3
	prefillMultiple = 3
)

// times holds the measured times of an upstream in nanoseconds.
type times struct {
	average float64 // exponentially decayed
	count   int     // samples in the average
	p99     float64 // estimated 99th percentile of decode steps
}

func (t *times) hasEnoughSamples() bool { return t.count >= minSamples }

func (t *times) add(took time.Duration) {
	value := float64(took)
	if t.count == 0 {
		t.average = value
	}
	t.average += (value - t.average) * sampleWeight
	t.count++
}

// addDecode updates the estimate of the 99th percentile, which stores no samples.
func (t *times) addDecode(took time.Duration) {
	value := float64(took)
	switch {
	case t.p99 == 0:
		t.p99 = value
	case value > t.p99:
		t.p99 *= 1 + p99Step*0.99
	default:
		t.p99 *= 1 - p99Step*0.01
	}
}

// Timeout returns the time after which a step on an upstream counts as failed. The
// timeout of a decode step leaves time to recompute the step within the 2 s by which
// the crash of an upstream may delay a request. The expected time is used if it is
// longer than the measured time, since under overload only fast steps complete and
// are measured.
func (e *Ejector) Timeout(name string, kind cowslipproxy.StepKind, expected time.Duration) time.Duration {
	if kind == cowslipproxy.StepPrefill {
		return min(max(prefillMultiple*expected, minTimeout), maxPrefillTimeout)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reference := expected
	if p := e.peers[name]; p != nil && p.times.hasEnoughSamples() && p.times.p99 > 0 {
		reference = max(reference, time.Duration(p.times.p99))
	}
	return min(max(decodeMultiple*reference, minTimeout), maxDecodeTimeout)
}
