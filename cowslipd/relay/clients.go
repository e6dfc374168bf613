package relay

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/evictor"
	"github.com/cowslipproxy/cowslipproxy/resetter"
)

// Parts of the sockets for connections of clients, as divisors of the number of sockets. The
// remaining 3/8 are for connections to upstreams, the store and other daemons: as many as requests
// of callers can be in progress.
const (
	callerSocketsDivisor    = 8.0 / 3
	directorySocketsDivisor = 16
	readySocketsDivisor     = 32
	operatorSocketsDivisor  = 32
	peerSocketsDivisor      = 8
)

const (
	// headPercent is the memory for heads of requests and bodies of requests and replies together,
	// in percent of the memory setting. The bodies alone may take messagePercent of it, so that
	// the difference remains for heads.
	headPercent = 25
	// peerPercent is the memory for incomplete messages of other daemons. They produce garbage at
	// several times this size.
	peerPercent = 5
	// connPercent is the memory for connections of clients without heads and bodies.
	connPercent = 20
	// clientPart is the part of the sockets that connections of clients may take.
	clientPart = 5.0 / 8
)

// defaultMaxHead bounds a request's head in bytes if the configuration sets no limit.
const defaultMaxHead = 64 << 10

func (d *Daemon) buildClients() {
	d.clients = &evictor.Pool{
		Limit:    d.Settings.MemoryBytes() * headPercent / 100,
		Messages: d.server.Memory.Used,
		HeadLimit: func() int64 {
			if m := d.matcher.Load(); m != nil && m.RelayConfiguration.Limits.Head > 0 {
				return min(m.RelayConfiguration.Limits.Head, maxHeaderBytes)
			}
			return defaultMaxHead
		},
		Clock: d.Clock, Logger: d.Logger, Metrics: d.Metrics,
	}
	d.peers = &evictor.Pool{
		Limit:    d.Settings.MemoryBytes() * peerPercent / 100,
		Messages: func() int64 { return 0 },
		Clock:    d.Clock, Logger: d.Logger, Metrics: d.Metrics,
	}
}

// sockets returns the number of sockets that the process may open with its descriptors and memory.
func (d *Daemon) sockets() int {
	byMemory := int(float64(d.Settings.MemoryBytes()*connPercent/100/evictor.ConnBytes) / clientPart)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return min(d.Settings.Sockets(0), byMemory) // the fewest
	}
	return min(d.Settings.Sockets(uint64(limit.Cur)), byMemory)
}

// listen opens a listener whose connections are counted in a pool.
func (d *Daemon) listen(pool *evictor.Pool, name string, address netip.AddrPort, divisor float64) (*evictor.Listener, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &evictor.Listener{Listener: listener, Name: name, Pool: pool, MaxConns: int(float64(d.sockets()) / divisor)}, nil
}

// limitReceiveBuffers bounds the data that each connection of a listener holds unread. Connections
// inherit the size; without it, the buffers of pipelined requests alone would exceed a small VM.
func limitReceiveBuffers(listener *evictor.Listener) error {
	raw, err := listener.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	var failed error
	if err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	}); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}

// saveConn stores a connection in the context of its requests.
func saveConn(ctx context.Context, conn net.Conn) context.Context {
	return evictor.SaveConn(resetter.SaveConn(ctx, conn), conn)
}
