package gossiper_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

// Guards against acknowledging a journal position before all items up to it were
// received. The peer then continues with later items and never sends its hello
// again, so that address responses never include it.
func TestAcknowledgesPositionOnlyWithItsItems(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	g := &gossiper.Gossiper{
		Self: cowslipproxy.Owner{Name: "entry-1", Incarnation: 1}, Listener: listener, Logger: slog.New(slog.DiscardHandler),
		Hello: cowslipproxy.Hello{Caller: address, Peer: address, Centre: "oyo-a"},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	conn, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName), grpc.WaitForReady(true)))
	require.NoError(t, err)
	defer conn.Close()

	peer := cowslipproxy.Owner{Name: "entry-2", Incarnation: 1}
	hello, err := gossiper.Encode(cowslipproxy.Hello{Caller: address, Peer: address, Centre: "oyo-b"})
	require.NoError(t, err)
	first := gossiper.Item{Owner: peer, Reach: gossiper.ReachAll, Kind: gossiper.KindHello, Version: 1, Data: hello}
	second := gossiper.Item{Owner: peer, Reach: gossiper.ReachAll, Kind: gossiper.KindDemand, Key: "officers", Version: 2}
	for _, step := range []struct {
		name    string
		message gossiper.Exchange
		ack     uint64
	}{
		{"heartbeat without items", gossiper.Exchange{Seq: 5, AllHash: 1}, 0},
		{"truncated comparison", gossiper.Exchange{Seq: 0, AllHash: 1, Slots: []int{1}}, 0},
		{"comparison", gossiper.Exchange{Seq: 5, AllHash: 1, Slots: []int{1}, Items: []gossiper.Item{first}}, 5},
		{"late heartbeat without items", gossiper.Exchange{Seq: 7, AllHash: 1}, 5},
		{"contiguous items", gossiper.Exchange{Base: 5, Seq: 6, AllHash: 1, Items: []gossiper.Item{second}}, 6},
	} {
		step.message.From, step.message.Centre = peer, "oyo-b"
		var response gossiper.Exchange
		require.NoError(t, conn.Invoke(ctx, "/cowslip.Peers/Exchange", &step.message, &response), step.name)
		require.Equal(t, step.ack, response.Ack, step.name)
	}
	members := g.Members()
	require.Len(t, members, 2)
	require.Equal(t, peer, members[1].Owner)
	cancel()
	require.NoError(t, <-ended)
}
