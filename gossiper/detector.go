package gossiper

import (
	"maps"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

type watch struct {
	lastHeartbeat time.Time
	down          bool
}

// Detector is a heartbeat failure detector for the watched daemons. For the others, it keeps
// which ones were reported as down.
type Detector struct {
	Timeout  time.Duration // time without a heartbeat after which a daemon counts as down
	watches  map[cowslipproxy.Owner]*watch
	reported map[string]time.Time // when daemons, given by their keys, were reported as down; only those that gave no sign of life since
	lastTick time.Time
}

// Watch replaces the set of watched daemons. A daemon that is down stays in the
// set until it sends a heartbeat or Forget removes it.
func (d *Detector) Watch(owners []cowslipproxy.Owner, now time.Time) {
	next := map[cowslipproxy.Owner]*watch{}
	for owner, w := range d.watches {
		if w.down {
			next[owner] = w
		}
	}
	for _, owner := range owners {
		next[owner] = d.watches[owner]
		if next[owner] == nil {
			next[owner] = &watch{lastHeartbeat: now, down: d.IsReported(owner.Key())}
		}
	}
	d.watches = next
}

// RecordReport records that a daemon, given by its key, was reported as down. The record
// outlives the report, which ends with the process that published it.
func (d *Detector) RecordReport(key string, now time.Time) {
	if d.reported == nil {
		d.reported = map[string]time.Time{}
	}
	if !d.IsReported(key) {
		d.reported[key] = now
	}
}

// ClearReport records that a daemon refuted all reports.
func (d *Detector) ClearReport(key string) { delete(d.reported, key) }

// IsReported reports whether a daemon was reported as down and gave no sign of life since.
func (d *Detector) IsReported(key string) bool { return !d.reported[key].IsZero() }

// IsReportLasting reports whether a daemon was reported as down longer ago than it takes to
// refute a wrong report.
func (d *Detector) IsReportLasting(key string, now time.Time) bool {
	return d.IsReported(key) && now.Sub(d.reported[key]) >= d.Timeout
}

// RetainReports deletes the reports about other daemons than the given ones.
func (d *Detector) RetainReports(keys map[string]bool) {
	maps.DeleteFunc(d.reported, func(key string, _ time.Time) bool { return !keys[key] })
}

// WatchReported adds a daemon that was reported as down to the watched set.
func (d *Detector) WatchReported(owner cowslipproxy.Owner) {
	if d.watches == nil {
		d.watches = map[cowslipproxy.Owner]*watch{}
	}
	d.watches[owner] = &watch{down: true}
}

// RecordHeartbeat records a heartbeat and reports whether the daemon was down
// before.
func (d *Detector) RecordHeartbeat(owner cowslipproxy.Owner, now time.Time) bool {
	delete(d.reported, owner.Key())
	w := d.watches[owner]
	if w == nil {
		return false
	}
	wasDown := w.down
	w.lastHeartbeat, w.down = now, false
	return wasDown
}

// MarkDown marks a watched daemon as down without waiting for the timeout, and
// reports whether that changed its state.
func (d *Detector) MarkDown(owner cowslipproxy.Owner) bool {
	w := d.watches[owner]
	if w == nil || w.down {
		return false
	}
	w.down = true
	return true
}

// Forget deletes what is known of a daemon.
func (d *Detector) Forget(owner cowslipproxy.Owner) {
	delete(d.watches, owner)
	delete(d.reported, owner.Key())
}

// IsDown reports whether a daemon is down, and whether it is watched at all.
func (d *Detector) IsDown(owner cowslipproxy.Owner) (down, watched bool) {
	w := d.watches[owner]
	return w != nil && w.down, w != nil
}

// Tick returns the daemons that went down since the last call. If this process
// was paused, all timeouts restart, since it could not receive heartbeats
// during the pause.
func (d *Detector) Tick(now time.Time) []cowslipproxy.Owner {
	paused := !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.Timeout/2
	d.lastTick = now
	var failed []cowslipproxy.Owner
	for owner, w := range d.watches {
		if paused && !w.down {
			w.lastHeartbeat = now
		}
		if !w.down && now.Sub(w.lastHeartbeat) >= d.Timeout {
			w.down = true
			failed = append(failed, owner)
		}
	}
	return failed
}
