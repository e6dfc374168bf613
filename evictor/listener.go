package evictor

import (
	"net"
	"sync"
	"time"
)

const (
	// minAge is the age from which a connection may be closed for a new one, so that its request
	// is read first.
	minAge = 100 * time.Millisecond
	// admitInterval is the time after which a new connection looks for room again.
	admitInterval = 20 * time.Millisecond
	// newPart is the part of the connections, as a divisor of their number, that are kept for
	// clients none of whose requests was answered yet.
	newPart = 4
	// wantedPart is the part of the connections, as a divisor of their number, that are closed after
	// their answers while all have requests in progress. One at a time would keep a new caller
	// waiting behind many others, since each needs a turn of a busy processor.
	wantedPart = 16
)

// Listener limits the number of open connections of an address. A new connection replaces the one
// that has waited longest for its client. Its exported fields are set before its first use.
type Listener struct {
	net.Listener
	Name     string // of the address, for metrics and the log
	Pool     *Pool
	MaxConns int
	IsPeer   bool // other daemons connect here, with gRPC; see Calls

	open    int // guarded by the lock of the pool
	wanted  int // as above; number of connections to close after their next answers
	once    sync.Once
	changed chan struct{} // signals that a connection was closed
	done    chan struct{}
	closing sync.Once
}

func (l *Listener) setup() {
	l.once.Do(func() { l.changed, l.done = make(chan struct{}, 1), make(chan struct{}) })
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.setup()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, phase: phaseHead}
	for !l.admit(c) {
		select {
		case <-l.changed:
		case <-time.After(admitInterval):
		case <-l.done:
			_ = accepted.Close() // it is not used
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// admit counts a connection if there is room or if another one can be closed for it.
func (l *Listener) admit(c *Conn) bool {
	now := l.Pool.Clock()
	l.Pool.mu.Lock()
	defer l.Pool.mu.Unlock()
	if l.open >= l.MaxConns {
		victim := l.longestWaiting(now)
		if victim == nil {
			l.wanted = max(1, l.MaxConns/wantedPart)
			return false
		}
		l.Pool.evict(victim, reasonCount, now)
	}
	l.wanted = 0
	c.since = now
	l.Pool.add(c)
	return true
}

// longestWaiting returns the closable connection that has waited longest for its client, or nil.
// Connections on which requests were answered come after the others, unless few are others.
func (l *Listener) longestWaiting(now time.Time) *Conn {
	var oldest [2]*Conn // the second one of those on which requests were answered
	unserved := 0
	for c := range l.Pool.conns {
		if c.listener != l {
			continue
		}
		group := 1
		if !c.served {
			group = 0
			unserved++
		}
		if c.isClosable(now) && now.Sub(c.since) >= minAge && (oldest[group] == nil || c.since.Before(oldest[group].since)) {
			oldest[group] = c
		}
	}
	if oldest[0] != nil && (unserved > l.MaxConns/newPart || oldest[1] == nil) {
		return oldest[0]
	}
	return oldest[1]
}

func (l *Listener) signal() {
	select {
	case l.changed <- struct{}{}:
	default: // a signal is pending
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.setup()
	l.closing.Do(func() { close(l.done) })
	return l.Listener.Close()
}
