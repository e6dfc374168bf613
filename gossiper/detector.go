package gossiper

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

type watch struct {
	heard   time.Time
	missing bool
}

// Detector decides which of the watched daemons fail, by missing heartbeats.
type Detector struct {
	Timeout time.Duration // silence after which a daemon counts as missing
	watches map[cowslipproxy.Owner]*watch
	last    time.Time
}

// Watch sets the daemons to watch. A missing one stays watched until it is
// heard again or forgotten.
func (d *Detector) Watch(owners []cowslipproxy.Owner, now time.Time) {
	next := map[cowslipproxy.Owner]*watch{}
	for owner, w := range d.watches {
		if w.missing {
			next[owner] = w
		}
	}
	for _, owner := range owners {
		next[owner] = d.watches[owner]
		if next[owner] == nil {
			next[owner] = &watch{heard: now}
		}
	}
	d.watches = next
}

// Heard notes a heartbeat and reports whether the daemon was missing.
func (d *Detector) Heard(owner cowslipproxy.Owner, now time.Time) bool {
	w := d.watches[owner]
	if w == nil {
		return false
	}
	returned := w.missing
	w.heard, w.missing = now, false
	return returned
}

// Refused notes that a daemon's address takes no connections, so that the
// daemon is gone, and reports whether it was not missing before.
func (d *Detector) Refused(owner cowslipproxy.Owner) bool {
	w := d.watches[owner]
	if w == nil || w.missing {
		return false
	}
	w.missing = true
	return true
}

// Forget stops watching a daemon.
func (d *Detector) Forget(owner cowslipproxy.Owner) { delete(d.watches, owner) }

// Missing reports whether a watched daemon is missing, and whether it is watched.
func (d *Detector) Missing(owner cowslipproxy.Owner) (missing, watched bool) {
	w := d.watches[owner]
	return w != nil && w.missing, w != nil
}

// Tick returns the daemons that went missing. After a pause of this process
// no silence counts, since heartbeats could not be received meanwhile.
func (d *Detector) Tick(now time.Time) []cowslipproxy.Owner {
	paused := !d.last.IsZero() && now.Sub(d.last) > d.Timeout/2
	d.last = now
	var lost []cowslipproxy.Owner
	for owner, w := range d.watches {
		if paused && !w.missing {
			w.heard = now
		}
		if !w.missing && now.Sub(w.heard) >= d.Timeout {
			w.missing = true
			lost = append(lost, owner)
		}
	}
	return lost
}
