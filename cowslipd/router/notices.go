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

// noticePeriod keeps events of each refused request from flooding the log.
const noticePeriod = 10 * time.Second

// notices knows when events were written last.
type notices struct {
	mu   sync.Mutex
	last map[notice]time.Time
}

type notice struct {
	event int
	name  string
}

// due reports whether an event about a name may be written now.
func (n *notices) due(event reporter.Event, name string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := notice{event.Number, name}
	if last, ok := n.last[key]; ok && now.Sub(last) < noticePeriod {
		return false
	}
	if n.last == nil {
		n.last = map[notice]time.Time{}
	}
	n.last[key] = now
	return true
}

// noteRefusal writes an event when a declared model or service has no upstreams.
func (r *Router) noteRefusal(ctx context.Context, name string, err error) {
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
	if r.notices.due(event, name, r.Clock()) {
		event.Log(ctx, r.Logger, slog.String(attr, name), slog.String("error", failure.Message))
	}
}
