package cowslipproxy

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Instance is one run of an upstream server, as listed by the platform.
type Instance struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	Centre     string         `json:"centre"`
	State      VMState        `json:"state"`
	Slots      int            `json:"slots"`
	WarmUp     time.Duration  `json:"cold,omitempty"` // remaining warm-up time, during which it is slow
	StartedAt  time.Time      `json:"born"`           // start time; distinguishes runs with the same id
	Heartbeats uint64         `json:"beat"`           // number of heartbeats of this run; a later entry has a larger one
	Kind       string         `json:"kind,omitempty"` // kind of accelerator
	Model      string         `json:"model,omitempty"`
	Range      LayerRange     `json:"range"` // layers that it serves; empty when it holds none
}

// Check reports the first invalid field.
func (i Instance) Check() error {
	if i.ID == "" || i.Service == "" {
		return errors.Errorf("id %q or service %q is empty", i.ID, i.Service)
	}
	if !i.Address.IsValid() || i.Address.Port() == 0 {
		return errors.New("address: missing; an IP address and port are required")
	}
	if i.State != VMLive && i.State != VMLeaving {
		return errors.Errorf("state: %q is not live or leaving", i.State)
	}
	return nil
}

// Incarnation identifies this run of the server.
func (i Instance) Incarnation() string { return incarnation(i.ID, i.StartedAt) }

func incarnation(id string, startedAt time.Time) string {
	return id + "/" + strconv.FormatInt(startedAt.UnixMilli(), 36)
}

// HasLayers reports whether the instance serves a range of layers.
func (i Instance) HasLayers() bool { return i.Range.Len() > 0 }
