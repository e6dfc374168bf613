package measurer

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy/standin/driller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const (
	promptTokens = 64
	answerTokens = 32
	deadline     = 3 * time.Second
)

// bound returns the tokens of answers per second that the engines can compute
// by their set speeds: of the range whose engines are slowest together, with
// full batches of decodes and no time lost between two batches.
func bound(engines map[string]*emulator.Engine) float64 {
	sums := map[int]float64{} // answers per second by first layer
	for _, e := range engines {
		layers := float64(e.Range.Len())
		batch := float64(e.Pace) * layers * (1 + e.Share*float64(e.Batch-1))
		answer := float64(e.Prefill)*layers*promptTokens + batch/float64(e.Batch)*(answerTokens-1)
		sums[e.Range.First] += float64(time.Second) / answer
	}
	least := 0.0
	for _, sum := range sums {
		if least == 0 || sum < least {
			least = sum
		}
	}
	return least * answerTokens
}

// load prepares a run of load at a part of the bound.
func (d *deployment) load(part, streamed float64, warm, duration time.Duration) *driller.Driller {
	return &driller.Driller{
		Seeds: d.callers, Customers: customers, Model: model, Rate: part * bound(d.engines) / answerTokens,
		Duration: duration, Warm: warm, Prompt: promptTokens, Answer: answerTokens,
		Streamed: streamed, Deadline: deadline, Resend: 3, Seed: 1, Traces: true,
	}
}
