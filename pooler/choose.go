package pooler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/runner"
)

// maxChoices bounds how often a choice is repeated because another request
// took the probe of an ejected upstream first.
const maxChoices = 4

// Chain implements cowslipproxy.ChainChooser.
func (p *Pool) Chain(now time.Time, need cowslipproxy.Need) ([]cowslipproxy.Stage, error) {
	if !need.Suspect {
		return p.choose(now, need, false)
	}
	need.Avoid = append(need.Avoid[:len(need.Avoid):len(need.Avoid)], p.suspects.others(need.Request)...)
	alone := need
	alone.Avoid = append(need.Avoid[:len(need.Avoid):len(need.Avoid)], p.suspects.foreign(p.Name, p.engineNames())...)
	if stages, err := p.choose(now, alone, true); err == nil {
		return stages, nil
	}
	// No upstream for these layers is left to this daemon's suspects. A crash
	// then counts as one that another request may explain.
	return p.choose(now, need, false)
}

func (p *Pool) engineNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.engines))
	for name := range p.engines {
		names = append(names, name)
	}
	return names
}

func (p *Pool) choose(now time.Time, need cowslipproxy.Need, alone bool) ([]cowslipproxy.Stage, error) {
	var chain chooser.Chain
	var err error
	for range maxChoices {
		if chain, err = p.chooser.Chain(now, need); err != nil {
			return nil, err
		}
		taken := p.claim(chain, now)
		if taken == "" {
			p.sent(chain, now)
			if alone {
				p.suspects.hold(need.Request, chain.Stages)
			}
			return chain.Stages, nil
		}
		need.Avoid = append(need.Avoid[:len(need.Avoid):len(need.Avoid)], taken)
	}
	return nil, cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "all engines for the layers %v are being probed", need.Range).After(time.Second)
}

// Explain says how a chain would be chosen now.
func (p *Pool) Explain(now time.Time, need cowslipproxy.Need) chooser.Explanation {
	return p.chooser.Explain(now, need)
}

// claim takes the stages' upstreams for a request and returns the first one
// that is ejected and not to be probed by it.
func (p *Pool) claim(chain chooser.Chain, now time.Time) string {
	for _, stage := range chain.Stages {
		if !p.ejector.Begin(stage.Upstream, now) {
			return stage.Upstream
		}
	}
	return ""
}

// sent notes that new work goes to a chain.
func (p *Pool) sent(chain chooser.Chain, now time.Time) {
	p.joinMu.Lock()
	defer p.joinMu.Unlock()
	for _, stage := range chain.Stages {
		p.joiner.Sent(stage.Upstream, now)
	}
}

// Begin implements cowslipproxy.ChainChooser.
func (p *Pool) Begin(upstream, _ string) { p.chooser.Begin(upstream) }

// End implements cowslipproxy.ChainChooser.
func (p *Pool) End(upstream, request string) {
	p.chooser.End(upstream)
	p.suspects.release(upstream, request)
}

// Clear implements cowslipproxy.ChainChooser.
func (p *Pool) Clear(request string) { p.suspects.clear(request) }

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
			Cached: end.Reply.Cached, Spent: end.Reply.Spent, Elapsed: end.Took,
		})
		p.changes(ctx, p.ejector.Success(upstream, now, step.Kind, end.Took))
	case errors.Is(end.Err, context.Canceled), errors.Is(end.Err, cowslipproxy.ErrNotStarted), errors.Is(end.Err, runner.ErrDown):
		// The caller went away, nothing was run, or the broken connection was counted already.
	default:
		p.changes(ctx, p.ejector.Failure(upstream, now))
	}
}
