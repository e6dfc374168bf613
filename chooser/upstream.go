package chooser

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

type upstream struct {
	// A decision computes the costs of dozens of upstreams, for which it reads
	// mainly these three fields. They fit into one cache line.
	currentEstimates estimates // recomputed once older than maxEstimateAge
	inFlight         int       // this daemon's requests in flight
	inFlightAtReport int       // inFlight when the newest report was received

	Upstream
	rank        uint64 // rendezvous hash of the daemon name and the upstream name
	leaving     bool
	report      cowslipproxy.Report
	reportAt    time.Duration
	reported    bool
	prefill     average
	decode      average
	link        average
	call        average
	callTime    float64 // estimated duration of a call to a plain service
	cache       prefixSet
	hitDecision uint64 // last decision in which the upstream cached a prefix of the prompt
	hitBlocks   int    // length of that prefix in blocks
}

// Add adds an upstream, or updates a known one and keeps its measurements.
func (c *Chooser) Add(now time.Time, added Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sinceEpoch(now)
	u := c.upstreams[added.Name]
	if u == nil {
		u = &upstream{rank: xxhash.Sum64String(c.Name + "\x00" + added.Name)}
		c.upstreams[added.Name] = u
	}
	c.removeFromPools(u)
	u.Upstream = added
	u.currentEstimates.at = neverComputed
	c.addToPools(u)
}

// Remove removes an upstream and its measurements.
func (c *Chooser) Remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil {
		return
	}
	c.removeFromPools(u)
	c.clearCache(u)
	delete(c.upstreams, name)
}

// SetLeaving sets whether the instance list or an operator marks an upstream as
// leaving. A leaving upstream gets no new requests.
func (c *Chooser) SetLeaving(name string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil || u.leaving == leaving {
		return
	}
	c.removeFromPools(u)
	u.leaving = leaving
	c.addToPools(u)
}

// Report records an engine's load report.
func (c *Chooser) Report(now time.Time, name string, report cowslipproxy.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sinceEpoch(now)
	u := c.upstreams[name]
	if u == nil {
		return
	}
	same := u.reported && samePools(u.report, report)
	if !same {
		c.removeFromPools(u)
	}
	u.report, u.reported, u.reportAt, u.inFlightAtReport = report, true, at, u.inFlight
	c.refresh(u, at)
	if !same {
		c.addToPools(u)
	}
}

// samePools reports whether an engine with either report belongs to the same pools.
func samePools(a, b cowslipproxy.Report) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Range == b.Range && a.Role == b.Role &&
		a.Leaving == b.Leaving && slices.Equal(a.Adapters, b.Adapters)
}

// Begin counts a request as in flight at the upstream.
func (c *Chooser) Begin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[name]; u != nil {
		u.inFlight++
	}
}

// End removes a request from those in flight at the upstream.
func (c *Chooser) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[name]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
}

// ObserveLink records a round-trip time that includes no computation.
func (c *Chooser) ObserveLink(now time.Time, name string, trip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sinceEpoch(now)
	if u := c.upstreams[name]; u != nil {
		u.link.add(at, float64(trip))
		c.refresh(u, at)
	}
}

// Observe records the measurements of a step or of a service call. A step that
// timed out is recorded with the time waited as Elapsed and no compute time, so
// that its upstream gets less traffic before the ejector ejects it.
func (c *Chooser) Observe(now time.Time, name string, sample Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.sinceEpoch(now)
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if sample.Kind == "" {
		u.call.add(at, float64(sample.Elapsed))
	} else {
		c.observeStep(u, at, sample)
	}
	c.refresh(u, at)
}

// observeStep records the times of a step. Time that is neither computation nor
// queueing is attributed to the link. The queueing time is estimated from the queue
// length in the engine's report, without this daemon's later requests, since an
// estimate that is too long would hide a slow link.
func (c *Chooser) observeStep(u *upstream, at time.Duration, sample Sample) {
	if sample.Layers <= 0 {
		return
	}
	estimated := c.estimate(u, at)
	wait := estimated.decode * float64(u.report.Queue) / batchSize
	computeTime := float64(sample.ComputeTime)
	if sample.ComputeTime > 0 {
		u.link.add(at, max(float64(sample.Elapsed)-computeTime-wait, 0))
	} else {
		computeTime = max(float64(sample.Elapsed)-estimated.link-wait, 0)
	}
	value, avg := computeTime/float64(sample.Layers), &u.decode
	if sample.Kind == cowslipproxy.StepPrefill {
		// A prefill served entirely from the cache has no time per token.
		computed := sample.Tokens - sample.Cached
		if computed <= 0 {
			return
		}
		value, avg = value/float64(computed), &u.prefill
	}
	avg.add(at, value)
	// Only a reported compute time is representative of the accelerator kind.
	if sample.ComputeTime > 0 {
		c.observeKind(u.report.Kind, at, sample.Kind, value)
	}
}

func (c *Chooser) observeKind(name string, at time.Duration, step cowslipproxy.StepKind, value float64) {
	k := c.accelerators[name]
	if k == nil {
		k = &kindTimes{}
		c.accelerators[name] = k
	}
	if step == cowslipproxy.StepPrefill {
		k.prefill.add(at, value)
		return
	}
	k.decode.add(at, value)
}
