package emulator

import (
	"container/list"

	"github.com/cowslipproxy/cowslipproxy"
)

const maxEvents = 256 // retained events; a stream that falls further behind misses the older ones

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	maxEntries int
	order      *list.List               // prefix hashes, most recently used first
	entries    map[uint64]*list.Element // elements of order by prefix hash
	events     []cowslipproxy.CacheEvent
	nextSeq    uint64 // sequence number of the next event
}

func newPrefixCache(maxEntries int) *prefixCache {
	return &prefixCache{maxEntries: maxEntries, order: list.New(), entries: map[uint64]*list.Element{}}
}

// insert stores the prefixes of a prompt and returns the number of its tokens that
// were already cached.
func (c *prefixCache) insert(step cowslipproxy.Step) int {
	cached := 0
	event := cowslipproxy.CacheEvent{Seq: c.nextSeq}
	for i, hash := range cowslipproxy.PrefixHashes(step.Model, step.Prompt) {
		if element, ok := c.entries[hash]; ok {
			c.order.MoveToFront(element)
			cached = (i + 1) * cowslipproxy.PrefixBlockBytes / bytesPerToken
			continue
		}
		c.entries[hash] = c.order.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for c.order.Len() > c.maxEntries {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, hash)
		event.Evicted = append(event.Evicted, hash)
	}
	c.addEvent(event)
	return cached
}

func (c *prefixCache) addEvent(event cowslipproxy.CacheEvent) {
	if len(event.Stored) == 0 && len(event.Evicted) == 0 {
		return
	}
	c.nextSeq++
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsSince returns the retained events from a sequence number on.
func (c *prefixCache) eventsSince(seq uint64) []cowslipproxy.CacheEvent {
	for i, event := range c.events {
		if event.Seq >= seq {
			return append([]cowslipproxy.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}
