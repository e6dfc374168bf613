package reporter

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of metrics. A metric whose name ends in .seconds holds nanoseconds in the
// registry and is written in seconds, since the registry takes whole numbers only.
const (
	MetricRequests = "caller.requests"        // requests that ended, by outcome and reason
	MetricInflight = "caller.inflight"        // requests of callers that have not ended
	MetricDuration = "caller.request.seconds" // time from a request's arrival to its end
	MetricFirst    = "caller.first.seconds"   // time from a request's arrival to the first token
	MetricBetween  = "caller.between.seconds" // time between two tokens of an answer

	MetricTokens         = "driver.tokens"          // tokens given to callers
	MetricStagesReplaced = "driver.stages.replaced" // stages replaced while they ran a request
	MetricRepliesDropped = "engine.replies.dropped" // replies that matched no outstanding step
	MetricInvariants     = "invariants.violated"    // violations of an invariant; always 0 in a correct program

	MetricQueue  = "limiter.queue"  // requests that wait for admission, by model and class
	MetricFlight = "limiter.flight" // requests in flight that admission counts, by model
	MetricUnits  = "limiter.units"  // requests that may be in flight, by model

	MetricRetries       = "retrier.retries"   // further attempts of calls to plain services
	MetricRetriesDenied = "retrier.denied"    // further attempts that the retry budget denied
	MetricEjections     = "ejector.ejections" // ejections of upstreams
	MetricEjected       = "ejector.ejected"   // upstreams that are ejected now

	MetricCrashes     = "quarantiner.crashes"     // upstreams lost with requests in flight
	MetricSuspects    = "quarantiner.suspects"    // fingerprints that run alone now
	MetricQuarantined = "quarantiner.quarantined" // fingerprints that are quarantined now

	MetricClaims         = "claimer.dispatched" // non-idempotent requests that were dispatched
	MetricClaimsRefused  = "claimer.refused"    // non-idempotent requests that were refused
	MetricKeys           = "claimer.keys"       // remembered keys
	MetricAppends        = "committer.appends"  // appends to the claims streams that were tried
	MetricAppendFailures = "committer.failures" // appends to the claims streams that failed

	MetricLogAge  = "follower.age.seconds" // time since the configuration stream was last read; -1 before the first read
	MetricOffset  = "follower.offset"      // log offset of the configuration in force
	MetricReady   = "follower.ready"       // 1 if the daemon has a configuration, else 0
	MetricListAge = "lister.age.seconds"   // age of the list of VMs; -1 before the first answer

	MetricNotRun    = "relayer.notrun"     // tries that an upstream provably didn't run
	MetricThrottled = "relayer.throttled"  // requests that were refused since too many waited for engines
	MetricStalls    = "relayer.stalls"     // streams that waited for an engine
	MetricMends     = "relayer.mends"      // paths that were changed under a stream
	MetricResumes   = "relayer.resumes"    // streams that went on at another engine
	MetricVersion   = "relay.version"      // version of the configuration in force
	MetricAge       = "relay.list.seconds" // age of the list of upstreams
	MetricLive      = "relay.upstreams"    // upstreams that may get new work
	MetricReader    = "relay.reader"       // 1 if the daemon reads the store for its data centre, else 0
	MetricLeader    = "relay.leader"       // 1 if the daemon places layers, else 0

	MetricMembers     = "gossiper.members" // entry daemons that answer, this one included
	MetricMembersDown = "gossiper.down"    // entry daemons that give no heartbeats
)

// Labelled returns a metric's name with labels, given as names and values in turn.
func Labelled(name string, labels ...string) string {
	var pairs []string
	for pair := range slices.Chunk(labels, 2) {
		pairs = append(pairs, strings.Join(pair, "="))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

const (
	reservoir = 1028  // samples, for a 99.9 % confidence of 5 % error by the documentation of go-metrics
	decay     = 0.015 // weighs the last five minutes, as above
)

// Times returns the histogram of times under a name that ends in .seconds.
func Times(registry metrics.Registry, name string) metrics.Histogram {
	create := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay)) }
	return registry.GetOrRegister(name, create).(metrics.Histogram)
}

// Count adds one to a counter.
func Count(registry metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

// SetGauge sets a gauge.
func SetGauge(registry metrics.Registry, name string, value int64) {
	metrics.GetOrRegisterGauge(name, registry).Update(value)
}

// SetFlag sets a gauge to 1 or 0.
func SetFlag(registry metrics.Registry, name string, value bool) {
	if value {
		SetGauge(registry, name, 1)
		return
	}
	SetGauge(registry, name, 0)
}

// SetAge sets a gauge to the time since an event, or to -1 s if it never happened.
func SetAge(registry metrics.Registry, name string, now, at time.Time) {
	age := -time.Second
	if !at.IsZero() {
		age = now.Sub(at)
	}
	SetGauge(registry, name, int64(age))
}
