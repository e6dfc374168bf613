package pooler_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/pooler"
)

// Guards against a refresh that misses a change of a known upstream: it is leaving, live
// again, or has a new address.
func TestRefreshAppliesChanges(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	pool := &pooler.Pool{Name: "entry-1", Clock: time.Now, Logger: logger, Metrics: metrics.NewRegistry(), Checker: &checker.Checker{Metrics: metrics.NewRegistry(), Logger: logger}}
	pool.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- pool.Run(ctx) }()
	first, second := listen(t), listen(t)
	for _, step := range []struct {
		address netip.AddrPort
		state   cowslipproxy.VMState
	}{{first, cowslipproxy.VMLive}, {first, cowslipproxy.VMLeaving}, {first, cowslipproxy.VMLive}, {second, cowslipproxy.VMLive}} {
		vm := cowslipproxy.VM{Name: "ledger-1", Role: cowslipproxy.VMService, Service: "ledger", Address: step.address, State: step.state}
		pool.List(lister.List{VMs: []cowslipproxy.VM{vm}, Taken: time.Now()})
		require.Eventually(t, func() bool {
			_, upstream, ok := pool.Pick(time.Now(), "ledger", nil)
			if step.state == cowslipproxy.VMLeaving {
				return !ok
			}
			return ok && upstream.(*forwarder.Server).Address == step.address
		}, 20*time.Second, 10*time.Millisecond, "%v %s", step.address, step.state)
	}
	cancel()
	require.NoError(t, <-result)
}

func listen(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}
