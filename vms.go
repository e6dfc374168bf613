package cowslipproxy

import (
	"net/netip"

	"github.com/pkg/errors"
)

// VMRole is the kind of program that runs on a VM.
type VMRole string

// Roles of VMs.
const (
	VMEntry   VMRole = "entry"
	VMEngine  VMRole = "engine"
	VMService VMRole = "service"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    string         `json:"name"`
	Role    VMRole         `json:"role"`
	Address netip.AddrPort `json:"address"` // entry VMs: the address for other entry daemons
	Centre  string         `json:"centre"`  // data centre
	State   VMState        `json:"state"`
	Service string         `json:"service,omitempty"` // name of the plain service
}

// Check reports the first invalid field.
func (v VM) Check() error {
	if v.Name == "" {
		return errors.New("name: missing; a name is required")
	}
	if v.Role != VMEntry && v.Role != VMEngine && v.Role != VMService {
		return errors.Errorf("role: %q is not entry, engine or service", v.Role)
	}
	if !v.Address.IsValid() {
		return errors.New("address: missing; an IP address and port are required")
	}
	if v.State != VMLive && v.State != VMLeaving {
		return errors.Errorf("state: %q is not live or leaving", v.State)
	}
	if v.Role == VMService && v.Service == "" {
		return errors.New("service: missing; the name of the service is required")
	}
	return nil
}
