package chooser

import (
	"slices"
	"sort"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	// maxPrefixes limits the prefixes recorded for one upstream, and thereby the
	// memory that they use.
	maxPrefixes = 4096
	// maxHolders limits the upstreams recorded for one prefix, and thereby the
	// duration of a lookup. A prefix that more upstreams cache is hardly a reason
	// to prefer one of them.
	maxHolders = 32
	// maxPrefixLengths is the number of prefix lengths that are looked up, from
	// the longest cached one down.
	maxPrefixLengths = 8
	// maxHits limits the upstreams that are considered because of their cache.
	maxHits = 16
)

// prefixSet is the content of an upstream's prefix cache as known from its cache
// events.
type prefixSet struct {
	hashes  map[uint64]struct{}
	seq     uint64
	started bool // at least one event was received
}

// ApplyCacheEvent applies a cache event and reports whether events before it are
// missing. After a gap the recorded prefixes are dropped, since the lost events may
// have evicted them.
func (c *Chooser) ApplyCacheEvent(name string, event cowslipproxy.CacheEvent) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[name]
	if u == nil {
		return false
	}
	late := false
	switch {
	case event.Seq <= 1: // the engine restarted
		c.clearCache(u)
		u.cache.seq = event.Seq
	case event.Seq <= u.cache.seq:
		late = true
	case event.Seq > u.cache.seq+1:
		gap = u.cache.started // the first event is no gap: the daemon may have started after the engine
		c.clearCache(u)
		fallthrough
	default:
		u.cache.seq = event.Seq
	}
	u.cache.started = true
	// The prefixes stored by a late event are not recorded, since they may have been
	// evicted in the meantime. Its evictions are applied, since wrongly removing a
	// prefix costs at most a cache hit.
	if !late {
		for _, hash := range event.Stored {
			c.addPrefix(u, hash)
		}
	}
	for _, hash := range event.Evicted {
		c.removePrefix(u, hash)
	}
	return gap
}

func (c *Chooser) addPrefix(u *upstream, hash uint64) {
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

func (c *Chooser) removePrefix(u *upstream, hash uint64) {
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

// clearCache drops all recorded prefixes of the upstream.
func (c *Chooser) clearCache(u *upstream) {
	for hash := range u.cache.hashes {
		c.removePrefix(u, hash)
	}
}

// findHits collects the upstreams that cache the longest prefixes of the prompt.
// It finds the longest cached prefix by binary search, since an upstream that
// caches a prefix caches its shorter prefixes too.
func (c *Chooser) findHits(prefixes []uint64) {
	c.decision++
	c.hits = c.hits[:0]
	if len(c.holders) == 0 {
		return
	}
	longest := sort.Search(len(prefixes), func(i int) bool { return len(c.holders[prefixes[i]]) == 0 })
	for hitBlocks := longest; hitBlocks > 0 && hitBlocks > longest-maxPrefixLengths; hitBlocks-- {
		for _, u := range c.holders[prefixes[hitBlocks-1]] {
			if u.hitDecision == c.decision {
				continue
			}
			if len(c.hits) == maxHits {
				return
			}
			u.hitDecision, u.hitBlocks = c.decision, hitBlocks
			c.hits = append(c.hits, u)
		}
	}
}
