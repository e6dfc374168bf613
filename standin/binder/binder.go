// Package binder finds addresses for processes under test.
package binder

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral range of the system, so that no connection takes a port
// between its choice and the process's start.
const (
	firstPort = 12_000
	ports     = 18_000
)

// nextPort is the offset of the port that FreeAddress tries next. Ports are not used again for
// long, since daemons of a fleet would call a later fleet that got one of its addresses.
var nextPort = func() *atomic.Uint32 {
	var next atomic.Uint32
	next.Store(uint32(os.Getpid()) * 64 % ports)
	return &next
}()

// FreeAddress returns a loopback address at which nothing listens. It returns an error if
// all ports are in use.
func FreeAddress() (netip.AddrPort, error) {
	for range ports {
		address := netip.AddrPortFrom(loopback(), uint16(firstPort+nextPort.Add(1)%ports))
		if isFree(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.Errorf("all %d ports from %d on are in use", ports, firstPort)
}

// loopback returns an address that no other process uses, or 127.0.0.1 on systems with only
// that one. Daemons of other test processes may have the same names, and would join the fleet
// of this one if they called a port that has changed hands.
var loopback = sync.OnceValue(func() netip.Addr {
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(pid>>16)%254 + 1, byte(pid >> 8), byte(pid)})
	if isFree(netip.AddrPortFrom(own, 0)) {
		return own
	}
	return netip.AddrFrom4([4]byte{127, 0, 0, 1})
})

func isFree(address netip.AddrPort) bool {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
