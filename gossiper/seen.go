package gossiper

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	maxAges = 8         // daemons in one message; a daemon calls three and is called by about as many
	maxAge  = time.Hour // far above any Timeout
)

// lastSigns returns when this daemon heard from another one, and when this daemon or one that
// it calls did.
func (g *Gossiper) lastSigns(owner cowslipproxy.Owner, now time.Time) (heard, seen time.Time) {
	if owner == g.Self {
		return now, now
	}
	heard = g.heard[owner]
	return heard, latest(heard, g.seen[hashOwner(owner)])
}

// ages returns how long ago this daemon heard from those that it exchanges messages with, in
// milliseconds by the hashes of their owners.
func (g *Gossiper) ages(now time.Time) map[uint64]uint64 {
	ages := map[uint64]uint64{}
	for owner, heard := range g.heard {
		if age := now.Sub(heard); age < g.Timeout && len(ages) < maxAges {
			ages[hashOwner(owner)] = uint64(age.Milliseconds())
		}
	}
	return ages
}

// recordAges records when the daemon that sent a response heard from others. The ages are
// subtracted from the time of the request, so that no time is later than the actual one.
func (g *Gossiper) recordAges(ages map[uint64]uint64, requestedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for hash, age := range ages {
		g.seen[hash] = latest(g.seen[hash], requestedAt.Add(-time.Duration(age)*time.Millisecond))
	}
}

// pruneSeen deletes the times of daemons that no other one has heard from lately.
func (g *Gossiper) pruneSeen(now time.Time) {
	maps.DeleteFunc(g.seen, func(_ uint64, seen time.Time) bool { return now.Sub(seen) > g.Timeout })
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// hashOwner returns a short identifier, which keeps heartbeats small.
func hashOwner(owner cowslipproxy.Owner) uint64 { return xxhash.Sum64String(owner.Key()) }
