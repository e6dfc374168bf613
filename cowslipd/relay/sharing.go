package relay

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/sharer"
)

const (
	// shareTime bounds one exchange with another daemon.
	shareTime = 500 * time.Millisecond
	// askGap is the time between two questions to other daemons.
	askGap = 250 * time.Millisecond
	// bootTime is how long a daemon leaves it to the seeds to read the store when
	// the whole deployment starts for the first time, long before any caller
	// comes. A daemon that starts later reads at once.
	bootTime = 2 * time.Second
)

// sharing is what a daemon knows of the reading of the store.
type sharing struct {
	started time.Time
	eager   bool // this daemon reads the store at once after its start

	mu      sync.Mutex
	members []cowslipproxy.Member // live ones, this one included
	reader  bool                  // this daemon reads for its data centre
	read    time.Time             // last successful read of the list by this daemon
	shared  time.Time             // last share that counts
	from    string                // whose list this daemon holds
	listed  uint64                // that list's version
	known   map[string]uint64     // versions of this daemon's list that others hold
	busy    map[string]bool       // daemons that a share is on the way to
	loads   sharer.Loads
}

// setMembers takes in the live daemons.
func (s *sharing) setMembers(self cowslipproxy.Owner, centre string, members []cowslipproxy.Member) {
	reader, ok := sharer.Reader(members, centre)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.reader = members, ok && reader.Owner == self
}

// skips reports whether another daemon's shares stand for reads of the store.
func (s *sharing) skips(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader {
		return false
	}
	return now.Sub(s.shared) < sharer.Patience || !s.eager && now.Sub(s.started) < bootTime
}

// isReader reports whether this daemon reads for its data centre.
func (s *sharing) isReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}

// age returns the age of the list.
func (s *sharing) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared.After(s.read) {
		return now.Sub(s.shared)
	}
	return now.Sub(s.read)
}

// targets returns the daemons that a reader tells: those of its data centre and
// the readers of others.
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
