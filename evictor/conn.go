package evictor

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"time"
)

// phase is what a connection does.
type phase string

const (
	phaseHead      phase = "head"      // it receives the head of a request, or has received nothing
	phaseBody      phase = "body"      // it receives the body of a request
	phaseExecuting phase = "executing" // a request was received completely
	phaseIdle      phase = "idle"      // its last request was answered
)

const (
	// stallTime is how long a part of an answer may wait for its client before the connection may be
	// closed for others.
	stallTime = 5 * time.Second
	// writePart is the number of bytes of an answer that are written at once.
	writePart = 64 << 10
	// noCallBytes is the data that another daemon may send at full speed without a call. Frames of
	// 9 bytes, such as endless settings, would otherwise keep the processor busy.
	noCallBytes = 16 << 10
	noCallPause = 100 * time.Millisecond
	// headRejectTime is the time in which a client can read the rejection of its head. A
	// connection that is closed with unread bytes is reset, which discards the answer.
	headRejectTime = 100 * time.Millisecond
	// maxDiscarded is the number of bytes of a rejected head that are read meanwhile.
	maxDiscarded = 256 << 10
)

const headRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large\n"

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener

	// Guarded by the lock of the pool.
	phase     phase
	since     time.Time // begin of the phase, or of the last receipt from another daemon
	served    bool      // a request was answered
	headBytes int64     // received in the current phase
	cost      int64     // memory of the head, or of incomplete messages of another daemon, in bytes
	evicted   bool      // its descriptor was closed for others
	calls     int       // of another daemon, in progress
	writing   time.Time // begin of the write in progress; zero if there is none
}

// NetConn returns the connection that the listener accepted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the stream to the client, which may still send its request. Without it, net/http would end
// early answers with a reset.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// enter begins a phase. The caller holds the lock.
func (c *Conn) enter(next phase, now time.Time) {
	c.phase, c.since, c.headBytes = next, now, 0
}

// isClosable reports whether the connection may be closed for others. One with a request that was
// received is kept, unless its client does not read the answer.
func (c *Conn) isClosable(now time.Time) bool {
	return c.phase != phaseExecuting || !c.writing.IsZero() && now.Sub(c.writing) > stallTime
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	if n == len(data) {
		runtime.Gosched() // bulk data must not delay the end of calls of closed connections, which hold memory
	}
	switch c.listener.Pool.receive(c, data[:n]) {
	case "":
		if n == len(data) && c.listener.IsPeer && c.listener.Pool.receivesNoCall(c) {
			time.Sleep(noCallPause)
		}
		return n, err
	case reasonHead:
		c.rejectHead()
	}
	return 0, io.EOF // net/http closes the connection without a further answer
}

// rejectHead answers a head that is too large.
func (c *Conn) rejectHead() {
	if err := c.SetDeadline(time.Now().Add(headRejectTime)); err != nil {
		return // it was closed
	}
	if _, err := io.WriteString(c.Conn, headRejection); err != nil {
		return // the client disconnected
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded) // the connection closes in any case
	}
}

// Write implements net.Conn. It writes parts, so that a slow client of a large answer does not
// count as one that reads nothing.
func (c *Conn) Write(data []byte) (written int, err error) {
	defer c.setWriting(time.Time{})
	for {
		c.setWriting(c.listener.Pool.Clock())
		n, err := c.Conn.Write(data[:min(len(data), writePart)])
		written += n
		if data = data[n:]; err != nil || len(data) == 0 {
			return written, err
		}
	}
}

func (c *Conn) setWriting(begin time.Time) {
	c.listener.Pool.mu.Lock()
	defer c.listener.Pool.mu.Unlock()
	c.writing = begin
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	pool := c.listener.Pool
	pool.mu.Lock()
	pool.release(c)
	pool.mu.Unlock()
	return c.Conn.Close()
}

// SetState follows the state of a connection. It is the ConnState of an http.Server.
func SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.setState(state)
	if state == http.StateIdle {
		runtime.Gosched() // many pipelined requests at once must not delay others by a time slice each
	}
}

func (c *Conn) setState(state http.ConnState) {
	pool, now := c.listener.Pool, c.listener.Pool.Clock()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if _, counted := pool.conns[c]; !counted {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(phaseBody, now)
	case http.StateIdle:
		c.enter(phaseIdle, now)
		c.served = true
		pool.setCost(c, 0)
		if c.listener.wanted > 0 {
			c.listener.wanted--
			pool.evict(c, reasonCount, now)
		}
	}
}

func (c *Conn) setExecuting() {
	now := c.listener.Pool.Clock()
	c.listener.Pool.mu.Lock()
	defer c.listener.Pool.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseExecuting, now)
	}
}
