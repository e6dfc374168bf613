package router

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// refreshGauges updates the metrics that are derived from the daemon's state.
func (r *Router) refreshGauges() {
	r.gaugesMu.Lock()
	defer r.gaugesMu.Unlock()
	now := r.Clock()
	r.setGauge(reporter.MetricInflight, r.caller.InFlight())
	r.refreshQueues(now)
	r.refreshMembers()
	r.refreshClaims()
	configuration, ready := r.follower.Current()
	r.setGauge(reporter.MetricOffset, int64(configuration.Offset))
	r.setGauge(reporter.MetricReady, boolToInt(ready))
	reporter.SetAge(r.Metrics, reporter.MetricLogAge, now, r.follower.LastRead())
	reporter.SetAge(r.Metrics, reporter.MetricListAge, now, r.lister.Last().Taken)
	ejected := int64(0)
	for _, state := range r.pool.Dump().Ejector {
		ejected += boolToInt(state.Ejected)
	}
	r.setGauge(reporter.MetricEjected, ejected)
	states := map[quarantiner.State]int64{}
	for _, suspect := range r.suspects(now) {
		states[suspect.State]++
	}
	r.setGauge(reporter.MetricSuspects, states[quarantiner.StateSuspect])
	r.setGauge(reporter.MetricQuarantined, states[quarantiner.StateQuarantined])
}

func (r *Router) setGauge(name string, value int64) { reporter.SetGauge(r.Metrics, name, value) }

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (r *Router) refreshQueues(now time.Time) {
	for scope, gate := range r.admission.allGates() {
		model := strings.TrimPrefix(scope, cowslipproxy.ScopeModel)
		state := gate.Limiter.Queue.State(now)
		r.setGauge(reporter.Labelled(reporter.MetricUnitsInFlight, "model", model), int64(state.InFlight))
		r.setGauge(reporter.Labelled(reporter.MetricUnitLimit, "model", model), int64(state.Units))
		for class, queue := range state.Classes {
			r.setGauge(reporter.Labelled(reporter.MetricQueue, "model", model, "class", string(class)), int64(queue.Waiting))
		}
	}
}

func (r *Router) refreshMembers() {
	up, down := int64(0), int64(0)
	for _, member := range r.gossiper.Members() {
		if member.Down {
			down++
		} else {
			up++
		}
	}
	r.setGauge(reporter.MetricMembers, up)
	r.setGauge(reporter.MetricMembersDown, down)
}

func (r *Router) refreshClaims() {
	claims, appends := r.claimer.Counts(), r.committer.Counts()
	r.setGauge(reporter.MetricKeys, int64(claims.Keys))
	r.raiseCounter(reporter.MetricClaims, claims.Dispatched)
	r.raiseCounter(reporter.MetricClaimsRefused, claims.Refused)
	r.raiseCounter(reporter.MetricAppends, appends.Appends)
	r.raiseCounter(reporter.MetricAppendFailures, appends.Failures)
}

// raiseCounter raises a counter to a count that another component maintains.
func (r *Router) raiseCounter(name string, count uint64) {
	counter := metrics.GetOrRegisterCounter(name, r.Metrics)
	counter.Inc(int64(count) - counter.Count())
}
