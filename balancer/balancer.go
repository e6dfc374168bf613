// Package balancer chooses among servers by load figures that are up to a few seconds old. It
// starts no goroutine and does not read the clock.
package balancer

import (
	"math"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Balancer deals requests out by weights that correct a difference in load within some multiple
// of the age of the figures. Daemons that all send to the emptiest server overload it before
// their figures show that. It holds no state; the caller guards the credits of the candidates.
type Balancer struct {
	Hold time.Duration // mean time that a request occupies its server
}

const (
	// correctionAges is the time in which a difference in load is corrected, in ages of the
	// figures. A delayed correction overshoots if it is faster than e times the delay.
	correctionAges = math.E
	// maxGain bounds the gain for fresh figures.
	maxGain = 8.0
	// maxWeight bounds the requests of a server to this multiple of its share. The prompts of an
	// empty server would otherwise queue, although it has memory for them.
	maxWeight = 1.25
	// maxCredit bounds what a candidate is owed, so that it gets no burst of requests.
	maxCredit = 1.0
)

// Choose implements cowslipproxy.Balancer. Credits sum up to about 0, so that a candidate that was
// not offered for some time is owed no more than the others.
func (b *Balancer) Choose(candidates []cowslipproxy.Candidate) int {
	var load, room, credit float64
	for _, c := range candidates {
		load += c.Load * c.Room
		room += c.Room
		credit += *c.Credit
	}
	weights := make([]float64, len(candidates))
	var sum float64
	for i, c := range candidates {
		weights[i] = c.Room * c.Preference * b.weight(c, load/room)
		sum += weights[i]
	}
	best := 0
	for i, c := range candidates {
		*c.Credit = min(max(*c.Credit-credit/float64(len(candidates)), -maxCredit), maxCredit) + weights[i]/sum
		if *c.Credit > *candidates[best].Credit {
			best = i
		}
	}
	*candidates[best].Credit--
	return best
}

// weight returns the rate at which a candidate gets requests, relative to its room.
func (b *Balancer) weight(c cowslipproxy.Candidate, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	gain := min(b.Hold.Seconds()/(correctionAges*max(c.Age.Seconds(), 1e-3)), maxGain)
	return min(max(1+gain*(1-c.Load/mean), 0), maxWeight)
}
