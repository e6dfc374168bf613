package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Digest ends a measurement period and returns the digest to send to the other
// daemons. It is meant to be called about once a second. A digest without demands
// must be sent too, since it shows that this daemon is alive.
func (l *Limits) Digest(now time.Time) Digest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	elapsed := time.Second
	if !l.published.IsZero() {
		elapsed = max(now.Sub(l.published), time.Millisecond)
	}
	l.published = now
	l.seq++
	digest := Digest{Source: l.Self, Seq: l.seq}
	for _, name := range l.updateDemands(now, elapsed) {
		a := l.customers[name]
		a.publish(rounded(a.demand))
		l.apply(now, a)
		digest.Demands = append(digest.Demands, Demand{Customer: name, Rate: a.published})
	}
	l.addRepeated(&digest)
	return digest
}

// updateDemands updates the demand of all customers, removes outdated state and
// returns the customers to publish, those with the largest change first.
func (l *Limits) updateDemands(now time.Time, elapsed time.Duration) []string {
	timeout := orDefault(l.DigestTimeout, DefaultDigestTimeout)
	weight := ewmaWeight(elapsed, orDefault(l.DemandSpan, DefaultDemandSpan))
	var changed []string
	for name, a := range l.customers {
		a.demand += weight * (a.requested/elapsed.Seconds() - a.demand)
		a.requested = 0
		if l.prune(now, a, timeout) {
			l.apply(now, a)
		}
		a.refill(now)
		if a.idle() {
			delete(l.customers, name)
			continue
		}
		if changedByFifth(a.published, rounded(a.demand)) {
			changed = append(changed, name)
		}
	}
	slices.SortFunc(changed, func(x, y string) int {
		return cmp.Or(-cmp.Compare(l.customers[x].change(), l.customers[y].change()), cmp.Compare(x, y))
	})
	return changed[:min(len(changed), orDefault(l.MaxEntries, DefaultMaxEntries))]
}

// prune drops the demand of daemons that stopped sending digests. It also drops zero
// demands, which must be kept as long as an earlier digest may still arrive. It
// reports whether the total changed.
func (l *Limits) prune(now time.Time, a *account, timeout time.Duration) bool {
	before := a.totalDemand
	for source, r := range a.reports {
		if now.Sub(l.lastDigest[source]) > timeout || (r.rate == 0 && now.Sub(r.at) > timeout) {
			a.dropSource(source)
		}
	}
	return a.totalDemand != before
}

// addRepeated adds one unchanged customer, a different one each time, to make up
// for lost digests.
func (l *Limits) addRepeated(digest *Digest) {
	if len(digest.Demands) >= orDefault(l.MaxEntries, DefaultMaxEntries) {
		return
	}
	var names []string
	for name, a := range l.customers {
		if a.published > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	l.rotation++
	name := names[l.rotation%len(names)]
	if !slices.ContainsFunc(digest.Demands, func(d Demand) bool { return d.Customer == name }) {
		digest.Demands = append(digest.Demands, Demand{Customer: name, Rate: l.customers[name].published})
	}
}

func (a *account) change() float64 { return math.Abs(a.demand - float64(a.published)) }

func changedByFifth(old, demand uint32) bool {
	if old == 0 || demand == 0 {
		return old != demand
	}
	return math.Abs(float64(demand)-float64(old)) >= float64(old)/5
}

func rounded(demand float64) uint32 {
	return uint32(math.Min(math.Round(demand), math.MaxUint32))
}
