package main

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// segmentHeader is the size of the headers of IPv4, and of TCP with timestamps.
const segmentHeader = 52

// traffic is a count of bytes in both directions.
type traffic struct {
	Bytes    int64 // without the headers of TCP and IP
	Segments int64 // of TCP, with those that only acknowledge
}

func (t traffic) minus(o traffic) traffic {
	return traffic{Bytes: t.Bytes - o.Bytes, Segments: t.Segments - o.Segments}
}

func (t traffic) wire() int64 { return t.Bytes + segmentHeader*t.Segments }

// wires counts the traffic of connections by the role of the other side.
type wires struct {
	mu     sync.Mutex
	open   map[*countedConn]bool
	closed map[string]traffic
	dials  map[string]int
}

func newWires() *wires {
	return &wires{open: map[*countedConn]bool{}, closed: map[string]traffic{}, dials: map[string]int{}}
}

// countedConn is a connection whose traffic counts. Its counters are guarded by
// the lock of its wires.
type countedConn struct {
	*net.TCPConn
	wires *wires
	role  string
	bytes int64
}

func (w *wires) count(conn net.Conn, role string) net.Conn {
	counted := &countedConn{TCPConn: conn.(*net.TCPConn), wires: w, role: role}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[counted] = true
	w.dials[role]++
	return counted
}

// dial connects and counts under the role that the address has.
func (w *wires) dial(ctx context.Context, address string, roleOf func(string) string) (net.Conn, error) {
	var dialer net.Dialer
	var conn net.Conn
	var err error
	if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
		return nil, errors.WithStack(err)
	}
	return w.count(conn, roleOf(address)), nil
}

// total returns the traffic of a role so far.
func (w *wires) total(role string) traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.closed[role]
	for conn := range w.open {
		if conn.role == role {
			sum.Bytes += conn.bytes
			sum.Segments += conn.segments()
		}
	}
	return sum
}

func (c *countedConn) add(n int) {
	c.wires.mu.Lock()
	defer c.wires.mu.Unlock()
	c.bytes += int64(n)
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.add(n)
	return n, err
}

func (c *countedConn) Close() error {
	c.wires.mu.Lock()
	if c.wires.open[c] {
		delete(c.wires.open, c)
		sum := c.wires.closed[c.role]
		sum.Bytes += c.bytes
		sum.Segments += c.segments()
		c.wires.closed[c.role] = sum
	}
	c.wires.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *countedConn) segments() int64 {
	var raw syscall.RawConn
	var err error
	if raw, err = c.SyscallConn(); err != nil {
		return 0
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) // a closed connection has no count
	if info == nil {
		return 0
	}
	return int64(info.Segs_out) + int64(info.Segs_in)
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	wires *wires
	role  string
}

func (l *countedListener) Accept() (net.Conn, error) {
	var conn net.Conn
	var err error
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return l.wires.count(conn, l.role), nil
}
