package chooser

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Verdict says what became of a candidate.
type Verdict string

// Verdicts on candidates.
const (
	VerdictChosen   Verdict = "chosen"
	VerdictDearer   Verdict = "dearer"   // usable, but another candidate or path costs less or was drawn
	VerdictOutside  Verdict = "outside"  // not in this daemon's subset
	VerdictAvoided  Verdict = "avoided"  // the need names it
	VerdictUnusable Verdict = "unusable" // ejected
	VerdictLeaving  Verdict = "leaving"  // takes no new work
	VerdictMisfit   Verdict = "misfit"   // its range reaches out of the needed one
)

// Candidate is an upstream that holds a part of the model, with its costs.
type Candidate struct {
	Name    string                  `json:"name"`
	VM      string                  `json:"vm"`
	Centre  string                  `json:"centre"`
	Range   cowslipproxy.LayerRange `json:"range"`
	Verdict Verdict                 `json:"verdict"`
	Cost    time.Duration           `json:"cost"` // expected part of the whole answer's time
	Prefill time.Duration           `json:"prefill"`
	Decode  time.Duration           `json:"decode"` // one step
	Link    time.Duration           `json:"link"`   // round trip
	Wait    time.Duration           `json:"wait"`   // queueing of one step
	Load    float64                 `json:"load"`   // steps that it is taken to have
	Own     int                     `json:"own"`    // this daemon's requests in flight there
	Age     time.Duration           `json:"age"`    // of its newest report
	Cached  int                     `json:"cached"` // tokens of the prompt in its cache
}

// Explanation is a decision with the candidates that it considered.
type Explanation struct {
	Need       cowslipproxy.Need `json:"need"`
	Chain      *Chain            `json:"chain,omitempty"`
	Failure    string            `json:"failure,omitempty"`
	Candidates []Candidate       `json:"candidates"` // by range, then by name
}

// Explain makes the decision of Chain and returns all holders of the model with
// their costs. Its time grows with their number.
func (c *Chooser) Explain(now time.Time, need cowslipproxy.Need) Explanation {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.ask(now, need)
	key := groupKey{need.Model, need.Version, need.Adapter}
	g := c.groups[key]
	explanation := Explanation{Need: need, Candidates: []Candidate{}}
	if err := c.decide(g, q); err != nil {
		explanation.Failure = failureText(err)
	} else {
		chain := c.build(g, q)
		explanation.Chain = &chain
	}
	for _, u := range c.upstreams {
		if u.Service != "" || !u.reported || u.report.Role == cowslipproxy.RoleSpare || !u.holds(key) {
			continue
		}
		candidate := c.candidate(u, q)
		candidate.Verdict = c.verdict(g, u, q, explanation.Chain)
		explanation.Candidates = append(explanation.Candidates, candidate)
	}
	sortCandidates(explanation.Candidates)
	return explanation
}

// failureText leaves out the outcome, since no request is refused here.
func failureText(err error) string {
	var failure *cowslipproxy.Failure
	if errors.As(err, &failure) {
		return string(failure.Reason) + ": " + failure.Message
	}
	return err.Error()
}

func (c *Chooser) candidate(u *upstream, q *query) Candidate {
	cached := c.cachedTokens(u, &q.need)
	p := c.price(u, q, cached)
	return Candidate{
		Name: u.Name, VM: u.VM, Centre: u.Centre, Range: u.report.Range,
		Cost:    time.Duration(c.cost(u, q, cached)),
		Prefill: time.Duration(p.prefill),
		Decode:  time.Duration(p.decode),
		Link:    time.Duration(p.link),
		Wait:    time.Duration(p.wait),
		Load:    c.load(u, q.at),
		Own:     u.own,
		Age:     q.at - u.reportAt,
		Cached:  cached,
	}
}

func (c *Chooser) verdict(g *group, u *upstream, q *query, chain *Chain) Verdict {
	if chain != nil && chain.has(u.Name) {
		return VerdictChosen
	}
	layers := u.report.Range
	switch {
	case !u.serving():
		return VerdictLeaving
	case layers.First < q.need.Range.First || layers.End > q.need.Range.End:
		return VerdictMisfit
	case avoids(&q.need, u):
		return VerdictAvoided
	case !c.usable(u.Name, q.now):
		return VerdictUnusable
	case !g.selects(u):
		return VerdictOutside
	}
	return VerdictDearer
}

// selects reports whether the engine is in this daemon's subset.
func (g *group) selects(u *upstream) bool {
	i, ok := g.index[u.report.Range]
	return ok && slices.Contains(g.pools[i].subset, u)
}

func sortCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Range.First, b.Range.First), cmp.Compare(a.Range.End, b.Range.End), cmp.Compare(a.Name, b.Name))
	})
}

func (c *Chain) has(name string) bool {
	for _, stage := range c.Stages {
		if stage.Upstream == name {
			return true
		}
	}
	return false
}
