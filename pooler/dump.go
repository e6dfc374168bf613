package pooler

import (
	"sort"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/ejector"
	"github.com/cowslipproxy/cowslipproxy/joiner"
)

// Dump is the state of a pool.
type Dump struct {
	Engines  []EngineState   `json:"engines"`
	Services []ServiceState  `json:"services"`
	Ejector  []ejector.State `json:"ejector"`
}

// EngineState is the state of an engine as known to this daemon.
type EngineState struct {
	cowslipproxy.VM
	Reason   joiner.Reason       `json:"reason,omitempty"` // why it gets no new work
	Report   cowslipproxy.Report `json:"report"`
	Reported time.Time           `json:"reported,omitzero"`
}

// ServiceState is the state of a plain service's server as known to this daemon.
type ServiceState struct {
	cowslipproxy.VM
	Reason joiner.Reason `json:"reason,omitempty"` // why it gets no new work
}

// Dump returns the state of all upstreams, ordered by name.
func (p *Pool) Dump() Dump {
	p.joinMu.Lock()
	engines, services := p.joiner.Known(cowslipproxy.VMEngine), p.joiner.Known(cowslipproxy.VMService)
	reasons := map[string]joiner.Reason{}
	for _, vm := range append(engines, services...) {
		reasons[vm.Name] = p.joiner.ReasonFor(vm.Name)
	}
	p.joinMu.Unlock()
	dump := Dump{Ejector: p.ejector.Dump()}
	for _, vm := range services {
		dump.Services = append(dump.Services, ServiceState{VM: vm, Reason: reasons[vm.Name]})
	}
	for _, vm := range engines {
		state := EngineState{VM: vm, Reason: reasons[vm.Name]}
		if engine, ok := p.Engine(vm.Name); ok {
			state.Report, state.Reported = engine.Report()
		}
		dump.Engines = append(dump.Engines, state)
	}
	sort.Slice(dump.Engines, func(i, j int) bool { return dump.Engines[i].Name < dump.Engines[j].Name })
	return dump
}

// ExplainService returns the server to which a call to a plain service would be sent
// now.
func (p *Pool) ExplainService(now time.Time, name string) (string, error) {
	pick, err := p.chooser.Service(now, name, nil)
	return pick.Name, err
}
