package limiter

import "github.com/pkg/errors"

// maxDemands bounds the entries of a received digest. Senders stay far below it.
const maxDemands = 1000

// Digest publishes one daemon's recent demand to the other daemons. It contains
// the customers whose demand changed, and a repeated unchanged one to make up for
// lost digests.
type Digest struct {
	Source  string   `json:"source"` // incarnation of the sending daemon
	Seq     uint64   `json:"seq"`    // sequence number, increases with each digest of a source
	Demands []Demand `json:"demands,omitempty"`
}

// Demand is the demand of one customer at one daemon.
type Demand struct {
	Customer string `json:"customer"`
	Rate     uint32 `json:"rate"` // requested tokens per second, including those of refused requests
}

// Check reports the first invalid field.
func (d Digest) Check() error {
	if d.Source == "" {
		return errors.New("source: missing; an incarnation is required")
	}
	if d.Seq == 0 {
		return errors.New("seq: 0 is not at least 1")
	}
	if len(d.Demands) > maxDemands {
		return errors.Errorf("demands: %d exceed the limit of %d", len(d.Demands), maxDemands)
	}
	for i, demand := range d.Demands {
		if demand.Customer == "" {
			return errors.Errorf("demands[%d].customer: missing; a name is required", i)
		}
	}
	return nil
}
