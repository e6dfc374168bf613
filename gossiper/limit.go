package gossiper

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections. Further ones wait in the
// accept queue of the kernel.
type limitListener struct {
	net.Listener
	permits chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newLimitListener(listener net.Listener, limit int) *limitListener {
	return &limitListener{Listener: listener, permits: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.permits <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	var conn net.Conn
	var err error
	if conn, err = l.Listener.Accept(); err != nil {
		<-l.permits
		return nil, err
	}
	return &limitConn{Conn: conn, release: func() { <-l.permits }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}
