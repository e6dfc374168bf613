package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// tableWait is how long a read waits for a newer configuration. A connection to
// the store may go silent, so that it is shorter than the store allows.
const tableWait = 2 * time.Second

// foldTables takes in configurations from the store.
func (d *Daemon) foldTables(_ time.Time, changes cowslipproxy.Changes[cowslipproxy.Table]) {
	for _, item := range changes.Items {
		if item.Err != nil {
			reporter.EventTableRefused.Log(context.Background(), d.Logger, slog.Any("error", item.Err))
			continue
		}
		if !item.Gone {
			d.apply(item.Value, "store")
		}
	}
}

// apply puts a configuration in force if it is newer than the one before.
func (d *Daemon) apply(table cowslipproxy.Table, source string) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if d.version() >= table.Version {
		return
	}
	d.matcher.Store(matcher.New(table))
	reporter.EventTable.Log(context.Background(), d.Logger, slog.Uint64("version", table.Version), slog.String("source", source))
	d.pools.set(table, d.registrar.Instances())
	d.announce()
	d.share(context.Background())
}

// foldInstances takes in changes of the list.
func (d *Daemon) foldInstances(now time.Time, changes cowslipproxy.Changes[cowslipproxy.Instance]) {
	for _, item := range changes.Items {
		if item.Err != nil {
			reporter.EventBadEntry.Log(context.Background(), d.Logger, slog.String("key", item.Key), slog.Any("error", item.Err))
		}
	}
	changed := d.registrar.Fold(now, changes)
	d.sharing.mu.Lock()
	d.sharing.read, d.sharing.from = now, d.owner.Name
	d.sharing.mu.Unlock()
	d.listChanged(changed)
	d.share(context.Background())
}

// listChanged takes in the list after a read or a share.
func (d *Daemon) listChanged(changed bool) {
	if d.listed.Swap(true) && !changed {
		return
	}
	instances := d.registrar.Instances()
	live := countLive(instances)
	reporter.EventInstances.Log(context.Background(), d.Logger, slog.Int("live", live), slog.Int("leaving", len(instances)-live))
	if m := d.matcher.Load(); m != nil {
		d.pools.set(m.Table, instances)
	}
	d.announce()
}

func countLive(instances []cowslipproxy.Instance) (live int) {
	for _, instance := range instances {
		if instance.State == cowslipproxy.VMLive {
			live++
		}
	}
	return live
}

// announce tells the other daemons once this one can serve.
func (d *Daemon) announce() {
	if !d.isReady() || d.ready.Swap(true) {
		return
	}
	reporter.EventReady.Log(context.Background(), d.Logger, slog.Bool("ready", true))
	if err := d.gossiper.Start(); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), d.Logger, slog.Any("error", err))
	}
}
