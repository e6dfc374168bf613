package cowslipproxy

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Instance is one run of an upstream's server, as the platform lists it.
type Instance struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Centre  string         `json:"centre"`
	State   VMState        `json:"state"`
	Slots   int            `json:"slots"`
	Cold    time.Duration  `json:"cold,omitempty"` // how much longer it is slow after its start
	Born    time.Time      `json:"born"`           // distinguishes runs under one id
	Beat    uint64         `json:"beat"`           // heartbeats of this run; a later entry has more
	Kind    string         `json:"kind,omitempty"` // of its accelerator
	Model   string         `json:"model,omitempty"`
	Range   LayerRange     `json:"range"` // layers that it serves; empty when it holds none
}

// Check reports the first field that makes an entry unusable.
func (i Instance) Check() error {
	if i.ID == "" || i.Service == "" {
		return errors.Errorf("found id %q and service %q, accepted are names", i.ID, i.Service)
	}
	if !i.Address.IsValid() || i.Address.Port() == 0 {
		return errors.New("address: found nothing, accepted is an IP number and port")
	}
	if i.State != VMLive && i.State != VMLeaving {
		return errors.Errorf("state: found %q, accepted are live and leaving", i.State)
	}
	return nil
}

// HasLayers reports whether the instance serves a range of layers.
func (i Instance) HasLayers() bool { return i.Range.Len() > 0 }
