package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	limitInterval = time.Second // longest time between two updates of the limits
	grantTimeout  = 100 * time.Millisecond
)

// limits holds the limits that upstreams name. Changes are published by gossip, and the
// daemon that grants the requests to an upstream is asked before each of them. It
// implements relayer.Limits.
type limits struct {
	*limiter.Grants
	retries   *limiter.Grants // of retries beyond the daemons' own budgets, by service
	holds     limiter.Holds
	daemon    *Daemon
	changed   chan struct{}
	published map[string]bool // items that this daemon has published, by upstream
}

func (l *limits) build(d *Daemon) {
	l.daemon, l.changed, l.published = d, make(chan struct{}, 1), map[string]bool{}
	l.retries = &limiter.Grants{Self: d.owner.Key()}
	l.Grants = &limiter.Grants{Self: d.owner.Key(), OnChange: func() {
		select {
		case l.changed <- struct{}{}:
		default: // an update is already pending
		}
	}}
}

// Acquire implements relayer.Limits.
func (l *limits) Acquire(ctx context.Context, upstream string, isResumed bool) (granted bool, wait time.Duration) {
	if wait := l.holds.Left(l.daemon.Clock(), upstream); wait > 0 {
		return false, wait
	}
	kind := limiter.GrantNew
	if isResumed {
		kind = limiter.GrantResume
	}
	permission := l.Request(l.daemon.Clock(), upstream, kind)
	if permission.Granter != "" {
		permission = l.ask(ctx, upstream, permission)
	}
	return permission.Granted, permission.Wait
}

// Hold implements relayer.Limits.
func (l *limits) Hold(now time.Time, upstream string, wait time.Duration) {
	reporter.EventUpstreamHeld.Log(context.Background(), l.daemon.Logger, slog.String("upstream", upstream), slog.Duration("wait", wait))
	l.holds.Hold(now, upstream, wait)
}

// Leaving implements relayer.Limits.
func (l *limits) Leaving(upstream string) {
	if !l.daemon.registrar.MarkLeaving(l.daemon.Clock(), upstream) {
		return
	}
	reporter.EventUpstreamLeaving.Log(context.Background(), l.daemon.Logger, slog.String("upstream", upstream))
	l.daemon.updateInstances(true)
}

// Charge implements relayer.Limits.
func (l *limits) Charge(ctx context.Context, upstream string) {
	permission := l.Request(l.daemon.Clock(), upstream, limiter.GrantForced)
	if permission.Granter != "" {
		go l.ask(ctx, upstream, permission)
	}
}

// ask asks the daemon that grants the requests to an upstream for one of them. It does not
// end with the caller's request, which would look as if that daemon did not reply.
func (l *limits) ask(ctx context.Context, upstream string, permission limiter.Permission) limiter.Permission {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	reply, err := l.sendAsk(ctx, permission)
	now := l.daemon.Clock()
	if err != nil {
		reporter.Count(l.daemon.Metrics, reporter.MetricGrantsFailed)
		reporter.EventGrantFailed.Log(ctx, l.daemon.Logger, slog.String("upstream", upstream), slog.String("granter", permission.Granter), slog.Any("error", err))
		return l.HandleNoReply(now, permission)
	}
	return l.HandleReply(now, permission, reply)
}

func (l *limits) sendAsk(ctx context.Context, permission limiter.Permission) (reply limiter.GrantReply, err error) {
	address, ok := l.daemon.sharing.address(permission.Granter)
	if !ok {
		return reply, errors.New("daemon is not known")
	}
	var data []byte
	if data, err = gossiper.Encode(permission.Ask); err != nil {
		return reply, err
	}
	if data, err = l.daemon.gossiper.SendGrant(ctx, address.String(), data); err != nil {
		return reply, err
	}
	return reply, decoder.CBOR(data, &reply)
}

// address returns the address of a live daemon.
func (s *sharing) address(daemon string) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range s.members {
		if member.Key() == daemon {
			return member.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// handleGrant decides on another daemon's request to an upstream.
func (l *limits) handleGrant(data []byte) ([]byte, error) {
	var request limiter.GrantRequest
	if err := decoder.CBOR(data, &request); err != nil {
		return nil, err
	}
	return gossiper.Encode(l.grantsOf(request.Limit.Upstream).Grant(l.daemon.Clock(), request))
}

// setMembers sets the daemons that may grant requests. One that stops refuses calls of
// others soon.
func (l *limits) setMembers(now time.Time, live []cowslipproxy.Member) {
	var granting []string
	for _, member := range live {
		if !member.Stopping {
			granting = append(granting, member.Key())
		}
	}
	l.SetDaemons(now, granting, len(live))
	l.retries.SetDaemons(now, granting, len(live))
}

// exchange publishes limits, and withdraws those that are forgotten.
func (l *limits) exchange(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		case <-ticker.C:
		}
		for _, change := range l.TakeChanges(l.daemon.Clock()) {
			l.handleChange(ctx, change)
		}
		for upstream := range l.published {
			if l.Knows(upstream) {
				continue
			}
			delete(l.published, upstream)
			if err := l.daemon.gossiper.Withdraw(gossiper.KindLimit, upstream, gossiper.ReachAll); err != nil {
				reporter.EventExchangeFailed.Log(ctx, l.daemon.Logger, slog.Any("error", err))
			}
		}
	}
}

// handleChange logs a limit that changed, and publishes it if this daemon must.
func (l *limits) handleChange(ctx context.Context, change limiter.LimitChange) {
	if change.Limit != change.Before {
		reporter.EventUpstreamLimitChanged.Log(ctx, l.daemon.Logger, slog.String("upstream", change.Upstream), slog.Uint64("version", change.Version),
			slog.Float64("rate", change.Rate), slog.Bool("lifted", change.Lifted), slog.Float64("before", change.Before.Rate), slog.Bool("published", change.Publish))
	}
	if !change.Publish {
		return
	}
	data, err := gossiper.Encode(change.Limit)
	if err == nil {
		err = l.daemon.gossiper.PublishLimit(change.Upstream, data)
	}
	if err != nil {
		reporter.EventExchangeFailed.Log(ctx, l.daemon.Logger, slog.Any("error", err))
		return
	}
	l.published[change.Upstream] = true
}
