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

// client sends messages of a fictitious daemon entry-2 to a Gossiper.
type client struct {
	t    *testing.T
	conn *grpc.ClientConn
}

// remote is the daemon that client acts as.
var remote = cowslipproxy.Owner{Name: "entry-2", Incarnation: 1}

// connect starts a Gossiper and returns a client of it.
func connect(t *testing.T) (*gossiper.Gossiper, client) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	g := &gossiper.Gossiper{
		Self: cowslipproxy.Owner{Name: "entry-1", Incarnation: 1}, Listener: listener, Logger: slog.New(slog.DiscardHandler),
		Hello: cowslipproxy.Hello{Caller: address, Peer: address, Centre: "oyo-a"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	conn, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName), grpc.WaitForReady(true)))
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, conn.Close())
		cancel()
		require.NoError(t, <-ended)
	})
	return g, client{t, conn}
}

// exchange sends a message and returns the response.
func (c client) exchange(message gossiper.Exchange) (response gossiper.Exchange) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	message.From, message.Centre = remote, "oyo-b"
	require.NoError(c.t, c.conn.Invoke(ctx, "/cowslip.Peers/Exchange", &message, &response))
	return response
}

// remoteItems returns the hello of remote and a later item.
func remoteItems(t *testing.T) (hello, later gossiper.Item) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	data, err := gossiper.Encode(cowslipproxy.Hello{Caller: address, Peer: address, Centre: "oyo-b"})
	require.NoError(t, err)
	return gossiper.Item{Owner: remote, Reach: gossiper.ReachAll, Kind: gossiper.KindHello, Version: 1, Data: data},
		gossiper.Item{Owner: remote, Reach: gossiper.ReachAll, Kind: gossiper.KindDemand, Key: "officers", Version: 2}
}

// requireMember checks that remote is a member.
func requireMember(t *testing.T, g *gossiper.Gossiper) {
	members := g.Members()
	require.Len(t, members, 2)
	require.Equal(t, remote, members[1].Owner)
}

// Guards against acknowledging a journal position before all items up to it were
// received. The peer then continues with later items and never sends its hello
// again, so that address responses never include it.
func TestAcknowledgesPositionOnlyWithItsItems(t *testing.T) {
	g, c := connect(t)
	first, second := remoteItems(t)
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
		require.Equal(t, step.ack, c.exchange(step.message).Ack, step.name)
	}
	requireMember(t, g)
}

// Guards against items whose versions hide earlier ones that were never received.
func TestItemsAfterAGapAreNotApplied(t *testing.T) {
	g, c := connect(t)
	first, second := remoteItems(t)
	require.Zero(t, c.exchange(gossiper.Exchange{Base: 5, Seq: 6, AllHash: 1, Items: []gossiper.Item{second}}).Ack)
	require.Empty(t, g.Items(gossiper.KindDemand))
	require.Equal(t, uint64(6), c.exchange(gossiper.Exchange{Seq: 6, AllHash: 1, Slots: []int{1}, Items: []gossiper.Item{first, second}}).Ack)
	require.Len(t, g.Items(gossiper.KindDemand), 1)
	requireMember(t, g)
}
