package chooser

import (
	"fmt"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// retryUnusable is the Retry-After if upstreams exist but none is usable.
	// Probes return ejected upstreams to service within about a second.
	retryUnusable = time.Second
	// retryNotHeld is the Retry-After if no upstream holds the layers, so that
	// a control order must load them first.
	retryNotHeld = 5 * time.Second
)

// missingLayers returns a failure that names the layers without a usable upstream.
func (c *Chooser) missingLayers(g *group, need *cowslipproxy.Requirements) error {
	model := need.Model + " " + need.Version
	if need.Adapter != "" {
		model += " with adapter " + need.Adapter
	}
	if g == nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: no upstream holds layers %v", model, need.Range).After(retryNotHeld)
	}
	wait := retryNotHeld
	gaps := uncovered(g, need.Range, func(i int) bool { return c.edges[i].best != nil })
	if len(uncovered(g, need.Range, func(int) bool { return true })) < len(gaps) {
		wait = retryUnusable
	}
	if len(gaps) == 0 {
		return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: the layer ranges of the usable upstreams do not tile layers %v", model, need.Range).After(wait)
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "%s: no usable upstream for layers %s", model, strings.Join(gaps, " ")).After(wait)
}

// uncovered returns the parts of the layer range that no selected pool covers.
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
