package chooser

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// Verdict is the result of the decision for one candidate.
type Verdict string

// Verdicts on candidates.
const (
	VerdictChosen      Verdict = "chosen"
	VerdictCostlier    Verdict = "dearer"   // usable, but another candidate or path costs less or was drawn instead
	VerdictNotInSubset Verdict = "outside"  // not in this daemon's subset
	VerdictAvoided     Verdict = "avoided"  // the request asks to avoid it
	VerdictUnusable    Verdict = "unusable" // ejected
	VerdictLeaving     Verdict = "leaving"  // accepts no new requests
	VerdictOutOfRange  Verdict = "misfit"   // its layer range extends beyond the requested one
)

// Candidate is an upstream that holds some layers of the model, with its expected costs.
type Candidate struct {
	Name     string                  `json:"name"`
	VM       string                  `json:"vm"`
	Centre   string                  `json:"centre"`
	Range    cowslipproxy.LayerRange `json:"range"`
	Verdict  Verdict                 `json:"verdict"`
	Cost     time.Duration           `json:"cost"` // expected time that it adds to the complete response
	Prefill  time.Duration           `json:"prefill"`
	Decode   time.Duration           `json:"decode"` // computation of one step
	Link     time.Duration           `json:"link"`   // round trip
	Wait     time.Duration           `json:"wait"`   // queueing time of one step
	Load     float64                 `json:"load"`   // estimated number of steps at the upstream
	InFlight int                     `json:"own"`    // this daemon's requests in flight at the upstream
	Age      time.Duration           `json:"age"`    // age of its newest report
	Cached   int                     `json:"cached"` // prompt tokens in its cache
}

// Explanation is a decision with all its candidates.
type Explanation struct {
	Requirements cowslipproxy.Requirements `json:"need"`
	Chain        *Chain                    `json:"chain,omitempty"`
	Failure      string                    `json:"failure,omitempty"`
	Candidates   []Candidate               `json:"candidates"` // sorted by layer range, then by name
}

// Explain makes the same decision as Chain and returns all engines that hold
// layers of the model with their costs. Its duration grows with their number.
func (c *Chooser) Explain(now time.Time, need cowslipproxy.Requirements) Explanation {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.newQuery(now, need)
	key := groupKey{need.Model, need.Version, need.Adapter}
	g := c.groups[key]
	explanation := Explanation{Requirements: need, Candidates: []Candidate{}}
	if err := c.decide(g, q); err != nil {
		explanation.Failure = failureText(err)
	} else {
		chain := c.buildChain(g, q)
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

// failureText formats a failure without its outcome, since Explain refuses no request.
func failureText(err error) string {
	var failure *cowslipproxy.Failure
	if errors.As(err, &failure) {
		return string(failure.Reason) + ": " + failure.Message
	}
	return err.Error()
}

func (c *Chooser) candidate(u *upstream, q *query) Candidate {
	cached := c.cachedTokens(u, &q.need)
	times := c.stepTimes(u, q, cached)
	return Candidate{
		Name: u.Name, VM: u.VM, Centre: u.Centre, Range: u.report.Range,
		Cost:     time.Duration(c.cost(u, q, cached)),
		Prefill:  time.Duration(times.prefill),
		Decode:   time.Duration(times.decode),
		Link:     time.Duration(times.link),
		Wait:     time.Duration(times.wait),
		Load:     c.load(u, q.at),
		InFlight: u.inFlight,
		Age:      q.at - u.reportAt,
		Cached:   cached,
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
		return VerdictOutOfRange
	case avoids(&q.need, u):
		return VerdictAvoided
	case !c.usable(u.Name, q.now):
		return VerdictUnusable
	case !g.inSubset(u):
		return VerdictNotInSubset
	}
	return VerdictCostlier
}

// inSubset reports whether the engine is in this daemon's subset.
func (g *group) inSubset(u *upstream) bool {
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
