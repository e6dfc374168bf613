package pooler

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
)

// Pick implements forwarder.Picker.
func (p *Pool) Pick(now time.Time, name string, tried []string) (string, cowslipproxy.ServiceUpstream, bool) {
	for range maxAttempts {
		var pick chooser.Pick
		var err error
		if pick, err = p.chooser.Service(now, name, tried); err != nil {
			return "", nil, false
		}
		p.mu.Lock()
		s, ok := p.services[pick.Name]
		p.mu.Unlock()
		if !ok || !p.ejector.Begin(pick.Name, now) {
			tried = append(tried[:len(tried):len(tried)], pick.Name)
			continue
		}
		p.joinMu.Lock()
		p.joiner.RecordDispatch(pick.Name, now)
		p.joinMu.Unlock()
		p.chooser.Begin(pick.Name)
		return pick.Name, &s.Server, true
	}
	return "", nil, false
}

// ObserveCall records how a call to a plain service ended.
func (p *Pool) ObserveCall(name string, elapsed time.Duration, err error) {
	now, ctx := p.Clock(), context.Background()
	p.chooser.End(name)
	switch {
	case err == nil:
		p.chooser.Observe(now, name, chooser.Sample{Elapsed: elapsed})
		p.reportChanges(ctx, p.ejector.RecordSuccess(name, now, "", elapsed))
	case errors.Is(err, context.Canceled):
	default:
		p.reportChanges(ctx, p.ejector.RecordFailure(name, now))
	}
}

// probe starts a probe of each server of a plain service, unless one is in progress.
func (p *Pool) probe(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		if s.probing {
			continue
		}
		s.probing = true
		p.group.Go(func() { p.probeService(ctx, s) })
	}
}

// probeService probes a server by connecting to it and records the result.
func (p *Pool) probeService(ctx context.Context, s *service) {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.vm.Address.String())
	if err == nil {
		_ = conn.Close() // no data was sent on it
	}
	p.mu.Lock()
	s.probing = false
	p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.joinMu.Lock()
	p.joiner.RecordProbe(s.vm.Name, err == nil, p.Clock())
	p.joinMu.Unlock()
	p.triggerRefresh()
}
