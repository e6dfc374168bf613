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

// Bounds on the fields of an instance and of a list. Entries that exceed them come from another writer.
const (
	maxSlots      = 1 << 20
	maxLayers     = 1 << 16
	maxHeartbeats = 1 << 53 // largest integer that all JSON decoders keep
	maxWarmUp     = 24 * time.Hour
	maxDeferral   = time.Minute
)

// maxStartedAt is the latest time that can be encoded for other daemons.
var maxStartedAt = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)

// Check reports the first invalid field.
func (i Instance) Check() error {
	if i.ID == "" || i.Service == "" {
		return errors.Errorf("id %q or service %q is empty", i.ID, i.Service)
	}
	if !i.Address.IsValid() || i.Address.Port() == 0 || i.Address.Addr().Zone() != "" {
		return errors.Errorf("address: %v; an IP address without a zone and a port are required", i.Address)
	}
	if i.Slots < 0 || i.Slots > maxSlots {
		return errors.Errorf("slots: %d is not between 0 and %d", i.Slots, maxSlots)
	}
	if i.WarmUp < 0 || i.WarmUp > maxWarmUp {
		return errors.Errorf("warm-up time: %v is not between 0 and %v", i.WarmUp, maxWarmUp)
	}
	if i.StartedAt.After(maxStartedAt) || i.StartedAt.Before(time.Unix(0, 0)) {
		return errors.Errorf("start: %d ms is not between 1970 and 9999", i.StartedAt.UnixMilli())
	}
	if i.Heartbeats > maxHeartbeats {
		return errors.Errorf("heartbeats: %d exceed %d", i.Heartbeats, uint64(maxHeartbeats))
	}
	if i.Range.First < 0 || i.Range.End < i.Range.First || i.Range.End > maxLayers {
		return errors.Errorf("layers: %v is not a range within [0,%d)", i.Range, maxLayers)
	}
	if i.State != VMLive && i.State != VMLeaving {
		return errors.Errorf("state: %q is not live or leaving", i.State)
	}
	return nil
}

// InstanceList is the complete instance list that a daemon sends to another one.
type InstanceList struct {
	Instances   []Instance    `json:"instances,omitempty"`
	Deferred    []string      `json:"deferred,omitempty"` // ids of instances that the store's list has dropped and that stay in use for DeferredFor
	DeferredFor time.Duration `json:"grace,omitempty"`
}

// Check reports the first invalid field.
func (l InstanceList) Check() error {
	if l.DeferredFor < 0 || l.DeferredFor > maxDeferral {
		return errors.Errorf("removals deferred for %v: want between 0 and %v", l.DeferredFor, maxDeferral)
	}
	for _, instance := range l.Instances {
		if err := instance.Check(); err != nil {
			return errors.Wrapf(err, "instance %s", instance.ID)
		}
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
