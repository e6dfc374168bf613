package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	stopPoll = 50 * time.Millisecond
	// takeTime is how long requests are taken after a stop began. Callers learn
	// of it with their next answer, and later requests would not end in time.
	takeTime = 2800 * time.Millisecond
	// stopMargin is what remains of the grace time when the process ends.
	stopMargin = 500 * time.Millisecond
	// holders is how many times an answer's lifetime some callers keep it.
	holders = 3
)

// stop waits for a planned stop and carries it out: the daemon leaves the
// address answers, ends what it has taken and stays to refuse callers that
// still hold its address.
func (d *Daemon) stop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	begin := d.Clock()
	d.phase("leaving")
	d.stopping.Store(true)
	if err := d.gossiper.Stop(); err != nil {
		reporter.EventExchangeFailed.Log(work, d.Logger, slog.Any("error", err))
	}
	go d.lease.Release()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	held := holders * time.Duration(d.settings().Lifetime)
	for {
		<-ticker.C
		passed := d.Clock().Sub(begin)
		if passed >= takeTime && !d.rejecting.Swap(true) {
			d.phase("finishing")
		}
		if passed >= time.Duration(d.settings().Grace)-stopMargin || passed >= held && d.server.InFlight() == 0 {
			d.phase("ended")
			return
		}
	}
}

func (d *Daemon) phase(name string) {
	reporter.EventStopPhase.Log(context.Background(), d.Logger, slog.String("phase", name))
}
