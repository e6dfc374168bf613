package gossiper

import "time"

const (
	minBudget  = 512 // bytes per second, a sixth of what the control traffic of a daemon may be
	largeFleet = 240 // daemons from which on the least budget applies; smaller fleets have room for more
	copies     = 7   // times that a daemon sends or receives an item: about once for each of its 6 links
)

// pacer holds back the changes of own items that are not urgent, so that the
// traffic per daemon stays within a budget however many daemons there are.
type pacer struct {
	budget  float64
	pending map[itemID]Item
	due     time.Time
	waiting bool // due is set for what is pending
}

func (p *pacer) add(item Item) {
	if p.pending == nil {
		p.pending = map[itemID]Item{}
	}
	p.pending[itemID{item.Kind, item.Key}] = item
}

// take returns the pending items once they are due. After a quiet time they
// wait for a random part of what they cost, since daemons often have news at
// the same moment. The random number is in [0,1).
func (p *pacer) take(members map[Reach]int, now time.Time, random float64) []Item {
	if len(p.pending) == 0 {
		return nil
	}
	items, cost := p.next(members)
	if !p.waiting && p.due.Before(now) {
		p.due = now.Add(time.Duration(random * float64(cost)))
	}
	p.waiting = true
	if now.Before(p.due) {
		return nil
	}
	for _, item := range items {
		delete(p.pending, itemID{item.Kind, item.Key})
	}
	p.due, p.waiting = now.Add(cost), false
	return items
}

// next returns items that fit into a message, and the time in which each
// daemon may publish as much within the budget.
func (p *pacer) next(members map[Reach]int) ([]Item, time.Duration) {
	var items []Item
	size, bytes := 0, 0
	for _, item := range p.pending {
		if size += item.size(); size > maxBytes {
			break
		}
		items = append(items, item)
		bytes += item.size() * copies * members[item.Reach]
	}
	return items, time.Duration(float64(bytes) / p.rate(members[ReachAll]) * float64(time.Second))
}

func (p *pacer) rate(members int) float64 {
	if p.budget > 0 {
		return p.budget
	}
	return minBudget * max(1, largeFleet/float64(max(1, members)))
}
