package measurer

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy/standin/driller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const (
	promptTokens     = 64
	completionTokens = 32
	deadline         = 3 * time.Second
)

// throughputBound returns the completion tokens per second that the engines can
// generate at their configured speeds. It is limited by the range whose engines have
// the lowest total speed. It assumes full decode batches without idle time between
// them.
func throughputBound(engines map[string]*emulator.Engine) float64 {
	requestRates := map[int]float64{} // requests per second by first layer of the range
	for _, e := range engines {
		layers := float64(e.Range.Len())
		batchTime := float64(e.Pace) * layers * (1 + e.BatchOverhead*float64(e.MaxBatch-1))
		requestTime := float64(e.PrefillTime)*layers*promptTokens + batchTime/float64(e.MaxBatch)*(completionTokens-1)
		requestRates[e.Range.First] += float64(time.Second) / requestTime
	}
	lowest := 0.0
	for _, rate := range requestRates {
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest * completionTokens
}

// load returns a load test at a fraction of the throughput bound.
func (d *deployment) load(factor, streamed float64, warmUp, duration time.Duration) *driller.Driller {
	return &driller.Driller{
		SeedAddresses: d.callerAddresses, Customers: customers, Model: model, Rate: factor * throughputBound(d.engines) / completionTokens,
		Duration: duration, WarmUp: warmUp, PromptTokens: promptTokens, CompletionTokens: completionTokens,
		StreamedShare: streamed, Deadline: deadline, MaxResends: 3, Seed: 1, RecordTraces: true,
	}
}
