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

// maxHolds bounds the same for a suspect, which other suspects may keep off
// most of the upstreams.
const maxHolds = 16

// Chain implements cowslipproxy.ChainChooser.
func (p *Pool) Chain(now time.Time, need cowslipproxy.Need) ([]cowslipproxy.Stage, error) {
	var chain chooser.Chain
	var err error
	tries := maxChoices
	if need.Suspect {
		tries = maxHolds
	}
	for range tries {
		if chain, err = p.chooser.Chain(now, need); err != nil {
			return nil, err
		}
		taken := p.claim(chain, now)
		if taken == "" && need.Suspect {
			taken = p.acquire(now, need.Request, chain.Stages)
		}
		if taken == "" {
			p.sent(chain, now)
			return chain.Stages, nil
		}
		need.Avoid = append(need.Avoid[:len(need.Avoid):len(need.Avoid)], taken)
	}
	return nil, cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "all engines for the layers %v are being probed or held", need.Range).After(time.Second)
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
			Cached: end.Reply.Cached, Spent: end.Reply.Spent, Elapsed: end.Took,
		})
		p.changes(ctx, p.ejector.Success(upstream, now, step.Kind, end.Took))
	case errors.Is(end.Err, context.Canceled), errors.Is(end.Err, cowslipproxy.ErrNotStarted), errors.Is(end.Err, runner.ErrDisconnected):
		// The caller went away, nothing was run, or the broken connection was counted already.
	default:
		p.changes(ctx, p.ejector.Failure(upstream, now))
	}
}
