package forwarder

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// countedConn counts the bytes that were given to the network.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. Bytes count before they are sent, since a failed
// write may have sent some.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errors.New("the call was given up")
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal keeps the connection from sending anything further, if nothing was sent
// since it had sent so many bytes.
func (c *countedConn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}

// conns are the connections that one call got. A connection carries one call
// at a time, so bytes written since it was got belong to the call.
type conns struct {
	mu  sync.Mutex
	got []gotConn
}

type gotConn struct {
	conn  *countedConn
	since int64
}

func (c *conns) add(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, _ := info.Conn.(*countedConn)
	got := gotConn{conn: conn}
	if conn != nil {
		got.since = conn.count()
	}
	c.got = append(c.got, got)
}

// seal reports whether the call sent no byte. The transport may write after it
// has returned an error, so the connections are sealed in the same step.
func (c *conns) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, got := range c.got {
		if got.conn == nil || !got.conn.seal(got.since) {
			return false
		}
		_ = got.conn.Close() // a sealed connection is of no use to other calls
	}
	return true
}
