package limiter

import "github.com/pkg/errors"

// mostDemands bounds a received digest; a sender stays far below it.
const mostDemands = 1000

// Digest tells the other daemons the recent demand that one daemon sees.
// It holds only the customers whose demand changed, and a few repeated ones
// that repair lost digests.
type Digest struct {
	Source  string   `json:"source"` // incarnation of the daemon
	Seq     uint64   `json:"seq"`    // grows with each digest of a source
	Demands []Demand `json:"demands,omitempty"`
}

// Demand is the demand of one customer at one daemon.
type Demand struct {
	Customer string `json:"customer"`
	Rate     uint32 `json:"rate"` // tokens per second that were asked for, including refused ones
}

// Check reports the first field that is out of range.
func (d Digest) Check() error {
	if d.Source == "" {
		return errors.New("source: found nothing, accepted is an incarnation")
	}
	if d.Seq == 0 {
		return errors.New("seq: found 0, accepted are numbers from 1")
	}
	if len(d.Demands) > mostDemands {
		return errors.Errorf("demands: found %d, accepted are at most %d", len(d.Demands), mostDemands)
	}
	for i, demand := range d.Demands {
		if demand.Customer == "" {
			return errors.Errorf("demands[%d].customer: found nothing, accepted is a name", i)
		}
	}
	return nil
}
