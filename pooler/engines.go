package pooler

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Engine returns the engine with the given name, if the pool has one.
func (p *Pool) Engine(name string) (cowslipproxy.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[name]
	if !ok {
		return nil, false
	}
	return e.Engine, true
}

// AllProbed reports whether each known engine has sent a report, each server of a plain
// service was probed, and the chooser has the results.
func (p *Pool) AllProbed() bool {
	for _, engine := range p.Dump().Engines {
		if engine.Reported.IsZero() {
			return false
		}
	}
	return p.servicesProbed() && p.isApplied()
}

// servicesProbed reports whether each server of a plain service was probed.
func (p *Pool) servicesProbed() bool {
	p.joinMu.Lock()
	known := p.joiner.Known(cowslipproxy.VMService)
	p.joinMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, vm := range known {
		if s := p.services[vm.Name]; s == nil || s.probing {
			return false
		}
	}
	return true
}

// isApplied reports whether the current state of all upstreams was applied by a refresh.
func (p *Pool) isApplied() bool {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	applied := true
	p.joiner.Each(func(vm cowslipproxy.VM, usable bool) {
		applied = applied && p.applied[vm.Name] == upstream{vm: vm, usable: usable}
	})
	return applied
}

// handleConnect handles a new connection to an engine.
func (p *Pool) handleConnect(name string, now time.Time) {
	p.mu.Lock()
	e := p.engines[name]
	p.mu.Unlock()
	if e == nil {
		return
	}
	p.joinMu.Lock()
	p.joiner.RecordProbe(name, true, now)
	p.joinMu.Unlock()
	p.triggerRefresh()
	p.reportChanges(context.Background(), p.ejector.RecordConnect(name, now))
}

// handleConnectionFailure handles a connection to an engine that was lost or could not be
// established.
func (p *Pool) handleConnectionFailure(name string, now time.Time) {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	p.joiner.RecordProbe(name, false, now)
}

// handleDisconnect handles the loss of an established connection to an engine. It counts
// as a crash if requests were in flight on the connection.
func (p *Pool) handleDisconnect(name string, requests []string, now time.Time) {
	p.reportChanges(context.Background(), p.ejector.RecordDisconnect(name, now))
	if p.OnCrash != nil && len(requests) > 0 {
		p.OnCrash(name, p.engineRun(name), requests, now)
	}
}

// engineRun identifies the last connected run of an engine. All daemons use the same
// identifier, so that their observations of one crash are counted as one.
func (p *Pool) engineRun(name string) string {
	if engine, ok := p.Engine(name); ok {
		report, _ := engine.Report()
		return name + "/" + report.RunID
	}
	return name
}

// handleReport handles a load report of an engine.
func (p *Pool) handleReport(name string, report cowslipproxy.Report, now time.Time) {
	p.joinMu.Lock()
	p.joiner.RecordProbe(name, true, now)
	p.joiner.RecordSelfReport(name, report.Leaving, now)
	p.joinMu.Unlock()
	p.ejector.Add(name, fmt.Sprintf("%s/%s%v", report.Model, report.Version, report.Range))
	p.chooser.Report(now, name, report)
}

// handleCacheEvent handles a cache event of an engine.
func (p *Pool) handleCacheEvent(name string, event cowslipproxy.CacheEvent, _ time.Time) {
	if p.chooser.ApplyCacheEvent(name, event) {
		reporter.EventCacheGap.Log(context.Background(), p.Logger, slog.String("engine", name), slog.Uint64("seq", event.Seq))
	}
}
