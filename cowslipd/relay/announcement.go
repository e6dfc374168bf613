package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// announcement is the newest configuration version that other daemons announced.
type announcement struct {
	mu          sync.Mutex
	version     uint64
	from        netip.AddrPort // daemon that announced it last
	behindSince time.Time      // when a version newer than the active one was first announced
}

// record records an announced version and reports whether it is newer than the
// active one and all versions announced before.
func (a *announcement) record(now time.Time, version, active uint64, from netip.AddrPort) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version >= a.version {
		a.from = from
	}
	if version <= max(a.version, active) {
		return false
	}
	if a.version <= active {
		a.behindSince = now
	}
	a.version = version
	return true
}

// source returns the daemon that announced the newest version last.
func (a *announcement) source() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.from
}

// lag returns how long a version newer than the active one has been known, or 0
// if the active one is the newest.
func (a *announcement) lag(now time.Time, active uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version <= active {
		return 0
	}
	return now.Sub(a.behindSince)
}

// recordAnnouncement records the configuration version that another daemon
// announced, and reports whether it is newer than the active one.
func (d *Daemon) recordAnnouncement(version uint64, from netip.AddrPort) bool {
	active := d.configurationVersion()
	if d.announced.record(d.Clock(), version, active, from) {
		reporter.EventRelayConfigAnnounced.Log(context.Background(), d.Logger, slog.Uint64("version", version), slog.Uint64("active", active), slog.String("from", from.String()))
	}
	return version > active
}
