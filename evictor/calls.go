package evictor

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Calls reports to a pool which data of other daemons was received completely. It implements
// stats.Handler of a gRPC server behind a listener with IsPeer.
type Calls struct{ Pool *Pool }

// TagConn implements stats.Handler.
func (h Calls) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	h.Pool.mu.Lock()
	defer h.Pool.mu.Unlock()
	for c := range h.Pool.conns {
		if c.listener.IsPeer && c.RemoteAddr().String() == info.RemoteAddr.String() {
			return context.WithValue(ctx, connKey{}, c)
		}
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (h Calls) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (h Calls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler. Frames of HTTP/2 stay counted until no call is in progress.
func (h Calls) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	h.Pool.mu.Lock()
	defer h.Pool.mu.Unlock()
	if _, counted := h.Pool.conns[c]; !counted {
		return
	}
	switch event := event.(type) {
	case *stats.Begin:
		c.calls++
	case *stats.InPayload:
		h.Pool.setCost(c, max(0, c.cost-int64(event.WireLength)))
	case *stats.End:
		if c.calls--; c.calls == 0 {
			h.Pool.setCost(c, 0)
		}
	}
}

// receivesNoCall reports whether another daemon has sent much data that belongs to no call.
func (p *Pool) receivesNoCall(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.calls == 0 && c.cost > noCallBytes
}
