// Package acceptor limits the open connections of a listener.
package acceptor

import (
	"net"
	"sync"
)

// Listener limits the number of open connections. Further ones wait in the
// accept queue of the kernel.
type Listener struct {
	net.Listener
	permits chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// New returns a Listener with at most the given number of open connections.
func New(listener net.Listener, limit int) *Listener {
	return &Listener{Listener: listener, permits: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
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
	return &limitedConn{Conn: conn, release: func() { <-l.permits }}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}

// NetConn returns the connection that the listener accepted.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the stream to the client, which may still send its request. Without it, net/http would end
// early answers with a reset.
func (c *limitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
