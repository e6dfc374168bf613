package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	// startConfigurationWait bounds a long poll for a newer configuration in the first seconds
	// of a daemon, which then gets shares.
	startConfigurationWait = 2 * time.Second
	// configurationWait is the bound after that. A connection to the store may stall unnoticed, and
	// others detect by the age of a reader's last read that the reader stalled.
	configurationWait = 600 * time.Millisecond
)

// configurationWait returns how long a read of the configuration waits for a change.
func (d *Daemon) configurationWait() time.Duration {
	if !d.sharing.isReader() && d.Clock().Sub(d.sharing.started) < bootTime {
		return startConfigurationWait
	}
	return configurationWait
}

// handleConfigurations applies configurations read from the store.
func (d *Daemon) handleConfigurations(now time.Time, changes cowslipproxy.Changes[cowslipproxy.RelayConfiguration]) {
	for _, item := range changes.Items {
		if item.Err != nil {
			reporter.EventRelayConfigInvalid.Log(context.Background(), d.Logger, slog.Any("error", item.Err))
			continue
		}
		if !item.Deleted {
			d.apply(item.Value, "store")
		}
	}
	// After the activation, so that the position is never ahead of the active version.
	d.sharing.recordRead(&d.sharing.configuration, now, changes.Next)
}

// apply activates a configuration if it is newer than the current one.
func (d *Daemon) apply(configuration cowslipproxy.RelayConfiguration, source string) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if d.configurationVersion() >= configuration.Version {
		return
	}
	lag := d.announced.lag(d.Clock(), d.configurationVersion())
	d.matcher.Store(matcher.New(configuration))
	reporter.EventRelayConfigActivated.Log(context.Background(), d.Logger, slog.Uint64("version", configuration.Version), slog.String("source", source), slog.Duration("lag", lag))
	d.upstreams.Refresh()
	d.limits.setRetryRates(configuration.Services)
	d.announceReady()
	d.share(context.Background())
}

// handleInstances applies changes of the instance list read from the store.
func (d *Daemon) handleInstances(now time.Time, changes cowslipproxy.Changes[cowslipproxy.Instance]) {
	for _, item := range changes.Items {
		if item.Err != nil {
			reporter.EventListEntryInvalid.Log(context.Background(), d.Logger, slog.String("key", item.Key), slog.Any("error", item.Err))
		}
	}
	if changes.Restored {
		d.quarantine.recordRestored()
	}
	d.registrar.RecordCurrent(d.sharing.listCurrentAt())
	deferred := d.registrar.Deferred()
	changed := d.registrar.Apply(now, changes)
	if after := d.registrar.Deferred(); after > deferred {
		reporter.EventRemovalsDeferred.Log(context.Background(), d.Logger, slog.Int("deferred", after), slog.Duration("age", d.sharing.listAge(now)), slog.Bool("restored", changes.Restored))
	}
	d.sharing.recordRead(&d.sharing.list, now, changes.Next)
	d.sharing.setList(d.owner.Name, 0, changes.Next)
	d.updateInstances(changed)
	d.share(context.Background())
}

// updateInstances updates the load balancing state of each service after the
// instance list was read or received, if it changed or is the first one.
func (d *Daemon) updateInstances(changed bool) {
	if d.listKnown.Swap(true) && !changed {
		return
	}
	instances := d.registrar.Instances()
	live := countLive(instances)
	reporter.EventUpstreamsChanged.Log(context.Background(), d.Logger, slog.Int("live", live), slog.Int("leaving", len(instances)-live),
		slog.Int("deferred", d.registrar.Deferred()), d.sharing.listAttributes(d.Clock()))
	d.upstreams.Refresh()
	d.speeds.retain(instances)
	d.announceReady()
}

// upstreams is what the load balancing state of all services is set from.
type upstreams struct {
	matcher   *matcher.Matcher // nil until a configuration is known
	instances []cowslipproxy.Instance
}

func (d *Daemon) takeUpstreams() upstreams {
	return upstreams{d.matcher.Load(), d.registrar.Instances()}
}

func (d *Daemon) setUpstreams(current upstreams) {
	if current.matcher != nil {
		d.pools.set(current.matcher.RelayConfiguration, current.instances)
	}
}

func countLive(instances []cowslipproxy.Instance) (live int) {
	for _, instance := range instances {
		if instance.State == cowslipproxy.VMLive {
			live++
		}
	}
	return live
}

// announceReady announces once to other daemons that this one can serve callers.
func (d *Daemon) announceReady() {
	if !d.isReady() || d.readyAnnounced.Swap(true) {
		return
	}
	reporter.EventReadinessChanged.Log(context.Background(), d.Logger, slog.Bool("ready", true))
	if err := d.gossiper.PublishReady(); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), d.Logger, slog.Any("error", err))
	}
}
