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

// reloadInterval is the time between two checks of the settings file, which may
// change without a signal.
const reloadInterval = time.Second

// settings returns the current settings. Listen addresses are not reloaded; those
// of Settings stay in use.
func (d *Daemon) settings() loader.RelaySettings {
	if reloaded := d.reloadedSettings.Load(); reloaded != nil {
		return *reloaded
	}
	return d.Settings
}

// reload reloads the settings file when it changes or on a signal. It ends with the start of a
// stop, which a shorter grace time would cut off.
func (d *Daemon) reload(ctx context.Context) {
	if d.SettingsFile == "" {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modTime(d.SettingsFile)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-d.Hangup:
			signalled = true
		case <-ticker.C:
		}
		if d.stopping.Load() {
			return
		}
		modified := modTime(d.SettingsFile)
		if !signalled && modified.Equal(lastModified) {
			continue
		}
		lastModified = modified
		d.reloadSettings(ctx)
	}
}

func modTime(file string) time.Time {
	var info os.FileInfo
	var err error
	if info, err = os.Stat(file); err != nil {
		return time.Time{} // the file does not exist while it is being replaced
	}
	return info.ModTime()
}

// reloadSettings loads the settings file. An invalid file leaves the current
// settings unchanged.
func (d *Daemon) reloadSettings(ctx context.Context) {
	var read loader.RelaySettings
	var err error
	if read, err = loader.LoadRelay(d.SettingsFile); err != nil {
		reporter.EventReloaded.Log(ctx, d.Logger, slog.Bool("changed", false), slog.Any("error", err))
		return
	}
	changed := !reflect.DeepEqual(read, d.settings())
	d.reloadedSettings.Store(&read)
	d.pools.applySettings(read)
	reporter.EventReloaded.Log(ctx, d.Logger, slog.Bool("changed", changed))
}
