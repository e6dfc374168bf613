package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// inspectTime bounds a question to an engine.
	inspectTime = 300 * time.Millisecond
	// inspectAge is how long an answer serves other requests too. Engines tell
	// their state as of some hundred milliseconds ago, and questions are priced.
	inspectAge = 150 * time.Millisecond
)

// inspector asks engines for their state, and once for requests that stall
// together.
type inspector struct {
	mu    sync.Mutex
	known map[netip.AddrPort]*inspection
}

// inspection is a question to an engine, and its answer once done is closed.
type inspection struct {
	at    time.Time
	done  chan struct{}
	state cowslipproxy.EngineState
	err   error
}

func (i *inspector) state(ctx context.Context, engines cowslipproxy.Operable, now time.Time, engine cowslipproxy.Instance) (cowslipproxy.EngineState, error) {
	i.mu.Lock()
	if i.known == nil {
		i.known = map[netip.AddrPort]*inspection{}
	}
	asked, ok := i.known[engine.Address]
	if !ok || now.Sub(asked.at) > inspectAge {
		asked = &inspection{at: now, done: make(chan struct{})}
		i.known[engine.Address] = asked
		go func() {
			// The question outlives the request that asked it first.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inspectTime)
			defer cancel()
			asked.state, asked.err = engines.State(ctx, engine)
			close(asked.done)
		}()
	}
	i.mu.Unlock()
	select {
	case <-ctx.Done():
		return cowslipproxy.EngineState{}, ctx.Err()
	case <-asked.done:
		return asked.state, asked.err
	}
}
