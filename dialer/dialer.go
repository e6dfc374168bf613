// Package dialer opens connections to upstreams, which may reply before they have received the whole
// request and then reset the connection.
//
// The operating system reports a reset once, to a write or a read. If it is a write, later reads return
// the end of the stream, as after a regular end, so that a part of a reply with neither a length nor
// chunks looks whole. On the other hand, a failed write must not end a connection from which the whole
// reply can still be read.
package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dial opens a connection.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (*Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is a connection whose reads report a reset that a write has met. Once the first bytes of a request
// are written, further writes that fail for a reset or a closed stream are dropped without an error.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	hasBegun bool          // bytes of the request were written
	writing  chan struct{} // closed at the end of the write in progress; nil if there is none
	err      error         // of the first write that failed
}

// NetConn returns the connection of the operating system.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin marks the begin of another request on the connection. It returns the error of an earlier write.
func (c *Conn) Begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasBegun = false
	return c.err
}

// Write implements io.Writer.
func (c *Conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if err, hasBegun := c.err, c.hasBegun; err != nil {
		c.mu.Unlock()
		if !hasBegun {
			return 0, err
		}
		return len(data), nil
	}
	ended := make(chan struct{})
	c.writing = ended
	c.mu.Unlock()

	n, err := c.Conn.Write(data)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	close(ended)
	c.hasBegun = c.hasBegun || n > 0
	if err == nil {
		return n, nil
	}
	c.err = err
	if c.hasBegun && isEndOfWrites(err) {
		return len(data), nil
	}
	return n, err
}

// isEndOfWrites reports whether a write failed because the upstream has closed or reset the connection, or
// because endWrite ended it.
func isEndOfWrites(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) || isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Read implements io.Reader.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != io.EOF {
		return n, err
	}
	c.endWrite()
	c.mu.Lock()
	defer c.mu.Unlock()
	// After a regular end of the stream, a reset is reported as EPIPE.
	if errors.Is(c.err, syscall.ECONNRESET) {
		return n, c.err
	}
	return n, err
}

// endWrite ends the write in progress, if any, so that its error is known. If it has met a reset, it is
// about to return. Else it may wait for an upstream that does not read any more.
func (c *Conn) endWrite() {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing == nil {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now()) // fails only on a closed connection, on which writes end at once
	<-writing
}
