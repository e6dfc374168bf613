package relay_test

import (
	"context"
	"net"
	"net/netip"

	"golang.org/x/time/rate"
)

const linkChunk = 4 << 10 // bytes that one connection sends before others get their turn

// link is a network connection of a VM that sends at a limited rate. It implements
// cowslipproxy.PeerNetwork.
type link struct{ limiter *rate.Limiter }

func newLink(bytesPerSecond int) *link {
	return &link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkChunk)}
}

// Listen implements cowslipproxy.PeerNetwork.
func (l *link) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	return &linkListener{listener, l}, err
}

// Dial implements cowslipproxy.PeerNetwork.
func (l *link) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &linkConn{conn, l}, nil
}

type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{conn, l.link}, nil
}

type linkConn struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c *linkConn) Write(data []byte) (written int, err error) {
	for len(data) > 0 && err == nil {
		size := min(len(data), linkChunk)
		if err = c.link.limiter.WaitN(context.Background(), size); err != nil {
			return written, err
		}
		var n int
		n, err = c.Conn.Write(data[:size])
		data, written = data[size:], written+n
	}
	return written, err
}
