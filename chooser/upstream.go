package chooser

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

type upstream struct {
	// Pricing reads these three fields only. They fill one cache line, since
	// a decision reads dozens of upstreams.
	now  estimates
	own  int // this daemon's requests in flight
	then int // own, when the report came in

	Upstream
	rank     uint64 // rendezvous hash of the daemon's and the upstream's name
	leaving  bool
	report   cowslipproxy.Report
	reportAt time.Duration
	reported bool
	prefill  average
	decode   average
	link     average
	call     average
	callTime float64 // estimate of a whole call to a plain service
	cache    prefixSet
	hit      uint64 // decision in which the upstream was found to hold a prefix
	depth    int    // number of blocks of that prefix
}

// Add adds an upstream, or updates it and keeps what was measured.
func (c *Chooser) Add(now time.Time, added Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start(now)
	u := c.upstreams[added.Name]
	if u == nil {
		u = &upstream{rank: xxhash.Sum64String(c.Name + "\x00" + added.Name)}
		c.upstreams[added.Name] = u
	}
	c.leave(u)
	u.Upstream = added
	u.now.at = never
	c.join(u)
}

// Remove forgets an upstream.
func (c *Chooser) Remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil {
		return
	}
	c.leave(u)
	c.forget(u)
	delete(c.upstreams, name)
}

// SetLeaving marks an upstream that the list or an operator says is leaving.
func (c *Chooser) SetLeaving(name string, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil || u.leaving == leaving {
		return
	}
	c.leave(u)
	u.leaving = leaving
	c.join(u)
}

// Report takes in an engine's load report.
func (c *Chooser) Report(now time.Time, name string, report cowslipproxy.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.start(now)
	u := c.upstreams[name]
	if u == nil {
		return
	}
	same := u.reported && sameHolding(u.report, report)
	if !same {
		c.leave(u)
	}
	u.report, u.reported, u.reportAt, u.then = report, true, at, u.own
	c.refresh(u, at)
	if !same {
		c.join(u)
	}
}

func sameHolding(a, b cowslipproxy.Report) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Range == b.Range && a.Role == b.Role &&
		a.Leaving == b.Leaving && slices.Equal(a.Adapters, b.Adapters)
}

// Begin counts a request that was sent to the upstream.
func (c *Chooser) Begin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[name]; u != nil {
		u.own++
	}
}

// End counts a request that the upstream no longer has.
func (c *Chooser) End(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[name]; u != nil && u.own > 0 {
		u.own--
	}
}

// ObserveLink takes in a measured round trip without work.
func (c *Chooser) ObserveLink(now time.Time, name string, trip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.start(now)
	if u := c.upstreams[name]; u != nil {
		u.link.add(at, float64(trip))
		c.refresh(u, at)
	}
}

// Observe takes in the result of a step or of a service call. A step that timed
// out is observed with the time waited and no time spent, so that its upstream
// loses traffic before the ejector judges it.
func (c *Chooser) Observe(now time.Time, name string, sample Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.start(now)
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

// observeStep attributes the time that is neither computation nor queueing by
// the engine's own report to the link. Work of this daemon is left out of the
// queueing, since an estimate that is too long would hide a slow link.
func (c *Chooser) observeStep(u *upstream, at time.Duration, sample Sample) {
	if sample.Layers <= 0 {
		return
	}
	known := c.estimate(u, at)
	wait := known.decode * float64(u.report.Queue) / batch
	spent := float64(sample.Spent)
	if sample.Spent > 0 {
		u.link.add(at, max(float64(sample.Elapsed)-spent-wait, 0))
	} else {
		spent = max(float64(sample.Elapsed)-known.link-wait, 0)
	}
	value, own := spent/float64(sample.Layers), &u.decode
	if sample.Kind == cowslipproxy.StepPrefill {
		// A prefill that the cache saved wholly says nothing of the time per token.
		computed := sample.Tokens - sample.Cached
		if computed <= 0 {
			return
		}
		value, own = value/float64(computed), &u.prefill
	}
	own.add(at, value)
	// Only a reported computing time tells something of the kind.
	if sample.Spent > 0 {
		c.observeKind(u.report.Kind, at, sample.Kind, value)
	}
}

func (c *Chooser) observeKind(name string, at time.Duration, step cowslipproxy.StepKind, value float64) {
	k := c.kinds[name]
	if k == nil {
		k = &kind{}
		c.kinds[name] = k
	}
	if step == cowslipproxy.StepPrefill {
		k.prefill.add(at, value)
		return
	}
	k.decode.add(at, value)
}
