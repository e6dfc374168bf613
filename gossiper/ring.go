package gossiper

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const fanOut = 3

// Contact is a daemon that can be called.
type Contact struct {
	Owner   cowslipproxy.Owner // the incarnation is 0 until it is known
	Address string
	Centre  string
}

// Neighbours returns the daemons that a daemon calls in each round: its
// successors on two rings within its data centre and on one ring across the
// others. Each ring has its own order, so that together they form a graph in
// which news reaches all daemons in a number of rounds that grows with the
// logarithm of their number.
func Neighbours(self Contact, others []Contact) []Contact {
	var chosen []Contact
	taken := map[string]bool{self.Owner.Name: true}
	for ring := range fanOut {
		cross := ring == fanOut-1
		next, ok := successor(ring, self, others, func(c Contact) bool {
			return !taken[c.Owner.Name] && (c.Centre != self.Centre) == cross
		})
		if !ok {
			next, ok = successor(ring, self, others, func(c Contact) bool { return !taken[c.Owner.Name] })
		}
		if ok {
			taken[next.Owner.Name] = true
			chosen = append(chosen, next)
		}
	}
	return chosen
}

func successor(ring int, self Contact, others []Contact, accept func(Contact) bool) (Contact, bool) {
	from := place(ring, self.Owner.Name)
	var best Contact
	var distance uint64
	found := false
	for _, other := range others {
		if !accept(other) {
			continue
		}
		// The difference wraps around, which closes the ring.
		if d := place(ring, other.Owner.Name) - from; !found || d < distance {
			best, distance, found = other, d, true
		}
	}
	return best, found
}

func place(ring int, name string) uint64 {
	return xxhash.Sum64String(string(rune('a'+ring)) + name)
}
