package cowslipproxy

import "github.com/cespare/xxhash/v2"

// RendezvousOwner returns the daemon that is responsible for a key, by rendezvous hashing
// over this daemon and the others. A daemon that comes or goes changes the owners of few
// keys.
func RendezvousOwner(key, self string, daemons []string) string {
	owner, highest := self, rendezvousScore(self, key)
	for _, daemon := range daemons {
		if score := rendezvousScore(daemon, key); score > highest {
			owner, highest = daemon, score
		}
	}
	return owner
}

func rendezvousScore(daemon, key string) uint64 { return xxhash.Sum64String(daemon + "\x00" + key) }
