package emulator

import (
	"container/list"

	"github.com/cowslipproxy/cowslipproxy"
)

const maxHistory = 256 // events kept for streams that read late; older ones are lost

// prefixCache remembers the prompt prefixes that were run last.
type prefixCache struct {
	limit   int
	order   *list.List // hashes, the most recently used first
	entries map[uint64]*list.Element
	history []cowslipproxy.CacheEvent
	next    uint64 // sequence number of the next event
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: map[uint64]*list.Element{}}
}

// use stores a prompt's prefixes and returns how many of its tokens were cached.
func (c *prefixCache) use(step cowslipproxy.Step) int {
	cached := 0
	event := cowslipproxy.CacheEvent{Seq: c.next}
	for i, hash := range cowslipproxy.PrefixHashes(step.Model, step.Prompt) {
		if element, ok := c.entries[hash]; ok {
			c.order.MoveToFront(element)
			cached = (i + 1) * cowslipproxy.PrefixBlock / tokenBytes
			continue
		}
		c.entries[hash] = c.order.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for c.order.Len() > c.limit {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.entries, hash)
		event.Evicted = append(event.Evicted, hash)
	}
	c.record(event)
	return cached
}

func (c *prefixCache) record(event cowslipproxy.CacheEvent) {
	if len(event.Stored) == 0 && len(event.Evicted) == 0 {
		return
	}
	c.next++
	c.history = append(c.history, event)
	if len(c.history) > maxHistory {
		c.history = c.history[1:]
	}
}

// since returns the events from a sequence number on that are still kept.
func (c *prefixCache) since(seq uint64) []cowslipproxy.CacheEvent {
	for i, event := range c.history {
		if event.Seq >= seq {
			return append([]cowslipproxy.CacheEvent(nil), c.history[i:]...)
		}
	}
	return nil
}
