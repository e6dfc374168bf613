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
	serviceName  = "cowslip.Peers"
	maxMessage   = 256 << 10 // bytes of any message except a snapshot
	maxSnapshot  = 16 << 20  // 3,722 scopes of 1 KB are 3.7 MB
	idleTimeout  = time.Minute
	pingInterval = 10 * time.Second // minimum that grpc-go allows; detects a VM that vanished during a forwarded request
	pingTimeout  = 5 * time.Second
	windowSize   = 128 << 10 // static, so that grpc-go sends no pings to estimate the bandwidth
	maxStreams   = 1024
	// maxHeaderList bounds the decoded head of a call; the default of grpc-go is 16 MB.
	maxHeaderList = 16 << 10
	connBuffer    = 8 << 10 // bytes; idle connections hold it too
	maxConns      = 4096    // room for each of 1,900 daemons to forward requests to this one
)

// SnapshotRequest asks for the configuration snapshot.
type SnapshotRequest struct{}

// SnapshotResponse is the response with a configuration snapshot. Data is opaque
// to this package.
type SnapshotResponse struct {
	Offset uint64 `json:"at"` // last configuration offset that the snapshot includes
	Data   []byte `json:"data"`
}

// Payload is data of another package that is sent to a single daemon. It is
// opaque to this package.
type Payload struct {
	Data []byte `json:"data"`
}

type peerService interface {
	serveExchange(request *Exchange) (*Exchange, error)
	serveCompare(comparison *Compare) (*Difference, error)
	serveSegment(request *SegmentRequest) (*Segment, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*peerService)(nil),
	Methods: []grpc.MethodDesc{
		unary("Exchange", func(g *Gossiper, _ context.Context, r *Exchange) (*Exchange, error) { return g.serveExchange(r) }),
		unary("Compare", func(g *Gossiper, _ context.Context, c *Compare) (*Difference, error) { return g.serveCompare(c) }),
		unary("Snapshot", func(g *Gossiper, ctx context.Context, _ *SnapshotRequest) (*SnapshotResponse, error) {
			return g.serveSnapshot(ctx)
		}),
		unary("Segment", func(g *Gossiper, _ context.Context, r *SegmentRequest) (*Segment, error) { return g.serveSegment(r) }),
		unary("Hold", func(g *Gossiper, _ context.Context, p *Payload) (*Payload, error) { return g.handle(g.OnHold, p) }),
		unary("Grant", func(g *Gossiper, _ context.Context, p *Payload) (*Payload, error) { return g.handle(g.OnGrant, p) }),
		unary("Trial", func(g *Gossiper, _ context.Context, p *Payload) (*Payload, error) { return g.handle(g.OnTrial, p) }),
		unary("Share", func(g *Gossiper, _ context.Context, p *Payload) (*Payload, error) { return g.handle(g.OnShare, p) }),
		unary("Suspects", func(g *Gossiper, _ context.Context, p *Payload) (*Payload, error) { return g.handle(g.OnSuspects, p) }),
	},
	Streams: []grpc.StreamDesc{{
		StreamName:    "Forward",
		Handler:       func(server any, stream grpc.ServerStream) error { return server.(*Gossiper).serveForward(stream) },
		ServerStreams: true,
		ClientStreams: true,
	}},
}

func unary[Request, Response any](name string, serve func(*Gossiper, context.Context, *Request) (*Response, error)) grpc.MethodDesc {
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

// Register adds the service that other daemons call to a gRPC server.
func (g *Gossiper) Register(server *grpc.Server) {
	g.setup()
	server.RegisterService(&serviceDesc, g)
}

func serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.ReadBufferSize(connBuffer),
		grpc.StaticStreamWindowSize(windowSize),
		grpc.StaticConnWindowSize(8 * windowSize),
		grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleTimeout, Time: idleTimeout, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2}),
	}
}

func (g *Gossiper) serveSnapshot(ctx context.Context) (*SnapshotResponse, error) {
	if g.Snapshot == nil {
		return nil, status.Error(codes.Unavailable, "configuration not loaded yet")
	}
	var offset uint64
	var data []byte
	var err error
	if offset, data, err = g.Snapshot(ctx); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &SnapshotResponse{Offset: offset, Data: data}, nil
}

// FetchSnapshot requests the configuration snapshot of another daemon.
func (g *Gossiper) FetchSnapshot(ctx context.Context, address string) (SnapshotResponse, error) {
	g.setup()
	var response SnapshotResponse
	err := g.invoke(ctx, address, "Snapshot", &SnapshotRequest{}, &response, grpc.MaxCallRecvMsgSize(maxSnapshot))
	return response, err
}

// handle passes the data of another daemon's call to a handler and returns its response.
func (g *Gossiper) handle(handler func([]byte) ([]byte, error), payload *Payload) (*Payload, error) {
	if handler == nil {
		return nil, status.Error(codes.Unavailable, "daemon does not handle this call")
	}
	var data []byte
	var err error
	if data, err = handler(payload.Data); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &Payload{Data: data}, nil
}

// SendSuspects sends suspect records to another daemon and returns the records
// that it holds for the same requests.
func (g *Gossiper) SendSuspects(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var records Payload
	err := g.invoke(ctx, address, "Suspects", &Payload{Data: data}, &records)
	return records.Data, err
}

// SendHold asks another daemon to reserve an upstream for a suspect, or to
// release it.
func (g *Gossiper) SendHold(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var response Payload
	err := g.invoke(ctx, address, "Hold", &Payload{Data: data}, &response)
	return response.Data, err
}

// SendGrant asks another daemon to grant a request to an upstream with a limit.
func (g *Gossiper) SendGrant(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var reply Payload
	err := g.invoke(ctx, address, "Grant", &Payload{Data: data}, &reply)
	return reply.Data, err
}

// SendTrial asks another daemon to grant a trial of quarantined fingerprints.
func (g *Gossiper) SendTrial(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var reply Payload
	err := g.invoke(ctx, address, "Trial", &Payload{Data: data}, &reply)
	return reply.Data, err
}

// SendShare sends data that was read from the platform's store to another daemon.
func (g *Gossiper) SendShare(ctx context.Context, address string, data []byte) ([]byte, error) {
	g.setup()
	var response Payload
	err := g.invoke(ctx, address, "Share", &Payload{Data: data}, &response)
	return response.Data, err
}

func (g *Gossiper) invoke(ctx context.Context, address, method string, request, response any, options ...grpc.CallOption) error {
	var conn *grpc.ClientConn
	var err error
	if conn, err = g.conns.get(address, time.Now()); err != nil {
		return err
	}
	return errors.WithStack(conn.Invoke(ctx, "/"+serviceName+"/"+method, request, response, options...))
}

// connections is a pool of connections to other daemons, by address.
type connections struct {
	dial      func(context.Context, string) (net.Conn, error)
	onRefused func(address string) // called for an address that refuses connections
	mu        sync.Mutex
	open      map[string]*connection
}

type connection struct {
	*grpc.ClientConn
	lastUsed time.Time
	active   int // forwarded requests in progress
}

func newConnections(dial func(context.Context, string) (net.Conn, error), onRefused func(address string)) *connections {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &connections{dial: dial, onRefused: onRefused, open: map[string]*connection{}}
}

// connect dials an address and calls onRefused if no process listens there.
func (c *connections) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.onRefused(address)
	}
	return conn, err
}

func (c *connections) get(address string, now time.Time) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entry *connection
	var err error
	if entry, err = c.getOrOpen(address, now); err != nil {
		return nil, err
	}
	return entry.ClientConn, nil
}

// acquire returns a connection that isn't pruned until the returned function is
// called.
func (c *connections) acquire(address string) (*grpc.ClientConn, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entry *connection
	var err error
	if entry, err = c.getOrOpen(address, time.Now()); err != nil {
		return nil, nil, err
	}
	entry.active++
	return entry.ClientConn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		entry.active--
		entry.lastUsed = time.Now()
	}, nil
}

func (c *connections) getOrOpen(address string, now time.Time) (*connection, error) {
	if entry := c.open[address]; entry != nil {
		entry.lastUsed = now
		return entry, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(c.connect),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(windowSize),
		grpc.WithStaticConnWindowSize(8*windowSize),
		grpc.WithConnectParams(connectParams),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(decoder.CodecName), grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, errors.Wrap(err, "create client connection")
	}
	c.open[address] = &connection{ClientConn: client, lastUsed: now}
	return c.open[address], nil
}

// prune closes idle connections.
func (c *connections) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, entry := range c.open {
		if entry.active == 0 && now.Sub(entry.lastUsed) > idleTimeout {
			_ = entry.Close() // no call is in progress, so the error can be ignored
			delete(c.open, address)
		}
	}
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, entry := range c.open {
		_ = entry.Close() // the daemon is shutting down, so the error can be ignored
		delete(c.open, address)
	}
}
