package gossiper

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const fanOut = 3

// Contact is the name, address and data centre of a daemon.
type Contact struct {
	Owner   cowslipproxy.Owner // the incarnation is 0 while it is unknown
	Address string
	Centre  string
}

// Neighbours returns the daemons that a daemon calls in each round: its
// successors on two hash rings within its data centre and on one across the
// other data centres. Each ring has a different order, so that together they form
// a graph in which an item reaches all n daemons within O(log n) rounds.
func Neighbours(self Contact, others []Contact) []Contact {
	var chosen []Contact
	selected := map[string]bool{self.Owner.Name: true}
	for ring := range fanOut {
		acrossCentres := ring == fanOut-1
		next, ok := successor(ring, self, others, func(c Contact) bool {
			return !selected[c.Owner.Name] && (c.Centre != self.Centre) == acrossCentres
		})
		if !ok {
			next, ok = successor(ring, self, others, func(c Contact) bool { return !selected[c.Owner.Name] })
		}
		if ok {
			selected[next.Owner.Name] = true
			chosen = append(chosen, next)
		}
	}
	return chosen
}

func successor(ring int, self Contact, others []Contact, accept func(Contact) bool) (Contact, bool) {
	origin := ringPosition(ring, self.Owner.Name)
	var best Contact
	var distance uint64
	found := false
	for _, other := range others {
		if !accept(other) {
			continue
		}
		// Unsigned subtraction wraps around, so the first position follows the last one.
		if d := ringPosition(ring, other.Owner.Name) - origin; !found || d < distance {
			best, distance, found = other, d, true
		}
	}
	return best, found
}

func ringPosition(ring int, name string) uint64 {
	return xxhash.Sum64String(string(rune('a'+ring)) + name)
}
