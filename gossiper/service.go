package gossiper

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const (
	serviceName = "cowslip.Peers"
	maxMessage  = 256 << 10 // what daemons send each other in one message, but for snapshots
	maxSnapshot = 16 << 20  // 3,722 scopes of 1 KB are 3.7 MB
	idleConn    = time.Minute
	pingTime    = 10 * time.Second // the least that grpc-go allows; notices a VM that vanished during a forwarded request
	pingTimeout = 5 * time.Second
	window      = 128 << 10 // fixed, so that grpc-go sends no pings to estimate it
	maxStreams  = 1024
	maxConns    = 4096 // each of 1,900 daemons may forward requests here
)

// SnapshotRequest asks for the configuration snapshot.
type SnapshotRequest struct{}

// SnapshotAnswer is a configuration snapshot as its owner encoded it.
type SnapshotAnswer struct {
	At   uint64 `json:"at"` // offset through which the configuration was folded
	Data []byte `json:"data"`
}

// Payload is data that goes to one daemon directly, as its owner encoded it.
type Payload struct {
	Data []byte `json:"data"`
}

type peers interface {
	answer(request *Exchange) (*Exchange, error)
	difference(question *Compare) (*Difference, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*peers)(nil),
	Methods: []grpc.MethodDesc{
		unary("Exchange", func(g *Gossiper, _ context.Context, r *Exchange) (*Exchange, error) { return g.answer(r) }),
		unary("Compare", func(g *Gossiper, _ context.Context, q *Compare) (*Difference, error) { return g.difference(q) }),
		unary("Snapshot", func(g *Gossiper, ctx context.Context, _ *SnapshotRequest) (*SnapshotAnswer, error) {
			return g.snapshot(ctx)
		}),
		unary("Hold", func(g *Gossiper, _ context.Context, s *Payload) (*Payload, error) { return g.take(g.Holds, s) }),
		unary("Share", func(g *Gossiper, _ context.Context, s *Payload) (*Payload, error) { return g.take(g.Shares, s) }),
		unary("Suspects", func(g *Gossiper, _ context.Context, s *Payload) (*Payload, error) { return g.take(g.Suspects, s) }),
	},
	Streams: []grpc.StreamDesc{{
		StreamName:    "Forward",
		Handler:       func(server any, stream grpc.ServerStream) error { return server.(*Gossiper).serveForward(stream) },
		ServerStreams: true,
		ClientStreams: true,
	}},
}

func unary[Request, Answer any](name string, serve func(*Gossiper, context.Context, *Request) (*Answer, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			request := new(Request)
			if err := decode(request); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			return serve(server.(*Gossiper), ctx, request)
		},
	}
}

// Register adds the service for other daemons to a server.
func (g *Gossiper) Register(server *grpc.Server) {
	g.setup()
	server.RegisterService(&serviceDesc, g)
}

func serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.StaticStreamWindowSize(window),
		grpc.StaticConnWindowSize(8 * window),
		grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleConn, Time: idleConn, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingTime / 2}),
	}
}

func (g *Gossiper) snapshot(ctx context.Context) (*SnapshotAnswer, error) {
	if g.Snapshot == nil {
		return nil, status.Error(codes.Unavailable, "no configuration yet")
	}
	var at uint64
	var data []byte
	var err error
	if at, data, err = g.Snapshot(ctx); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &SnapshotAnswer{At: at, Data: data}, nil
}

// FetchSnapshot asks another daemon for its configuration snapshot.
func (g *Gossiper) FetchSnapshot(ctx context.Context, address string) (SnapshotAnswer, error) {
	g.setup()
	var answer SnapshotAnswer
	err := g.invoke(ctx, address, "Snapshot", &SnapshotRequest{}, &answer, grpc.MaxCallRecvMsgSize(maxSnapshot))
	return answer, err
}

func (g *Gossiper) take(hook func([]byte) ([]byte, error), sent *Payload) (*Payload, error) {
	if hook == nil {
		return nil, status.Error(codes.Unavailable, "not ready")
	}
	var data []byte
	var err error
	if data, err = hook(sent.Data); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &Payload{Data: data}, nil
}

// SendSuspects sends records to another daemon and returns what it holds of the
// same requests.
func (g *Gossiper) SendSuspects(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var held Payload
	err := g.invoke(ctx, address, "Suspects", &Payload{Data: data}, &held)
	return held.Data, err
}

// SendHold asks another daemon for the use of an upstream by a suspect.
func (g *Gossiper) SendHold(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var answer Payload
	err := g.invoke(ctx, address, "Hold", &Payload{Data: data}, &answer)
	return answer.Data, err
}

// SendShare tells another daemon what was read of the platform's store.
func (g *Gossiper) SendShare(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var answer Payload
	err := g.invoke(ctx, address, "Share", &Payload{Data: data}, &answer)
	return answer.Data, err
}

func (g *Gossiper) invoke(ctx context.Context, address, method string, request, answer any, options ...grpc.CallOption) error {
	var conn *grpc.ClientConn
	var err error
	if conn, err = g.conns.get(address, time.Now()); err != nil {
		return err
	}
	return errors.WithStack(conn.Invoke(ctx, "/"+serviceName+"/"+method, request, answer, options...))
}

// connections are the open connections to other daemons by address.
type connections struct {
	dial    func(context.Context, string) (net.Conn, error)
	refused func(address string) // is told of addresses that take no connections
	mu      sync.Mutex
	open    map[string]*connection
}

type connection struct {
	*grpc.ClientConn
	used   time.Time
	active int // forwarded requests
}

func newConnections(dial func(context.Context, string) (net.Conn, error), refused func(address string)) *connections {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &connections{dial: dial, refused: refused, open: map[string]*connection{}}
}

// connect dials, and tells at once of an address where no process listens.
func (c *connections) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refused(address)
	}
	return conn, err
}

func (c *connections) get(address string, now time.Time) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held *connection
	var err error
	if held, err = c.hold(address, now); err != nil {
		return nil, err
	}
	return held.ClientConn, nil
}

// lease returns a connection that stays open until the function is called.
func (c *connections) lease(address string) (*grpc.ClientConn, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held *connection
	var err error
	if held, err = c.hold(address, time.Now()); err != nil {
		return nil, nil, err
	}
	held.active++
	return held.ClientConn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		held.active--
		held.used = time.Now()
	}, nil
}

func (c *connections) hold(address string, now time.Time) (*connection, error) {
	if held := c.open[address]; held != nil {
		held.used = now
		return held, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(c.connect),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(window),
		grpc.WithStaticConnWindowSize(8*window),
		grpc.WithConnectParams(connectParams),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingTime, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName), grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, errors.Wrap(err, "connect to daemon")
	}
	c.open[address] = &connection{ClientConn: client, used: now}
	return c.open[address], nil
}

// prune closes the connections that are no longer used.
func (c *connections) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, held := range c.open {
		if held.active == 0 && now.Sub(held.used) > idleConn {
			_ = held.Close() // its calls ended, so nothing depends on the result
			delete(c.open, address)
		}
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, held := range c.open {
		_ = held.Close() // the daemon ends
		delete(c.open, address)
	}
}
