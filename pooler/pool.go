// Package pooler maintains the connections to upstreams. It updates the chooser and
// the ejector from the list of VMs, engine reports, probes and the results of steps.
package pooler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/ejector"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/joiner"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/runner"
)

const (
	refreshPeriod = 200 * time.Millisecond // well below the 3 s after which a leaving upstream must get no new work
	probePeriod   = time.Second
	probeTimeout  = 500 * time.Millisecond
	forgetAfter   = 5 * time.Minute // an upstream that is neither listed nor reachable is removed after this time, in which its requests may finish
)

// Pool manages the upstreams of a daemon. Name and Centre are set before Prepare, the
// other exported fields before Run.
type Pool struct {
	Name        string                                                       // of this daemon
	Centre      string                                                       // data centre of this daemon
	OnCrash     func(upstream, run string, requests []string, now time.Time) // run identifies the run of the engine
	RequestHold func(daemon string, hold HoldMessage) bool                   // requests a hold from another daemon; nil if there are no other daemons
	Checker     *checker.Checker
	Clock       func() time.Time
	Logger      *slog.Logger
	Metrics     metrics.Registry

	chooser  chooser.Chooser
	suspects suspects
	ejector  ejector.Ejector

	joinMu  sync.Mutex // never held while the chooser is called
	joiner  joiner.Joiner
	applied map[string]upstream // state applied by the last refresh

	wake chan struct{} // triggers a refresh

	mu       sync.Mutex
	engines  map[string]*engine
	services map[string]*service
	ctx      context.Context // context of Run, used for the connections
	group    sync.WaitGroup
}

type engine struct {
	*runner.Engine
	cancel context.CancelFunc
}

// upstream is the state of an upstream that a refresh applies.
type upstream struct {
	vm     cowslipproxy.VM
	usable bool
}

type service struct {
	forwarder.Server
	vm      cowslipproxy.VM
	probing bool
}

// Prepare initializes the pool. It must be called before any other method.
func (p *Pool) Prepare() {
	p.chooser.Name, p.chooser.Centre = p.Name, p.Centre
	p.chooser.Usable = p.ejector.Usable
	p.applied = map[string]upstream{}
	p.wake = make(chan struct{}, 1)
	p.engines = map[string]*engine{}
	p.services = map[string]*service{}
}

// Run keeps the pool up to date until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	defer p.group.Wait()
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	var lastProbe time.Time
	for {
		now := p.Clock()
		p.refresh(ctx, now)
		if now.Sub(lastProbe) >= probePeriod {
			lastProbe = now
			p.probe(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.wake:
		}
	}
}

// triggerRefresh triggers a refresh without waiting for the next period.
func (p *Pool) triggerRefresh() {
	select {
	case p.wake <- struct{}{}:
	default: // a refresh is pending already
	}
}

// List updates the upstreams from the platform's list of VMs.
func (p *Pool) List(list lister.List) {
	now := p.Clock()
	p.joinMu.Lock()
	var upstreams []cowslipproxy.VM
	for _, vm := range list.VMs {
		if vm.Role != cowslipproxy.VMEntry {
			upstreams = append(upstreams, vm)
		}
	}
	p.joiner.ApplyList(upstreams, list.Taken, now)
	p.joinMu.Unlock()
	p.triggerRefresh()
}

// Drain starts or ends the draining of an upstream on an operator's order.
func (p *Pool) Drain(name string, on bool) {
	p.joinMu.Lock()
	p.joiner.Drain(name, on, p.Clock())
	p.joinMu.Unlock()
	p.triggerRefresh()
}

// refresh connects to new upstreams, removes those that were neither listed nor reachable
// for forgetAfter, and notifies the chooser and the ejector of those that became leaving
// or may get new work again.
func (p *Pool) refresh(ctx context.Context, now time.Time) {
	p.joinMu.Lock()
	changed := p.changed()
	forgotten := p.joiner.Forget(now.Add(-forgetAfter))
	for _, name := range forgotten {
		delete(p.applied, name)
	}
	err := p.joiner.Check()
	p.joinMu.Unlock()
	if err != nil {
		_ = p.Checker.ReportViolation(ctx, checker.InvariantLeaving, "", err) // the work was sent already, so there is no request to end
	}
	for _, u := range changed {
		p.connect(u.vm, now)
		p.chooser.SetLeaving(u.vm.Name, !u.usable)
		p.reportChanges(ctx, p.ejector.SetLeaving(u.vm.Name, !u.usable, now))
	}
	for _, name := range forgotten {
		p.disconnect(ctx, name, now)
	}
}

// changed returns the upstreams whose state changed since the last refresh and
// records the new state as applied. Updating the connections and the chooser for all
// 6,900 upstreams in each refresh took 9 % of a core.
func (p *Pool) changed() []upstream {
	var changed []upstream
	p.joiner.Each(func(vm cowslipproxy.VM, usable bool) {
		if u := (upstream{vm: vm, usable: usable}); p.applied[vm.Name] != u {
			p.applied[vm.Name] = u
			changed = append(changed, u)
		}
	})
	return changed
}

// connect starts to connect to an engine, or to probe a server of a plain service. It
// does nothing if the upstream is known at the same address.
func (p *Pool) connect(vm cowslipproxy.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.Role == cowslipproxy.VMService {
		if s := p.services[vm.Name]; s != nil && s.vm.Address == vm.Address {
			return
		}
		s := &service{Server: forwarder.Server{Address: vm.Address}, vm: vm, probing: true}
		p.services[vm.Name] = s
		p.ejector.Add(vm.Name, cowslipproxy.ScopeService+vm.Service)
		p.chooser.Add(now, chooser.Upstream{Name: vm.Name, VM: vm.Name, Centre: vm.Centre, Service: vm.Service})
		p.group.Go(func() { p.probeService(p.ctx, s) })
		return
	}
	if e := p.engines[vm.Name]; e != nil {
		if e.VM.Address == vm.Address {
			return
		}
		e.cancel()
	}
	p.chooser.Add(now, chooser.Upstream{Name: vm.Name, VM: vm.Name, Centre: vm.Centre})
	ctx, cancel := context.WithCancel(p.ctx)
	e := &engine{cancel: cancel, Engine: &runner.Engine{
		VM: vm, Logger: p.Logger, Metrics: p.Metrics, Clock: p.Clock,
		OnConnect: p.handleConnect, OnDisconnect: p.handleDisconnect, OnConnectionFailure: p.handleConnectionFailure, OnReport: p.handleReport, OnEvent: p.handleCacheEvent,
	}}
	p.engines[vm.Name] = e
	p.group.Go(func() {
		if err := e.Run(ctx); err != nil {
			reporter.EventEngineLost.Log(ctx, p.Logger, slog.String("engine", vm.Name), slog.Any("error", err))
		}
	})
}

// disconnect closes the connections to an upstream and removes it.
func (p *Pool) disconnect(ctx context.Context, name string, now time.Time) {
	p.mu.Lock()
	if e := p.engines[name]; e != nil {
		e.cancel()
		delete(p.engines, name)
	}
	if s := p.services[name]; s != nil {
		s.Close()
		delete(p.services, name)
	}
	p.mu.Unlock()
	p.chooser.Remove(name)
	p.reportChanges(ctx, p.ejector.Remove(name, now))
}

// reportChanges logs the ejections and restorations of upstreams and counts the
// ejections.
func (p *Pool) reportChanges(ctx context.Context, changes []ejector.Change) {
	for _, change := range changes {
		if change.Ejected {
			reporter.Count(p.Metrics, reporter.MetricEjections)
			reporter.EventEjected.Log(ctx, p.Logger, slog.String("upstream", change.Name), slog.String("cause", string(change.Cause)), slog.Time("until", change.Until))
			continue
		}
		reporter.EventRestored.Log(ctx, p.Logger, slog.String("upstream", change.Name))
	}
}
