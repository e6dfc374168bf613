package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// stateTimeout bounds a state query to an engine.
	stateTimeout = 300 * time.Millisecond
	// stateMaxAge is how long the answer to a query is reused for other requests,
	// since each query has a cost. This adds little to the age of the state, which
	// is a few hundred milliseconds old when an engine reports it.
	stateMaxAge = 150 * time.Millisecond
)

// stateCache queries engines for their state. Requests that stall at the same
// time share one query.
type stateCache struct {
	mu      sync.Mutex
	queries map[netip.AddrPort]*stateQuery
}

// stateQuery is a query to an engine. Its result is set before done is closed.
type stateQuery struct {
	at    time.Time // start of the query
	done  chan struct{}
	state cowslipproxy.EngineState
	err   error
}

// state returns the state of an engine, which may be the answer to an earlier
// query. The error wraps errAtLimit if the engine accepts no request for now.
func (c *stateCache) state(ctx context.Context, server *Server, now time.Time, engine cowslipproxy.Instance) (cowslipproxy.EngineState, error) {
	c.mu.Lock()
	if c.queries == nil {
		c.queries = map[netip.AddrPort]*stateQuery{}
	}
	query, ok := c.queries[engine.Address]
	if !ok || now.Sub(query.at) > stateMaxAge {
		query = &stateQuery{at: now, done: make(chan struct{})}
		c.queries[engine.Address] = query
		go func() {
			// Other requests wait for the query, so it is not cancelled with this one.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stateTimeout)
			defer cancel()
			defer func() {
				close(query.done)
				if query.err == nil {
					server.Speeds.RecordReport(ctx, query.at, engine.Incarnation(), query.state)
				}
			}()
			if granted, _ := server.Limits.Acquire(ctx, engine.Incarnation(), false); !granted {
				query.err = errors.WithStack(errAtLimit)
				return
			}
			query.state, query.err = server.Engines.State(ctx, engine)
		}()
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return cowslipproxy.EngineState{}, ctx.Err()
	case <-query.done:
		return query.state, query.err
	}
}
