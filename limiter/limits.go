package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Limits.
const (
	DefaultDemandSpan    = time.Second      // with 2 s, another tenth of a limit stayed unused in the 5 s after demand moved to other daemons
	DefaultDigestTimeout = 10 * time.Second // ten digests at one per second
	DefaultEqualShare    = 0.05             // lets a daemon without published demand admit its first requests
	DefaultMaxEntries    = 3                // digests of 169 bytes with names of 20 letters: 2.4 KB/s to 14 peers, of 3 KB/s allowed for control traffic
)

// Limits enforces this daemon's share of each customer's limit. Shares are
// proportional to the demand that the daemons publish in digests. This daemon's own
// share, too, follows from its published and not its current demand, so that the
// shares of daemons with the same digests add up to one.
type Limits struct {
	Self          string        // incarnation of this daemon
	DemandSpan    time.Duration // time constant of the averaged demand
	DigestTimeout time.Duration // after this time without a digest, a daemon counts as having no demand
	EqualShare    float64       // part of each limit that is divided equally between the daemons
	MaxEntries    int           // maximum number of customers in one digest

	mutex      sync.Mutex
	customers  map[string]*account
	daemons    int                  // number of live daemons, including this one
	lastDigest map[string]time.Time // time of the last digest by source
	live       map[string]bool      // incarnations of the live daemons; nil until SetDaemons is called
	seq        uint64
	published  time.Time // time of this daemon's last digest
	rotation   int       // position of the repeated customer among the published ones
}

// account is the state of one customer.
type account struct {
	bucket
	totalRate   float64                 // limit of the customer across all daemons, tokens per second
	totalBurst  float64                 // burst of the customer across all daemons
	requested   float64                 // tokens requested since the last digest
	demand      float64                 // requested tokens per second, averaged
	published   uint32                  // demand in the last digest that contained the customer
	reports     map[string]demandReport // demand of the other daemons by source
	totalDemand uint64                  // published demand of all daemons
}

type demandReport struct {
	rate uint32
	seq  uint64
	at   time.Time
}

// Reserve withdraws a request's estimated tokens from the customer's limit.
func (l *Limits) Reserve(now time.Time, customer cowslipproxy.Customer, tokens int) *cowslipproxy.Failure {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.account(customer.Name)
	a.requested += float64(tokens)
	if a.totalRate != customer.Rate || a.totalBurst != customer.Burst {
		a.totalRate, a.totalBurst = customer.Rate, customer.Burst
		l.apply(now, a)
	}
	wait, ok := a.take(now, float64(tokens))
	if ok {
		return nil
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverLimit, "customer %s is over its limit of %g tokens per second", customer.Name, customer.Rate).After(wait)
}

// Settle returns the unused tokens of a request's reservation, or withdraws those
// used beyond it.
func (l *Limits) Settle(customer string, reserved, used int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil {
		a.give(float64(reserved - used))
	}
}

// Share returns this daemon's share of a customer's limit.
func (l *Limits) Share(customer string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil {
		return l.share(a)
	}
	return 1 / float64(max(l.daemons, 1))
}

// SetDaemons sets the live daemons and drops the demand of all others.
func (l *Limits) SetDaemons(now time.Time, incarnations []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.live = map[string]bool{}
	for _, name := range incarnations {
		l.live[name] = true
	}
	l.live[l.Self] = true
	l.daemons = len(l.live)
	for _, a := range l.customers {
		for source := range a.reports {
			if !l.live[source] {
				a.dropSource(source)
			}
		}
		l.apply(now, a)
	}
	for source := range l.lastDigest {
		if !l.live[source] {
			delete(l.lastDigest, source)
		}
	}
}

// Merge applies another daemon's digest. Digests may arrive late, repeatedly or
// out of order. Digests of daemons that are not live are ignored.
func (l *Limits) Merge(now time.Time, digest Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if digest.Source == l.Self || (l.live != nil && !l.live[digest.Source]) {
		return
	}
	if l.lastDigest == nil {
		l.lastDigest = map[string]time.Time{}
	}
	l.lastDigest[digest.Source] = now
	for _, demand := range digest.Demands {
		a := l.account(demand.Customer)
		old := a.reports[digest.Source]
		if old.seq >= digest.Seq {
			continue
		}
		if a.reports == nil {
			a.reports = map[string]demandReport{}
		}
		a.reports[digest.Source] = demandReport{rate: demand.Rate, seq: digest.Seq, at: now}
		a.totalDemand += uint64(demand.Rate) - uint64(old.rate)
		l.apply(now, a)
	}
}

func (l *Limits) account(name string) *account {
	a := l.customers[name]
	if a == nil {
		if l.customers == nil {
			l.customers = map[string]*account{}
		}
		a = &account{}
		l.customers[name] = a
	}
	return a
}

func (l *Limits) share(a *account) float64 {
	daemons := float64(max(l.daemons, 1))
	if a.totalDemand == 0 {
		return 1 / daemons
	}
	equalShare := orDefault(l.EqualShare, DefaultEqualShare)
	return (1-equalShare)*float64(a.published)/float64(a.totalDemand) + equalShare/daemons
}

// apply sets the bucket to the current share of the limit. An account that is
// known only from digests has no limit yet.
func (l *Limits) apply(now time.Time, a *account) {
	if a.totalRate > 0 {
		share := l.share(a)
		a.set(now, a.totalRate*share, a.totalBurst*share)
	}
}

func (a *account) dropSource(source string) {
	a.totalDemand -= uint64(a.reports[source].rate)
	delete(a.reports, source)
}

func (a *account) publish(rate uint32) {
	a.totalDemand += uint64(rate) - uint64(a.published)
	a.published = rate
}

// idle reports whether the account can be removed without an effect on decisions.
func (a *account) idle() bool {
	return a.totalDemand == 0 && len(a.reports) == 0 && a.demand < 1 && a.requested == 0 && a.availableTokens >= a.burst
}

// orDefault returns the value, or the fallback if the value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// ewmaWeight returns the weight of a sample over the elapsed time in an
// exponential average with the time constant span.
func ewmaWeight(elapsed, span time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/span.Seconds())
}
