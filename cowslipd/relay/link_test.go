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

// lossyLink is a network connection on which large replies never arrive, but calls and
// small replies do. It implements cowslipproxy.PeerNetwork.
type lossyLink struct{}

// Listen implements cowslipproxy.PeerNetwork.
func (lossyLink) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	return lossyListener{listener}, err
}

// Dial implements cowslipproxy.PeerNetwork.
func (lossyLink) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

type lossyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lossyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return lossyConn{conn}, err
}

type lossyConn struct{ net.Conn }

const largeReply = 12 << 10 // bytes

// Write implements net.Conn.
func (c lossyConn) Write(data []byte) (int, error) {
	if len(data) > largeReply {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
