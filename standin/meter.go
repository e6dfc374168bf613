package main

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// segmentHeaderSize is the size in bytes of an IPv4 header and a TCP header with timestamps.
const segmentHeaderSize = 52

// traffic counts bytes and segments of both directions.
type traffic struct {
	Bytes    int64 // without TCP and IP headers
	Segments int64 // TCP segments, including pure acknowledgements
}

func (t traffic) minus(o traffic) traffic {
	return traffic{Bytes: t.Bytes - o.Bytes, Segments: t.Segments - o.Segments}
}

// wireBytes returns the bytes including IP and TCP headers.
func (t traffic) wireBytes() int64 { return t.Bytes + segmentHeaderSize*t.Segments }

// meter counts the traffic of connections by the role of the remote side.
type meter struct {
	mu     sync.Mutex
	open   map[*countedConn]bool
	closed map[string]traffic
	dials  map[string]int
}

func newMeter() *meter {
	return &meter{open: map[*countedConn]bool{}, closed: map[string]traffic{}, dials: map[string]int{}}
}

// countedConn is a connection whose traffic is counted. The mutex of the meter guards the
// field bytes.
type countedConn struct {
	*net.TCPConn
	meter *meter
	role  string
	bytes int64
}

// countTraffic returns conn with its traffic counted under a role.
func (m *meter) countTraffic(conn net.Conn, role string) net.Conn {
	counted := &countedConn{TCPConn: conn.(*net.TCPConn), meter: m, role: role}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[counted] = true
	m.dials[role]++
	return counted
}

// dial connects to an address and counts the traffic under the address's role.
func (m *meter) dial(ctx context.Context, address string, roleOf func(string) string) (net.Conn, error) {
	var dialer net.Dialer
	var conn net.Conn
	var err error
	if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
		return nil, errors.WithStack(err)
	}
	return m.countTraffic(conn, roleOf(address)), nil
}

// total returns the traffic of a role since the start, over open and closed connections.
func (m *meter) total(role string) traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.closed[role]
	for conn := range m.open {
		if conn.role == role {
			sum.Bytes += conn.bytes
			sum.Segments += conn.segments()
		}
	}
	return sum
}

func (c *countedConn) add(n int) {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
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
	c.meter.mu.Lock()
	if c.meter.open[c] {
		delete(c.meter.open, c)
		sum := c.meter.closed[c.role]
		sum.Bytes += c.bytes
		sum.Segments += c.segments()
		c.meter.closed[c.role] = sum
	}
	c.meter.mu.Unlock()
	return c.TCPConn.Close()
}

// segments returns the TCP segments that were sent and received, or 0 if the connection is
// closed.
func (c *countedConn) segments() int64 {
	var raw syscall.RawConn
	var err error
	if raw, err = c.SyscallConn(); err != nil {
		return 0
	}
	var info *unix.TCPInfo
	_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) // fails if the connection is closed
	if info == nil {
		return 0
	}
	return int64(info.Segs_out) + int64(info.Segs_in)
}

// countedListener counts the traffic of the connections that it accepts.
type countedListener struct {
	net.Listener
	meter *meter
	role  string
}

func (l *countedListener) Accept() (net.Conn, error) {
	var conn net.Conn
	var err error
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return l.meter.countTraffic(conn, l.role), nil
}
