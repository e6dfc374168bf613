package chooser

import (
	"math"
	"time"
)

const (
	// halfLife lets an upstream that is no longer measured drift back to its
	// prior, so that it is tried again after a fault of its link. A reported
	// load loses its weight likewise when no newer report comes.
	halfLife = 10 * time.Second
	// maxWeight lets 16 new samples outweigh all older ones.
	maxWeight = 16
)

// average is a decayed average of measured times in nanoseconds.
type average struct {
	value  float64
	weight float64
	at     time.Duration
}

func (a *average) add(at time.Duration, value float64) {
	weight := min(a.decayed(at), maxWeight)
	a.value = (a.value*weight + value) / (weight + 1)
	a.weight = weight + 1
	a.at = max(a.at, at)
}

func (a *average) decayed(at time.Duration) float64 {
	if at <= a.at || a.weight == 0 {
		return a.weight
	}
	return a.weight * math.Exp2(-float64(at-a.at)/float64(halfLife))
}

// estimate mixes the average with a prior that counts as one sample.
func (a *average) estimate(at time.Duration, prior float64) float64 {
	weight := a.decayed(at)
	return (a.value*weight + prior) / (weight + 1)
}

// kind holds the measured times of one kind of accelerator, the prior of its upstreams.
type kind struct {
	prefill, decode average
}

const (
	// Priors for times that were never measured, in nanoseconds: a layer's
	// decode step, and a prefilled token as a fraction of it, since positions
	// of a prompt are computed together.
	priorDecode     = 500e3
	prefillFraction = 1.0 / 16
	// Priors for round trips inside a data centre and between two (section 1.1).
	priorNear = 200e3
	priorFar  = 700e3
	// crossing is the extra round trip of an upstream outside the preferred data centre.
	crossing = 500e3
	// refresh bounds how old the estimates of an unmeasured upstream get.
	refresh = time.Second
)

// estimates are what a decision needs of an upstream, with times in nanoseconds.
type estimates struct {
	prefill  float64 // per token, for all of the upstream's layers
	decode   float64 // per step, for all of the upstream's layers
	link     float64 // round trip
	reported float64 // steps by the newest report, which count less as it ages
	free     int     // cache memory by the newest report, in tokens
	at       time.Duration
}

// never is the time of estimates that have to be made anew.
const never = -refresh

// estimate returns the upstream's current times.
func (c *Chooser) estimate(u *upstream, at time.Duration) *estimates {
	if at-u.now.at >= refresh {
		c.refresh(u, at)
	}
	return &u.now
}

func (c *Chooser) refresh(u *upstream, at time.Duration) {
	decode, prefill := priorDecode, priorDecode*prefillFraction
	if k := c.kinds[u.report.Kind]; k != nil {
		decode = k.decode.estimate(at, decode)
		prefill = k.prefill.estimate(at, prefill)
	}
	if u.report.Pace > 0 {
		decode = float64(u.report.Pace)
	}
	link := priorFar
	if u.Centre == c.Centre {
		link = priorNear
	}
	layers := float64(u.report.Range.Len())
	age := math.Exp2(-float64(max(at-u.reportAt, 0)) / float64(halfLife))
	u.now = estimates{
		prefill:  u.prefill.estimate(at, prefill) * layers,
		decode:   u.decode.estimate(at, decode) * layers,
		link:     u.link.estimate(at, link),
		reported: float64(u.report.Queue+u.report.Running) * age,
		free:     u.report.Free,
		at:       at,
	}
	u.callTime = u.call.estimate(at, link)
}
