package router

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/advertiser"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// awaitStop returns when a planned stop, begun by the end of ctx or by an
// operator, is complete, or when the work has ended.
func (r *Router) awaitStop(ctx, work context.Context) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	phase := advertiser.PhaseServing
	begin := ctx.Done()
	for phase != advertiser.PhaseEnded {
		select {
		case <-work.Done():
			return
		case <-begin:
			begin = nil
			r.beginStop()
		case <-ticker.C:
		}
		r.stopMu.Lock()
		next := r.stopper.Step(int(r.caller.InFlight()), r.Clock())
		r.stopMu.Unlock()
		if next != phase {
			phase = next
			reporter.EventStopPhase.Log(work, r.Logger, slog.String("phase", string(phase)))
		}
	}
}

// finish lets the requests that other daemons forwarded end, and the outcomes
// that wait for the log get into it.
func (r *Router) finish(ctx context.Context) {
	r.gossiper.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	r.committer.Flush(ctx)
}

// isFinishing reports whether no address answer names this daemon any more.
func (r *Router) isFinishing() bool {
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	phase := r.stopper.Phase()
	return phase == advertiser.PhaseFinishing || phase == advertiser.PhaseEnded
}

// beginStop starts a planned stop and tells the other daemons.
func (r *Router) beginStop() {
	r.stopMu.Lock()
	r.stopper.Begin(r.Clock())
	r.stopMu.Unlock()
	if err := r.gossiper.Stop(); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), r.Logger, slog.Any("error", err))
	}
}

// addresses answers a caller that asks which entry VM to use.
func (r *Router) addresses(_ time.Time, _ netip.Addr) cowslipproxy.Addresses {
	members := r.gossiper.Members()
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	return r.advertiser.SelectAddresses(members)
}
