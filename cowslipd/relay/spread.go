package relay

import (
	"maps"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// setSpreadGauges sets the gauges of the load of each service's upstreams.
func (p *pools) setSpreadGauges(now time.Time, registry metrics.Registry) {
	for service, spread := range p.spreads(now) {
		reporter.SetGauge(registry, reporter.Labelled(reporter.MetricLargestLoad, "service", service), percent(spread.Largest))
		reporter.SetGauge(registry, reporter.Labelled(reporter.MetricMeanLoad, "service", service), percent(spread.Mean))
		reporter.SetFlag(registry, reporter.Labelled(reporter.MetricBalanced, "service", service), spread.IsBalanced)
	}
}

func percent(fraction float64) int64 { return int64(math.Round(fraction * 100)) }

// spreads returns the spread of each service. Split services have both a finder and a picker.
func (p *pools) spreads(now time.Time) map[string]cowslipproxy.Spread {
	p.mu.Lock()
	pickers, finders := maps.Clone(p.pickers), maps.Clone(p.finders)
	p.mu.Unlock()
	spreads := map[string]cowslipproxy.Spread{}
	for service, servers := range pickers {
		spreads[service] = servers.Spread(now)
	}
	for service, finder := range finders {
		spreads[service] = finder.Spread()
	}
	return spreads
}
