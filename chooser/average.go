package chooser

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of a measurement's weight. Without new measurements,
	// the estimates of an upstream return to their priors, so that it gets requests
	// again after a link fault. A reported load decays in the same way until a newer
	// report arrives.
	halfLife = 10 * time.Second
	// maxWeight limits the weight of older samples to that of 16 new ones.
	maxWeight = 16
)

// average is an exponentially decayed average of durations in nanoseconds.
type average struct {
	value  float64
	weight float64
	at     time.Duration
}

func (a *average) add(at time.Duration, value float64) {
	weight := min(a.decayedWeight(at), maxWeight)
	a.value = (a.value*weight + value) / (weight + 1)
	a.weight = weight + 1
	a.at = max(a.at, at)
}

func (a *average) decayedWeight(at time.Duration) float64 {
	if at <= a.at || a.weight == 0 {
		return a.weight
	}
	return a.weight * math.Exp2(-float64(at-a.at)/float64(halfLife))
}

// estimate combines the average with a prior that has the weight of one sample.
func (a *average) estimate(at time.Duration, prior float64) float64 {
	weight := a.decayedWeight(at)
	return (a.value*weight + prior) / (weight + 1)
}

// kindTimes holds the average times of one accelerator kind, which serve as the
// priors of its upstreams.
type kindTimes struct {
	prefill, decode average
}

const (
	// Priors without any measurement: the decode time of one layer in
	// nanoseconds, and the prefill time of one token as a fraction of it. A
	// prefilled token takes less, since the tokens of a prompt are computed
	// in parallel.
	priorLayerDecode     = 500e3
	priorPrefillFraction = 1.0 / 16
	// Priors for the round trip within a data centre and between two, in
	// nanoseconds (section 1.1 of the design).
	priorSameCentreTrip  = 200e3
	priorCrossCentreTrip = 700e3
	// crossCentreTrip is the additional round trip to an upstream outside the
	// preferred data centre, in nanoseconds.
	crossCentreTrip = 500e3
	// maxEstimateAge is the age at which the estimates of an upstream are
	// recomputed if there was no new measurement.
	maxEstimateAge = time.Second
)

// estimates holds the values of an upstream that a decision reads. Times are in
// nanoseconds.
type estimates struct {
	prefill       float64 // per token, for all layers of the upstream
	decode        float64 // per step, for all layers of the upstream
	link          float64 // round trip
	reportedSteps float64 // queued and running steps in the newest report, decayed by its age
	freeTokens    int     // free cache memory in the newest report, in tokens
	at            time.Duration
}

// neverComputed is the time of estimates that must be computed before use.
const neverComputed = -maxEstimateAge

// estimate returns the upstream's estimates, recomputed if they are too old.
func (c *Chooser) estimate(u *upstream, at time.Duration) *estimates {
	if at-u.currentEstimates.at >= maxEstimateAge {
		c.refresh(u, at)
	}
	return &u.currentEstimates
}

func (c *Chooser) refresh(u *upstream, at time.Duration) {
	decode, prefill := priorLayerDecode, priorLayerDecode*priorPrefillFraction
	if k := c.accelerators[u.report.Kind]; k != nil {
		decode = k.decode.estimate(at, decode)
		prefill = k.prefill.estimate(at, prefill)
	}
	if u.report.Pace > 0 {
		decode = float64(u.report.Pace)
	}
	link := priorCrossCentreTrip
	if u.Centre == c.Centre {
		link = priorSameCentreTrip
	}
	layers := float64(u.report.Range.Len())
	age := math.Exp2(-float64(max(at-u.reportAt, 0)) / float64(halfLife))
	u.currentEstimates = estimates{
		prefill:       u.prefill.estimate(at, prefill) * layers,
		decode:        u.decode.estimate(at, decode) * layers,
		link:          u.link.estimate(at, link),
		reportedSteps: float64(u.report.Queue+u.report.Running) * age,
		freeTokens:    u.report.FreeTokens,
		at:            at,
	}
	u.callTime = u.call.estimate(at, link)
}
