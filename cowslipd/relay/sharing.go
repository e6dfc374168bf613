package relay

import (
	"context"
	"log/slog"
	"slices"
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
	// maxLag is how long a daemon relies on other daemons for a configuration that they
	// announced, before it reads the store. It leaves a second of the 2 s in which a
	// configuration must take effect.
	maxLag = 800 * time.Millisecond
	// maxConfigurationAge is how long ago the daemon that reads the store may have read
	// the configuration. Its reads and its shares each have their interval.
	maxConfigurationAge = configurationWait + sharer.ShareInterval + 200*time.Millisecond
)

// feedState is what a daemon knows of a feed of the store.
type feedState struct {
	read     time.Time // last successful read by this daemon
	shared   time.Time // time of the read that the last accepted share reports
	position uint64    // position up to which the contents are known; 0 if unknown
}

// knownAt returns when the contents were last read, by this daemon or by the one whose
// shares it gets.
func (f *feedState) knownAt() time.Time {
	if f.shared.After(f.read) {
		return f.shared
	}
	return f.read
}

// recordShare records a share that reports a read of the given age. Shares may arrive
// out of order.
func (f *feedState) recordShare(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(f.shared) {
		f.shared = at
	}
}

// sharing holds what determines how this daemon gets the contents of the store:
// by reading it or by shares from its parent in the tree of its data centre.
type sharing struct {
	started      time.Time
	readsAtStart bool // reads the store immediately after the start

	mu              sync.Mutex
	members         []cowslipproxy.Member // live daemons, including this one
	tree            sharer.Tree           // of this daemon's data centre
	reader          bool                  // this daemon reads the store for its data centre
	list            feedState             // of the instance list
	configuration   feedState
	listSource      string            // daemon whose instance list this daemon holds
	listVersion     uint64            // version of that list
	heldListVersion map[string]uint64 // version of this daemon's list that each peer holds; 0 for none
	inFlight        map[string]bool   // daemons with a share in flight; true if another one must follow
	parent          string            // daemon of this data centre that sent the last accepted share
	loads           sharer.Loads
	readsStore      bool // the daemon reads the store, as last logged
}

// setMembers sets the live daemons, which must be sorted, and elects the reader among
// them.
func (s *sharing) setMembers(self cowslipproxy.Owner, centre string, members []cowslipproxy.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(members, s.members) {
		return
	}
	s.members, s.tree = members, sharer.NewTree(members, centre)
	reader, ok := s.tree.Reader()
	s.reader = ok && reader.Owner == self
	near, far := s.children(self, centre)
	reporters := []string{self.Name, s.parent}
	for _, member := range append(far, near...) {
		reporters = append(reporters, member.Name)
	}
	s.loads.Retain(reporters...)
}

// skipsReads reports whether the daemon relies on shares instead of reading the
// store.
func (s *sharing) skipsReads(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		return false
	}
	return now.Sub(s.list.shared) < sharer.ShareTimeout || s.isBooting(now)
}

// isBooting reports whether the daemon waits for others to read the store first. The
// caller holds the lock.
func (s *sharing) isBooting(now time.Time) bool {
	return !s.readsAtStart && now.Sub(s.started) < bootTime
}

// isConfigurationShared reports whether the daemons that share the contents of the
// store know a recent configuration, and this daemon is not behind them by more than
// maxLag.
func (s *sharing) isConfigurationShared(now time.Time, lag time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBooting(now) || lag < maxLag && now.Sub(s.configuration.shared) < maxConfigurationAge
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

// skipsListReads reports whether the daemon relies on shares for the instance list, and
// logs when that changes.
func (d *Daemon) skipsListReads(now time.Time) bool {
	skips := d.sharing.skipsReads(now)
	if d.sharing.recordReads(!skips) {
		reporter.EventStoreReadsChanged.Log(context.Background(), d.Logger, slog.Bool("reads", !skips), slog.Bool("reader", d.sharing.isReader()), slog.Duration("age", d.sharing.listAge(now)))
	}
	return skips
}

// skipsConfigurationReads reports whether the daemon relies on others for the
// configuration. Shares of the instance list alone do not suffice: a daemon that gets
// them may be unable to fetch the configuration, or their sender may not know it.
func (d *Daemon) skipsConfigurationReads(now time.Time) bool {
	return d.sharing.skipsReads(now) && d.sharing.isConfigurationShared(now, d.announced.lag(now, d.configurationVersion()))
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
	return now.Sub(s.list.knownAt())
}

// listCurrentAt returns when the instance list was last known to be current.
func (s *sharing) listCurrentAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.knownAt()
}

// listAttributes returns what the instance list is based on, for the log.
func (s *sharing) listAttributes(now time.Time) slog.Attr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slog.Group("list", slog.String("from", s.listSource), slog.Uint64("version", s.listVersion), slog.Uint64("position", s.list.position),
		slog.Duration("age", now.Sub(s.list.knownAt())), slog.Duration("read", now.Sub(s.list.read)))
}

// ages returns the ages of the instance list and the configuration.
func (s *sharing) ages(now time.Time) (list, configuration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.list.knownAt()), now.Sub(s.configuration.knownAt())
}

// recordRead records a successful read of a feed, which is a field of s.
func (s *sharing) recordRead(feed *feedState, now time.Time, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	feed.read, feed.position = now, max(feed.position, position)
}

// position returns the position up to which a feed, which is a field of s, is known.
func (s *sharing) position(feed *feedState) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feed.position
}

// setList records which daemon's instance list this daemon holds, the version of that
// list, and the position up to which it is known. It is called after the list was
// applied, so that the position is never ahead of the list.
func (s *sharing) setList(source string, version, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listSource, s.listVersion, s.list.position = source, version, position
}

// setParent records which daemon sends shares. The loads that the former parent
// reported are dropped, since both report those of all other daemons. The caller holds
// the lock.
func (s *sharing) setParent(name string) {
	if s.parent != "" && s.parent != name {
		s.loads.Forget(s.parent)
	}
	s.parent = name
}

// targets returns the daemons that this daemon sends shares to: near are its children
// in the tree of its data centre, far the readers of other data centres if it is a
// reader itself.
func (s *sharing) targets(self cowslipproxy.Owner, centre string) (near, far []cowslipproxy.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.children(self, centre)
}

// children implements targets. The caller holds the lock.
func (s *sharing) children(self cowslipproxy.Owner, centre string) (near, far []cowslipproxy.Member) {
	near = s.tree.Children(self.Name)
	if !s.reader {
		return near, nil
	}
	for _, reader := range sharer.Readers(s.members) {
		if reader.Centre != centre {
			far = append(far, reader)
		}
	}
	return near, far
}
