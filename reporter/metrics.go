package reporter

import (
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of metrics. A metric whose name ends in .seconds is stored in nanoseconds,
// since the registry holds integers only, and written in seconds.
const (
	MetricRequests      = "caller.requests"        // requests that ended, by outcome and reason
	MetricInflight      = "caller.inflight"        // requests of callers in progress
	MetricDuration      = "caller.request.seconds" // time from a request's arrival to its end
	MetricTimeToFirst   = "caller.first.seconds"   // time from a request's arrival to the first token
	MetricTokenInterval = "caller.between.seconds" // time between consecutive tokens of an answer

	MetricTokens         = "driver.tokens"          // generated tokens
	MetricStagesReplaced = "driver.stages.replaced" // stages replaced while they ran a request
	MetricStagesRetried  = "driver.stages.retried"  // failed stages that were retried on the same engine, since no other one held their layers
	MetricStepTimeouts   = "driver.steps.timeouts"  // steps without a reply in time
	MetricRepliesDropped = "engine.replies.dropped" // replies that matched no outstanding step
	MetricInvariants     = "invariants.violated"    // violations of an invariant; always 0 in a correct program

	MetricQueue         = "limiter.queue"         // requests waiting for admission, by model and class
	MetricUnitsInFlight = "limiter.flight"        // capacity units that admitted requests occupy, by model
	MetricUnitLimit     = "limiter.units"         // limit on the occupied capacity units, by model
	MetricGrantsFailed  = "limiter.grants.failed" // requests for a grant to send to an upstream with a limit that got no reply

	MetricRetries       = "retrier.retries"   // retries of calls to plain services
	MetricRetriesDenied = "retrier.denied"    // retries denied by the retry budget
	MetricEjections     = "ejector.ejections" // ejections of upstreams
	MetricEjected       = "ejector.ejected"   // upstreams currently ejected

	MetricCrashes            = "quarantiner.crashes"     // upstreams lost with requests in flight
	MetricSuspects           = "quarantiner.suspects"    // fingerprints of current suspects
	MetricQuarantined        = "quarantiner.quarantined" // fingerprints currently quarantined
	MetricQuarantineRefusals = "quarantiner.refusals"    // requests that the relay refused because of a quarantined fingerprint
	MetricTrials             = "quarantiner.trials"      // requests that the relay sent to find out whether quarantined fingerprints are sound
	MetricTrialsDenied       = "quarantiner.denials"     // requests for such a trial that the arbiter denied or did not answer

	MetricClaims         = "claimer.dispatched" // non-idempotent requests that were dispatched
	MetricClaimsRefused  = "claimer.refused"    // non-idempotent requests that were refused
	MetricKeys           = "claimer.keys"       // idempotency keys in memory
	MetricAppends        = "committer.appends"  // attempted appends to the claims streams
	MetricAppendFailures = "committer.failures" // failed appends to the claims streams

	MetricLogAge  = "follower.age.seconds" // time since the configuration stream was last read; -1 before the first read
	MetricOffset  = "follower.offset"      // log offset of the active configuration
	MetricReady   = "follower.ready"       // 1 if the daemon has a configuration, else 0
	MetricListAge = "lister.age.seconds"   // age of the list of VMs; -1 before the first answer

	MetricNotRun         = "relayer.notrun"       // attempts that an upstream provably didn't run
	MetricThrottled      = "relayer.throttled"    // requests refused because too many were waiting for engines
	MetricAtLimit        = "relayer.limited"      // attempts not made because the upstream was at the limit that it named
	MetricStalls         = "relayer.stalls"       // stalls of streams that were traced to engines
	MetricPathsReplaced  = "relayer.mends"        // paths replaced during a stream
	MetricStreamsResumed = "relayer.resumes"      // streams resumed at another engine
	MetricVersion        = "relay.version"        // version of the active configuration
	MetricVersionLag     = "relay.lag.seconds"    // time since another daemon announced a newer configuration than the active one; 0 if there is none
	MetricFetchesFailed  = "relay.fetches.failed" // failed fetches of a configuration from another daemon
	MetricRelayListAge   = "relay.list.seconds"   // age of the list of upstreams
	MetricLiveUpstreams  = "relay.upstreams"      // upstreams that may get new work
	MetricMessageMemory  = "relay.messages.bytes" // memory that bodies of requests and replies use, without small ones
	MetricClients        = "relay.clients"        // open connections of clients: callers, operators and other daemons
	MetricClientMemory   = "relay.clients.bytes"  // estimated memory of request heads and of incomplete messages of other daemons
	MetricClientsClosed  = "relay.clients.closed" // connections of clients closed because of a limit, by address and reason
	MetricReader         = "relay.reader"         // 1 if the daemon reads the store for its data centre, else 0
	MetricLeader         = "relay.leader"         // 1 if the daemon places layers, else 0

	MetricLargestLoad = "balancer.largest.percent" // load of the most loaded upstream of a service, in percent of its memory or slots, as this daemon knows it
	MetricMeanLoad    = "balancer.mean.percent"    // mean load of the upstreams of a service, in the same unit
	MetricBalanced    = "balancer.balanced"        // 1 if the load of a service is high enough for its requests to be balanced by weights, else 0

	MetricMembers     = "gossiper.members" // entry daemons that are up, including this one
	MetricMembersDown = "gossiper.down"    // entry daemons that send no heartbeats
)

// Labelled returns a metric's name with labels, given as alternating names and values.
func Labelled(name string, labels ...string) string {
	var pairs []string
	for pair := range slices.Chunk(labels, 2) {
		pairs = append(pairs, strings.Join(pair, "="))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

const (
	sampleSize = 1028  // 99.9 % confidence with 5 % margin of error, by the documentation of go-metrics
	alpha      = 0.015 // gives more weight to the last five minutes, by the same documentation
)

// DurationHistogram returns the histogram with the given name, which ends in .seconds.
// Durations are recorded in nanoseconds.
func DurationHistogram(registry metrics.Registry, name string) metrics.Histogram {
	create := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, alpha)) }
	return registry.GetOrRegister(name, create).(metrics.Histogram)
}

// Count increments a counter.
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

// SetAge sets a gauge to the time from at to now, or to -1 s if at is zero.
func SetAge(registry metrics.Registry, name string, now, at time.Time) {
	age := -time.Second
	if !at.IsZero() {
		age = now.Sub(at)
	}
	SetGauge(registry, name, int64(age))
}
