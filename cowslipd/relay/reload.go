package relay

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal.
const reloadPeriod = time.Second

// settings returns the settings in force. Addresses are those of the start.
func (d *Daemon) settings() loader.Relay {
	if changed := d.changed.Load(); changed != nil {
		return *changed
	}
	return d.Settings
}

// reload reads the settings file again when it changed or a signal came.
func (d *Daemon) reload(ctx context.Context) {
	if d.File == "" {
		return
	}
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	seen := modified(d.File)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-d.Hangup:
			signalled = true
		case <-ticker.C:
		}
		now := modified(d.File)
		if !signalled && now.Equal(seen) {
			continue
		}
		seen = now
		d.readSettings(ctx)
	}
}

func modified(file string) time.Time {
	var info os.FileInfo
	var err error
	if info, err = os.Stat(file); err != nil {
		return time.Time{} // the file is being replaced
	}
	return info.ModTime()
}

// readSettings keeps the settings in force if the file can't be used.
func (d *Daemon) readSettings(ctx context.Context) {
	var read loader.Relay
	var err error
	if read, err = loader.LoadRelay(d.File); err != nil {
		reporter.EventReloaded.Log(ctx, d.Logger, slog.Bool("changed", false), slog.Any("error", err))
		return
	}
	changed := !reflect.DeepEqual(read, d.settings())
	d.changed.Store(&read)
	d.pools.resize(read)
	reporter.EventReloaded.Log(ctx, d.Logger, slog.Bool("changed", changed))
}
