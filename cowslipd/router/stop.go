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

// awaitStop returns when a planned stop is complete or workCtx is cancelled. The stop
// is started by the cancellation of ctx or by an operator.
func (r *Router) awaitStop(ctx, workCtx context.Context) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	phase := advertiser.PhaseServing
	stopRequested := ctx.Done()
	for phase != advertiser.PhaseEnded {
		select {
		case <-workCtx.Done():
			return
		case <-stopRequested:
			stopRequested = nil
			r.beginStop()
		case <-ticker.C:
		}
		r.stopMu.Lock()
		current := r.stopper.Step(int(r.caller.InFlight()), r.Clock())
		r.stopMu.Unlock()
		if current != phase {
			phase = current
			reporter.EventStopPhase.Log(workCtx, r.Logger, slog.String("phase", string(phase)))
		}
	}
}

// drainAndFlush waits until the requests that other daemons forwarded have ended and
// pending outcomes have been appended to the log, for which it allows flushTimeout.
func (r *Router) drainAndFlush(ctx context.Context) {
	r.gossiper.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.committer.Flush(ctx)
}

// isFinishing reports whether all address responses that name this daemon have expired.
func (r *Router) isFinishing() bool {
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	phase := r.stopper.Phase()
	return phase == advertiser.PhaseFinishing || phase == advertiser.PhaseEnded
}

// beginStop starts a planned stop and announces it to the other daemons.
func (r *Router) beginStop() {
	r.stopMu.Lock()
	r.stopper.Begin(r.Clock())
	r.stopMu.Unlock()
	if err := r.gossiper.PublishStopping(); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), r.Logger, slog.Any("error", err))
	}
}

// addresses returns the response to a caller's query for entry VMs.
func (r *Router) addresses(_ time.Time, _ netip.Addr) cowslipproxy.Addresses {
	members := r.gossiper.Members()
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	return r.advertiser.SelectAddresses(time.Now(), members) // members have times of the system's clock, like all timeouts of the gossiper
}
