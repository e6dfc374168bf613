package pooler

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Engine returns a connected engine.
func (p *Pool) Engine(name string) (cowslipproxy.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[name]
	if !ok {
		return nil, false
	}
	return e.Engine, true
}

// Reached reports whether each known upstream was tried, and the chooser has
// what came of it.
func (p *Pool) Reached() bool {
	for _, engine := range p.Dump().Engines {
		if engine.Reported.IsZero() {
			return false
		}
	}
	return p.probed() && p.isTaken()
}

// probed reports whether each server of a plain service was probed.
func (p *Pool) probed() bool {
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

// isTaken reports whether the newest refresh took in what is known now.
func (p *Pool) isTaken() bool {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	taken := true
	p.joiner.Each(func(vm cowslipproxy.VM, usable bool) {
		taken = taken && p.taken[vm.Name] == upstream{vm: vm, usable: usable}
	})
	return taken
}

func (p *Pool) up(name string, now time.Time) {
	p.mu.Lock()
	e := p.engines[name]
	p.mu.Unlock()
	if e == nil {
		return
	}
	p.joinMu.Lock()
	p.joiner.RecordProbe(name, true, now)
	p.joinMu.Unlock()
	p.signal()
	p.changes(context.Background(), p.ejector.Connected(name, now))
}

func (p *Pool) failed(name string, now time.Time) {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	p.joiner.RecordProbe(name, false, now)
}

func (p *Pool) down(name string, requests []string, now time.Time) {
	p.changes(context.Background(), p.ejector.Disconnected(name, now))
	if p.OnCrash != nil && len(requests) > 0 {
		p.OnCrash(name, p.runOf(name), requests, now)
	}
}

// runOf names the run of an engine that was connected last. All daemons name it
// alike, so that what they saw of one crash counts as one.
func (p *Pool) runOf(name string) string {
	if engine, ok := p.Engine(name); ok {
		report, _ := engine.Report()
		return name + "/" + report.Boot
	}
	return name
}

func (p *Pool) report(name string, report cowslipproxy.Report, now time.Time) {
	p.joinMu.Lock()
	p.joiner.RecordProbe(name, true, now)
	p.joiner.Report(name, report.Leaving, now)
	p.joinMu.Unlock()
	p.ejector.Add(name, fmt.Sprintf("%s/%s%v", report.Model, report.Version, report.Range))
	p.chooser.Report(now, name, report)
}

func (p *Pool) event(name string, event cowslipproxy.CacheEvent, _ time.Time) {
	if p.chooser.ApplyCacheEvent(name, event) {
		reporter.EventCacheGap.Log(context.Background(), p.Logger, slog.String("engine", name), slog.Uint64("seq", event.Seq))
	}
}
