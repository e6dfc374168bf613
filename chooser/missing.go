package chooser

import (
	"fmt"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// retryHeld is when a retry can help if upstreams exist and none is
	// usable: probes return them within about a second.
	retryHeld = time.Second
	// retryNone is when a retry can help if a control order must first load
	// the missing layers.
	retryNone = 5 * time.Second
)

// missing tells which layers no usable upstream covers.
func (c *Chooser) missing(g *group, need *cowslipproxy.Need) error {
	what := need.Model + " " + need.Version
	if need.Adapter != "" {
		what += " with adapter " + need.Adapter
	}
	if g == nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: no upstream holds layers %v", what, need.Range).After(retryNone)
	}
	wait := retryNone
	gaps := uncovered(g, need.Range, func(i int) bool { return c.edges[i].best != nil })
	if len(uncovered(g, need.Range, func(int) bool { return true })) < len(gaps) {
		wait = retryHeld
	}
	if len(gaps) == 0 {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: the ranges of the usable upstreams don't tile layers %v", what, need.Range).After(wait)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: no usable upstream for layers %s", what, strings.Join(gaps, " ")).After(wait)
}

// uncovered returns the parts of the range that none of the selected pools covers.
func uncovered(g *group, layers cowslipproxy.LayerRange, selected func(i int) bool) []string {
	var gaps []string
	next := layers.First
	for i, p := range g.pools {
		if !selected(i) || p.layers.First < layers.First || p.layers.End > layers.End {
			continue
		}
		if p.layers.First > next {
			gaps = append(gaps, fmt.Sprint(cowslipproxy.LayerRange{First: next, End: p.layers.First}))
		}
		next = max(next, p.layers.End)
	}
	if next < layers.End {
		gaps = append(gaps, fmt.Sprint(cowslipproxy.LayerRange{First: next, End: layers.End}))
	}
	return gaps
}
