package relay

import (
	"context"
	"log/slog"
	"strings"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// retryGrantPrefix begins the names under which the retries of services are granted. No
// incarnation of an upstream begins with it.
const retryGrantPrefix = "retries of "

// setRetryRates sets how many retries of requests for each service daemons share, so that they
// are available when the first of them is needed.
func (l *limits) setRetryRates(services []cowslipproxy.RelayService) {
	now, rate := l.daemon.Clock(), l.daemon.pools.sharedRetryRate()
	for _, service := range services {
		l.retries.Named(now, now, retryGrantPrefix+service.Name, rate)
	}
}

// Retry implements relayer.Limits. One daemon for each service grants the retries that no
// daemon's own budget allows: in a large fleet, the part of each daemon is a few retries, and
// the requests that a fault breaks are not spread evenly.
func (l *limits) Retry(ctx context.Context, service string, isResumed bool) bool {
	name, now := retryGrantPrefix+service, l.daemon.Clock()
	rate := l.daemon.pools.sharedRetryRate()
	if rate <= 0 {
		return false
	}
	l.retries.Named(now, now, name, rate)
	kind := limiter.GrantNew
	if isResumed {
		kind = limiter.GrantResume
	}
	permission := l.retries.Request(now, name, kind)
	if permission.Granter == "" {
		return permission.Granted
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	reply, err := l.sendAsk(ctx, permission)
	if err != nil {
		reporter.Count(l.daemon.Metrics, reporter.MetricGrantsFailed)
		reporter.EventGrantFailed.Log(ctx, l.daemon.Logger, slog.String("upstream", name), slog.String("granter", permission.Granter), slog.Any("error", err))
		return l.retries.HandleNoReply(l.daemon.Clock(), permission).Granted
	}
	return l.retries.HandleReply(l.daemon.Clock(), permission, reply).Granted
}

// grantsOf returns the grants that a name belongs to.
func (l *limits) grantsOf(name string) *limiter.Grants {
	if strings.HasPrefix(name, retryGrantPrefix) {
		return l.retries
	}
	return l.Grants
}
