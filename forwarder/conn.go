package forwarder

import (
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/dialer"
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	*dialer.Conn
	mu      sync.Mutex
	written int64
	blocked bool
}

// Write implements net.Conn. Bytes are counted before they are sent, since a failed
// write may have sent some of them.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errors.New("connection blocked: a call on it has failed")
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// begin marks the begin of a call. It blocks the connection if an earlier call has met its end.
func (c *countingConn) begin() {
	err := c.Begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = c.blocked || err != nil
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// blockIfUnsent makes all further writes fail, provided that nothing was written since
// the count was writtenBefore. It reports whether the connection is blocked.
func (c *countingConn) blockIfUnsent(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != writtenBefore {
		return false
	}
	c.blocked = true
	return true
}

// usedConns records the connections that one call used. A connection carries one call
// at a time, so the bytes written since the call obtained it belong to the call.
type usedConns struct {
	mu   sync.Mutex
	used []usedConn
}

type usedConn struct {
	conn          *countingConn
	writtenBefore int64
}

func (c *usedConns) add(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, _ := info.Conn.(*countingConn)
	used := usedConn{conn: conn}
	if conn != nil {
		conn.begin()
		used.writtenBefore = conn.count()
	}
	c.used = append(c.used, used)
}

// blockIfUnsent reports whether the call sent nothing. The transport may still write
// after it has returned an error, so each connection is checked and blocked under one
// lock.
func (c *usedConns) blockIfUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, used := range c.used {
		if used.conn == nil || !used.conn.blockIfUnsent(used.writtenBefore) {
			return false
		}
		_ = used.conn.Close() // a blocked connection can't be reused
	}
	return true
}
