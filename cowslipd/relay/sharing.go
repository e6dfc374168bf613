package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

const (
	// shareTimeout bounds a request to another daemon.
	shareTimeout = 500 * time.Millisecond
	// pollInterval is the time between two polls of other daemons.
	pollInterval = 250 * time.Millisecond
	// bootTime applies when the whole deployment starts for the first time. A daemon
	// that is not a seed then does not read the store until this time after its
	// start, which delays no caller, since there are none yet. A daemon that starts
	// later reads the store immediately.
	bootTime = 2 * time.Second
)

// sharing holds what determines how this daemon gets the contents of the store:
// by reading it or by shares from the reader of its data centre.
type sharing struct {
	started      time.Time
	readsAtStart bool // reads the store immediately after the start

	mu              sync.Mutex
	members         []cowslipproxy.Member // live daemons, including this one
	reader          bool                  // this daemon reads the store for its data centre
	lastRead        time.Time             // last successful read of the instance list by this daemon
	lastSharedRead  time.Time             // time of the read that the last accepted share reports
	listSource      string                // daemon whose instance list this daemon holds
	listVersion     uint64                // version of that list
	heldListVersion map[string]uint64     // version of this daemon's list that each peer holds; 0 for none
	inFlight        map[string]bool       // daemons with a share in flight
	loads           sharer.Loads
	readsStore      bool // the daemon reads the store, as last logged
}

// setMembers sets the live daemons and elects the reader among them.
func (s *sharing) setMembers(self cowslipproxy.Owner, centre string, members []cowslipproxy.Member) {
	reader, ok := sharer.Reader(members, centre)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.reader = members, ok && reader.Owner == self
}

// skipsReads reports whether the daemon relies on shares instead of reading the
// store.
func (s *sharing) skipsReads(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		return false
	}
	return now.Sub(s.lastSharedRead) < sharer.ShareTimeout || !s.readsAtStart && now.Sub(s.started) < bootTime
}

// recordReads records whether the daemon reads the store and reports whether that
// changed.
func (s *sharing) recordReads(reads bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.readsStore != reads
	s.readsStore = reads
	return changed
}

// skipsReads reports whether the daemon relies on shares instead of reading the
// store, and logs when that changes.
func (d *Daemon) skipsReads(now time.Time) bool {
	skips := d.sharing.skipsReads(now)
	if d.sharing.recordReads(!skips) {
		reporter.EventStoreReadsChanged.Log(context.Background(), d.Logger, slog.Bool("reads", !skips), slog.Bool("reader", d.sharing.isReader()), slog.Duration("age", d.sharing.listAge(now)))
	}
	return skips
}

// isReader reports whether this daemon reads the store for its data centre.
func (s *sharing) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// listAge returns the age of the instance list.
func (s *sharing) listAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSharedRead.After(s.lastRead) {
		return now.Sub(s.lastSharedRead)
	}
	return now.Sub(s.lastRead)
}

// targets returns the daemons that a reader sends shares to: near are those of
// its data centre, far the readers of other data centres.
func (s *sharing) targets(self cowslipproxy.Member) (near, far []cowslipproxy.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range s.members {
		if member.Centre == self.Centre && member.Owner != self.Owner {
			near = append(near, member)
		}
	}
	for _, reader := range sharer.Readers(s.members) {
		if reader.Centre != self.Centre {
			far = append(far, reader)
		}
	}
	return near, far
}
