package chooser

import (
	"slices"
	"sort"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// maxPrefixes bounds the memory for one upstream's cached prefixes.
	maxPrefixes = 4096
	// maxHolders bounds the work for a prefix that many upstreams hold; it
	// hardly distinguishes them.
	maxHolders = 32
	// maxSteps bounds the shorter prefixes that are looked up below the longest one found.
	maxSteps = 8
	// maxHits bounds the upstreams that are considered for their cache.
	maxHits = 16
)

// prefixSet is what an upstream's cache events tell of its cache.
type prefixSet struct {
	hashes map[uint64]struct{}
	seq    uint64
	begun  bool // an event came in
}

// Cache takes in a cache event and reports whether events before it are
// missing. After a gap the known prefixes are dropped: the lost events may
// have evicted them.
func (c *Chooser) Cache(name string, event cowslipproxy.CacheEvent) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil {
		return false
	}
	late := false
	switch {
	case event.Seq <= 1: // the engine started again
		c.forget(u)
		u.cache.seq = event.Seq
	case event.Seq <= u.cache.seq:
		late = true
	case event.Seq > u.cache.seq+1:
		gap = u.cache.begun // a daemon that starts later than the engine has lost nothing
		c.forget(u)
		fallthrough
	default:
		u.cache.seq = event.Seq
	}
	u.cache.begun = true
	// A late event's prefixes may have been evicted since; its evictions are
	// applied, since a cache that is believed empty does no harm.
	if !late {
		for _, hash := range event.Stored {
			c.store(u, hash)
		}
	}
	for _, hash := range event.Evicted {
		c.evict(u, hash)
	}
	return gap
}

func (c *Chooser) store(u *upstream, hash uint64) {
	if _, ok := u.cache.hashes[hash]; ok {
		return
	}
	if len(c.holders[hash]) >= maxHolders || len(u.cache.hashes) >= maxPrefixes {
		return
	}
	if u.cache.hashes == nil {
		u.cache.hashes = map[uint64]struct{}{}
	}
	u.cache.hashes[hash] = struct{}{}
	c.holders[hash] = append(c.holders[hash], u)
}

func (c *Chooser) evict(u *upstream, hash uint64) {
	if _, ok := u.cache.hashes[hash]; !ok {
		return
	}
	delete(u.cache.hashes, hash)
	holders := c.holders[hash]
	if i := slices.Index(holders, u); i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	if len(holders) == 0 {
		delete(c.holders, hash)
		return
	}
	c.holders[hash] = holders
}

// forget drops what is known of the upstream's cache.
func (c *Chooser) forget(u *upstream) {
	for hash := range u.cache.hashes {
		c.evict(u, hash)
	}
}

// findHits marks the upstreams that hold the longest prefixes of the prompt.
// The longest is found by bisection, since a cached prefix has its shorter
// ones cached too.
func (c *Chooser) findHits(prefixes []uint64) {
	c.decision++
	c.hits = c.hits[:0]
	if len(c.holders) == 0 {
		return
	}
	longest := sort.Search(len(prefixes), func(i int) bool { return len(c.holders[prefixes[i]]) == 0 })
	for depth := longest; depth > 0 && depth > longest-maxSteps; depth-- {
		for _, u := range c.holders[prefixes[depth-1]] {
			if u.hit == c.decision {
				continue
			}
			if len(c.hits) == maxHits {
				return
			}
			u.hit, u.depth = c.decision, depth
			c.hits = append(c.hits, u)
		}
	}
}
