package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Defaults of Limits.
const (
	DefaultSpan    = time.Second      // with 2 s, 0.1 less of a limit was used in the 5 s after demand moved
	DefaultSilence = 10 * time.Second // ten digests at one a second
	DefaultSpare   = 0.05             // lets an unused daemon admit requests before its demand is known
	DefaultEntries = 3                // 169 bytes with names of 20 letters: 2.4 KB/s to 14 peers, of the 3 KB/s for control
)

// Limits holds this daemon's share of each customer's limit. Shares follow the
// demand of all daemons as published in digests. A share uses the published
// demand of this daemon too, so that daemons with the same digests compute
// shares whose sum is one.
type Limits struct {
	Self    string        // incarnation of this daemon
	Span    time.Duration // time over which demand is averaged
	Silence time.Duration // a daemon that is silent for longer has no demand
	Spare   float64       // part of each limit that is shared equally
	Entries int           // customers in one digest

	mutex     sync.Mutex
	customers map[string]*account
	daemons   int                  // live daemons, with this one
	heard     map[string]time.Time // by source
	live      map[string]bool      // nil until the first list of daemons
	seq       uint64
	published time.Time
	rotation  int
}

// account is what this daemon knows of one customer.
type account struct {
	bucket
	limit     float64 // of the customer as a whole
	whole     float64 // burst of the customer as a whole
	asked     float64 // tokens asked for since the last digest
	demand    float64 // tokens per second, averaged
	published uint32
	others    map[string]report // by source
	total     uint64            // published demand of all daemons
}

type report struct {
	rate uint32
	seq  uint64
	at   time.Time
}

// Reserve withdraws a request's estimated tokens from the customer's limit.
func (l *Limits) Reserve(now time.Time, customer cowslipproxy.Customer, tokens int) *cowslipproxy.Failure {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.account(customer.Name)
	a.asked += float64(tokens)
	if a.limit != customer.Rate || a.whole != customer.Burst {
		a.limit, a.whole = customer.Rate, customer.Burst
		l.apply(now, a)
	}
	wait, ok := a.take(now, float64(tokens))
	if ok {
		return nil
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonOverLimit, "customer %s is over its limit of %g tokens per second", customer.Name, customer.Rate).After(wait)
}

// Settle returns what a request reserved and didn't use, or withdraws what it
// used beyond its reservation.
func (l *Limits) Settle(customer string, reserved, used int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil {
		a.give(float64(reserved - used))
	}
}

// Share returns the part of a customer's limit that this daemon holds.
func (l *Limits) Share(customer string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.customers[customer]; a != nil {
		return l.share(a)
	}
	return 1 / float64(max(l.daemons, 1))
}

// SetDaemons tells which daemons are live. The demand of others is dropped.
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
		for source := range a.others {
			if !l.live[source] {
				a.drop(source)
			}
		}
		l.apply(now, a)
	}
	for source := range l.heard {
		if !l.live[source] {
			delete(l.heard, source)
		}
	}
}

// Merge takes in another daemon's digest. Digests may come late, twice or out
// of order. Digests of daemons that aren't live are ignored.
func (l *Limits) Merge(now time.Time, digest Digest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if digest.Source == l.Self || (l.live != nil && !l.live[digest.Source]) {
		return
	}
	if l.heard == nil {
		l.heard = map[string]time.Time{}
	}
	l.heard[digest.Source] = now
	for _, demand := range digest.Demands {
		a := l.account(demand.Customer)
		old := a.others[digest.Source]
		if old.seq >= digest.Seq {
			continue
		}
		if a.others == nil {
			a.others = map[string]report{}
		}
		a.others[digest.Source] = report{rate: demand.Rate, seq: digest.Seq, at: now}
		a.total += uint64(demand.Rate) - uint64(old.rate)
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
	if a.total == 0 {
		return 1 / daemons
	}
	spare := or(l.Spare, DefaultSpare)
	return (1-spare)*float64(a.published)/float64(a.total) + spare/daemons
}

// apply sets the bucket to the current share. An account that is known only
// from digests has no limit yet.
func (l *Limits) apply(now time.Time, a *account) {
	if a.limit > 0 {
		share := l.share(a)
		a.set(now, a.limit*share, a.whole*share)
	}
}

func (a *account) drop(source string) {
	a.total -= uint64(a.others[source].rate)
	delete(a.others, source)
}

func (a *account) publish(rate uint32) {
	a.total += uint64(rate) - uint64(a.published)
	a.published = rate
}

// idle reports whether the account can be forgotten without changing a decision.
func (a *account) idle() bool {
	return a.total == 0 && len(a.others) == 0 && a.demand < 1 && a.asked == 0 && a.level >= a.burst
}

// or returns the value, or the default when the value is zero.
func or[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

func weight(elapsed, span time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/span.Seconds())
}
