package gossiper_test

import (
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

// BenchmarkTraffic measures the bytes that a daemon sends and receives, TCP and
// IP headers not included, and its processor time, with rounds of 1 s. Changes
// are one demand of 100 bytes per daemon and second, which the budget holds
// back, and one urgent item per second in the whole fleet.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{5, 15, 50, 150} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			n := newNetwork()
			fleet := n.fleet(b, size, time.Second)
			time.Sleep(3 * time.Second)
			b.ResetTimer()
			for range b.N {
				measure(b, n, fleet, "idle", func(int) {})
				measure(b, n, fleet, "urgent", func(second int) {
					require.NoError(b, fleet[second%size].SaySuspect(strconv.Itoa(second), make([]byte, 50)))
				})
				measure(b, n, fleet, "busy", func(int) {
					for _, d := range fleet {
						require.NoError(b, d.SayDemand("customer", gossiper.ReachAll, make([]byte, 100)))
					}
				})
			}
		})
	}
}

const measured = 20 // seconds

func measure(b *testing.B, n *network, fleet []*daemon, name string, change func(second int)) {
	bytes, processor := n.bytes.Load(), spent(b)
	for second := range measured {
		change(second)
		time.Sleep(time.Second)
	}
	daemons := float64(len(fleet) * measured)
	// Each byte has a sender and a receiver.
	b.ReportMetric(2*float64(n.bytes.Load()-bytes)/daemons, name+"-B/s")
	b.ReportMetric(100*(spent(b)-processor).Seconds()/daemons, name+"-%core")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse)/float64(len(fleet))/1024, name+"-heapKiB")
}

func spent(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
