package router

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// minEventInterval limits how often an event about the same name is logged, so that
// refused requests don't flood the log.
const minEventInterval = 10 * time.Second

// eventLimiter limits the rate of logged events.
type eventLimiter struct {
	mu         sync.Mutex
	lastLogged map[eventKey]time.Time
}

type eventKey struct {
	event int
	name  string
}

// allow reports whether an event about a name may be logged now.
func (l *eventLimiter) allow(event reporter.Event, name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := eventKey{event.Number, name}
	if lastLogged, ok := l.lastLogged[key]; ok && now.Sub(lastLogged) < minEventInterval {
		return false
	}
	if l.lastLogged == nil {
		l.lastLogged = map[eventKey]time.Time{}
	}
	l.lastLogged[key] = now
	return true
}

// logNoUpstream logs an event if err reports that a declared model or service has no
// upstreams. It ignores all other errors.
func (r *Router) logNoUpstream(ctx context.Context, name string, err error) {
	var failure *cowslipproxy.Failure
	if !errors.As(err, &failure) {
		return
	}
	event, attr := reporter.EventNoChain, "model"
	switch failure.Reason {
	case cowslipproxy.ReasonNoChain:
	case cowslipproxy.ReasonNoUpstream:
		event, attr = reporter.EventNoUpstream, "service"
	default:
		return
	}
	if r.eventLimiter.allow(event, name, r.Clock()) {
		event.Log(ctx, r.Logger, slog.String(attr, name), slog.String("error", failure.Message))
	}
}
