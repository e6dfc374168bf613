package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Digest ends a period of measured demand and returns what the other daemons
// have to know of it. It is meant to be called about once a second. An empty
// digest still tells that this daemon is alive.
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
	for _, name := range l.measure(now, elapsed) {
		a := l.customers[name]
		a.publish(rounded(a.demand))
		l.apply(now, a)
		digest.Demands = append(digest.Demands, Demand{Customer: name, Rate: a.published})
	}
	l.repeat(&digest)
	return digest
}

// measure updates all demands, drops what is outdated and returns the customers
// to publish, those with the largest change first.
func (l *Limits) measure(now time.Time, elapsed time.Duration) []string {
	silence := or(l.Silence, DefaultSilence)
	part := weight(elapsed, or(l.Span, DefaultSpan))
	var changed []string
	for name, a := range l.customers {
		a.demand += part * (a.asked/elapsed.Seconds() - a.demand)
		a.asked = 0
		if l.prune(now, a, silence) {
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
	return changed[:min(len(changed), or(l.Entries, DefaultEntries))]
}

// prune drops the demand of silent daemons, and zeros that are too old for a
// late digest to contradict. It reports whether the total changed.
func (l *Limits) prune(now time.Time, a *account, silence time.Duration) bool {
	before := a.total
	for source, r := range a.others {
		if now.Sub(l.heard[source]) > silence || (r.rate == 0 && now.Sub(r.at) > silence) {
			a.drop(source)
		}
	}
	return a.total != before
}

// repeat adds one unchanged customer in turn, which repairs a lost digest.
func (l *Limits) repeat(digest *Digest) {
	if len(digest.Demands) >= or(l.Entries, DefaultEntries) {
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
