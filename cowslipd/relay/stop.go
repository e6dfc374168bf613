package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	stopPollInterval = 50 * time.Millisecond
	// acceptTime is how long new requests are accepted after a shutdown began, since
	// callers learn of it only from their next reply. Later requests would not
	// complete within the grace time.
	acceptTime = 2800 * time.Millisecond
	// stopMargin is the part of the grace time that is left when the process exits.
	stopMargin = 500 * time.Millisecond
	// answerTime is the time before that in which requests in flight get their final answer.
	answerTime = 250 * time.Millisecond
	// closeTimeout bounds the wait for answers that are still being written at the exit. It is
	// a part of stopMargin.
	closeTimeout = 200 * time.Millisecond
	// lifetimeFactor is the multiple of its lifetime for which some callers keep an
	// address answer.
	lifetimeFactor = 3
)

// stop waits for ctx to be cancelled and shuts the daemon down gracefully. The
// daemon is removed from address answers, completes its requests, and after
// acceptTime refuses those that it has not passed on. Requests that do not end in time
// get a final answer. If workCtx ends first, because a part of the daemon failed, stop
// returns at once.
func (d *Daemon) stop(ctx, workCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return
	}
	begin := d.Clock()
	d.stopping.Store(true)
	d.logPhase("leaving")
	if err := d.gossiper.PublishStopping(); err != nil {
		reporter.EventExchangeFailed.Log(workCtx, d.Logger, slog.Any("error", err))
	}
	go d.lease.Release()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !d.advanceStop(d.Clock().Sub(begin)) {
		<-ticker.C
	}
	d.logPhase("ended")
}

// advanceStop takes the next step of a shutdown that began some time ago, if it is due, and
// reports whether the shutdown is complete.
func (d *Daemon) advanceStop(elapsed time.Duration) bool {
	settings := d.settings()
	end := time.Duration(settings.Grace) - stopMargin
	isIdle := elapsed >= lifetimeFactor*time.Duration(settings.Lifetime) && d.server.InFlight() == 0
	switch {
	case d.rejecting.Err() == nil:
		if elapsed >= min(acceptTime, end-answerTime) || isIdle {
			d.logPhase("finishing")
			d.reject()
		}
		return false // a request that was accepted before is counted at the next step
	case d.ending.Err() == nil && elapsed >= end-answerTime:
		d.logPhase("answering")
		d.endRequests()
		return false
	}
	return isIdle || elapsed >= end
}

func (d *Daemon) logPhase(name string) {
	reporter.EventStopPhase.Log(context.Background(), d.Logger, slog.String("phase", name), slog.Int64("inflight", d.server.InFlight()))
}
