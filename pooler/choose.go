package pooler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/runner"
)

// maxAttempts is the maximum number of times that a chain or a server is chosen for a
// request. A choice is discarded if an upstream in it is ejected and another request
// became its probe first.
const maxAttempts = 4

// maxSuspectAttempts replaces maxAttempts for a suspect. It is larger, since other
// suspects may hold most of the upstreams.
const maxSuspectAttempts = 16

// Chain implements cowslipproxy.ChainChooser.
func (p *Pool) Chain(now time.Time, need cowslipproxy.Requirements) ([]cowslipproxy.Stage, error) {
	var chain chooser.Chain
	var err error
	attempts := maxAttempts
	if need.Suspect {
		attempts = maxSuspectAttempts
	}
	held := false // an upstream was avoided because another suspect holds it
	for range attempts {
		if chain, err = p.chooser.Chain(now, need); err != nil && !held {
			return nil, err
		}
		if err != nil {
			break
		}
		unavailable := p.beginProbes(chain, now)
		if unavailable == "" && need.Suspect {
			unavailable = p.acquireHolds(now, need.Request, chain.Stages)
			held = held || unavailable != ""
		}
		if unavailable == "" {
			p.recordDispatch(chain, now)
			return chain.Stages, nil
		}
		need.Avoid = append(need.Avoid[:len(need.Avoid):len(need.Avoid)], unavailable)
	}
	failure := cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "layers %v: each chain that was chosen has an engine that is being probed or is held by another suspect", need.Range).After(time.Second)
	if held {
		failure.Cause = cowslipproxy.ErrHeld
	}
	return nil, failure
}

// Explain returns how a chain would be chosen now.
func (p *Pool) Explain(now time.Time, need cowslipproxy.Requirements) chooser.Explanation {
	return p.chooser.Explain(now, need)
}

// beginProbes makes the request the probe of each ejected upstream of a chain. It
// returns the first upstream that is ejected and whose probe isn't due, or an empty name.
func (p *Pool) beginProbes(chain chooser.Chain, now time.Time) string {
	for _, stage := range chain.Stages {
		if !p.ejector.Begin(stage.Upstream, now) {
			return stage.Upstream
		}
	}
	return ""
}

// recordDispatch records that new work was sent to the upstreams of a chain, to detect
// work that is sent to leaving upstreams.
func (p *Pool) recordDispatch(chain chooser.Chain, now time.Time) {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	for _, stage := range chain.Stages {
		p.joiner.RecordDispatch(stage.Upstream, now)
	}
}

// Begin implements cowslipproxy.ChainChooser.
func (p *Pool) Begin(upstream, _ string) { p.chooser.Begin(upstream) }

// End implements cowslipproxy.ChainChooser.
func (p *Pool) End(upstream, request string) {
	p.chooser.End(upstream)
	p.releaseHold(upstream, request)
}

// Timeout implements cowslipproxy.StepObserver.
func (p *Pool) Timeout(_ time.Time, stage cowslipproxy.Stage, step cowslipproxy.Step, _ int) time.Duration {
	expected := stage.Decode
	if step.Kind == cowslipproxy.StepPrefill {
		expected = stage.Prefill
	}
	return p.ejector.Timeout(stage.Upstream, step.Kind, expected)
}

// Began implements cowslipproxy.StepObserver.
func (p *Pool) Began(time.Time, string, cowslipproxy.Step, int) {}

// Ended implements cowslipproxy.StepObserver.
func (p *Pool) Ended(now time.Time, upstream string, step cowslipproxy.Step, end cowslipproxy.StepEnd) {
	ctx := context.Background()
	switch {
	case end.Err == nil:
		p.chooser.Observe(now, upstream, chooser.Sample{
			Kind: step.Kind, Layers: step.Range.Len(), Tokens: end.Tokens,
			Cached: end.Reply.Cached, ComputeTime: end.Reply.ComputeTime, Elapsed: end.Duration,
		})
		p.reportChanges(ctx, p.ejector.RecordSuccess(upstream, now, step.Kind, end.Duration))
	case errors.Is(end.Err, context.Canceled), errors.Is(end.Err, cowslipproxy.ErrNotStarted), errors.Is(end.Err, runner.ErrDisconnected):
		// The caller disconnected, nothing was run, or the broken connection has been
		// counted already.
	default:
		p.reportChanges(ctx, p.ejector.RecordFailure(upstream, now))
	}
}
