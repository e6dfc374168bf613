package router

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// refreshGauges sets the metrics that show the daemon's state.
func (r *Router) refreshGauges() {
	r.gaugesMu.Lock()
	defer r.gaugesMu.Unlock()
	now := r.Clock()
	r.set(reporter.MetricInflight, r.caller.InFlight())
	r.refreshQueues(now)
	r.refreshMembers()
	r.refreshClaims()
	settled, ready := r.follower.Current()
	r.set(reporter.MetricOffset, int64(settled.Offset))
	r.set(reporter.MetricReady, number(ready))
	reporter.SetAge(r.Metrics, reporter.MetricLogAge, now, r.follower.LastRead())
	reporter.SetAge(r.Metrics, reporter.MetricListAge, now, r.lister.Last().Taken)
	ejected := int64(0)
	for _, state := range r.pool.Dump().Ejector {
		ejected += number(state.Ejected)
	}
	r.set(reporter.MetricEjected, ejected)
	states := map[quarantiner.State]int64{}
	for _, suspect := range r.suspects(now) {
		states[suspect.State]++
	}
	r.set(reporter.MetricSuspects, states[quarantiner.StateSuspect])
	r.set(reporter.MetricQuarantined, states[quarantiner.StateQuarantined])
}

func (r *Router) set(name string, value int64) { reporter.SetGauge(r.Metrics, name, value) }

func number(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

func (r *Router) refreshQueues(now time.Time) {
	for kind, gate := range r.admission.all() {
		model := strings.TrimPrefix(kind, cowslipproxy.ScopeModel)
		state := gate.Limiter.Queue.State(now)
		r.set(reporter.Labelled(reporter.MetricFlight, "model", model), int64(state.InFlight))
		r.set(reporter.Labelled(reporter.MetricUnits, "model", model), int64(state.Units))
		for class, line := range state.Classes {
			r.set(reporter.Labelled(reporter.MetricQueue, "model", model, "class", string(class)), int64(line.Waiting))
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
	r.set(reporter.MetricMembers, up)
	r.set(reporter.MetricMembersDown, down)
}

func (r *Router) refreshClaims() {
	claims, appends := r.claimer.Counts(), r.committer.Counts()
	r.set(reporter.MetricKeys, int64(claims.Keys))
	r.raise(reporter.MetricClaims, claims.Dispatched)
	r.raise(reporter.MetricClaimsRefused, claims.Refused)
	r.raise(reporter.MetricAppends, appends.Appends)
	r.raise(reporter.MetricAppendFailures, appends.Failures)
}

// raise brings a counter up to a count that is kept elsewhere.
func (r *Router) raise(name string, count uint64) {
	counter := metrics.GetOrRegisterCounter(name, r.Metrics)
	counter.Inc(int64(count) - counter.Count())
}
