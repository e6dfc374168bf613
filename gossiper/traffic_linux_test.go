package gossiper_test

import (
	"encoding/binary"
	"net"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

// BenchmarkTraffic measures the bytes that a daemon sends and receives, without
// and with TCP and IP headers, and its CPU time, with rounds of 1 s. The load is
// one demand item of 100 bytes per daemon and second, which the budget delays, or
// one urgent item per second in the whole fleet.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{5, 15, 50, 150} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			n, closed := newNetwork(), 0
			n.onClose = func(c *trackedConn) { closed += c.segments(b) }
			fleet := n.fleet(b, size, time.Second)
			time.Sleep(3 * time.Second)
			b.ResetTimer()
			for range b.N {
				measure(b, n, &closed, fleet, "idle", func(int) {})
				measure(b, n, &closed, fleet, "urgent", func(second int) {
					require.NoError(b, fleet[second%size].PublishSuspect(strconv.Itoa(second), make([]byte, 50)))
				})
				measure(b, n, &closed, fleet, "busy", func(int) { publishDemands(b, fleet) })
			}
		})
	}
}

func publishDemands(b *testing.B, fleet []*daemon) {
	for _, d := range fleet {
		require.NoError(b, d.PublishDemand("customer", gossiper.ReachAll, make([]byte, 100)))
	}
}

const measureSeconds = 20

func measure(b *testing.B, n *network, closed *int, fleet []*daemon, name string, publish func(second int)) {
	bytes, segments, cpuBefore := n.bytes.Load(), n.segments(b, closed), cpuTime(b)
	for second := range measureSeconds {
		publish(second)
		time.Sleep(time.Second)
	}
	daemons := float64(len(fleet) * measureSeconds)
	// Each byte counts for both the sender and the receiver.
	sent := 2 * float64(n.bytes.Load()-bytes) / daemons
	headers := 2 * segmentHeader * float64(n.segments(b, closed)-segments) / daemons
	b.ReportMetric(sent, name+"-B/s")
	b.ReportMetric(sent+headers, name+"-wire-B/s")
	b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/daemons, name+"-%core")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse)/float64(len(fleet))/1024, name+"-heapKiB")
}

const segmentHeader = 52 // bytes of the IPv4 header and the TCP header with timestamps

// segments returns the number of TCP segments sent and received on the open
// connections, plus the count in closed, which n.mu guards.
func (n *network) segments(b *testing.B, closed *int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := *closed
	for c := range n.open {
		total += c.segments(b)
	}
	return total
}

func (c *trackedConn) segments(b *testing.B) int {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(b, err)
	total := 0
	require.NoError(b, raw.Control(func(fd uintptr) { total = segmentsOf(fd) }))
	return total
}

func segmentsOf(fd uintptr) int {
	const out, in = 136, 140 // offsets of tcpi_segs_out and tcpi_segs_in in Linux's struct tcp_info
	var info [256]byte
	size := uint32(len(info))
	_, _, errno := syscall.RawSyscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return 0
	}
	return int(binary.NativeEndian.Uint32(info[out:]) + binary.NativeEndian.Uint32(info[in:]))
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
