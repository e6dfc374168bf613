package gossiper

import "time"

const (
	minBudget      = 512 // bytes per second; a sixth of the control traffic that a daemon is allowed
	largeFleetSize = 240 // number of daemons from which minBudget applies; smaller fleets get a larger budget
	copiesPerItem  = 7   // times that each daemon sends or receives an item, about once for each of its 6 links
)

// pacer delays local items that are not urgent, so that the traffic per daemon
// stays within a budget, however many daemons there are.
type pacer struct {
	budget    float64 // bytes per second; 0 derives it from the fleet size
	pending   map[itemID]Item
	due       time.Time
	scheduled bool // due is set for the pending items
}

func (p *pacer) add(item Item) {
	if p.pending == nil {
		p.pending = map[itemID]Item{}
	}
	p.pending[itemID{item.Kind, item.Key}] = item
}

// take returns the pending items once they are due. After an idle period they
// wait for a random fraction of their cost, since daemons often publish at the
// same moment. The random number is in [0,1).
func (p *pacer) take(members map[Reach]int, now time.Time, random float64) []Item {
	if len(p.pending) == 0 {
		return nil
	}
	items, cost := p.nextBatch(members)
	if !p.scheduled && p.due.Before(now) {
		p.due = now.Add(time.Duration(random * float64(cost)))
	}
	p.scheduled = true
	if now.Before(p.due) {
		return nil
	}
	for _, item := range items {
		delete(p.pending, itemID{item.Kind, item.Key})
	}
	p.due, p.scheduled = now.Add(cost), false
	return items
}

// nextBatch returns as many items as fit into a message, and their cost: the
// interval at which every daemon can publish the same amount within the budget.
func (p *pacer) nextBatch(members map[Reach]int) ([]Item, time.Duration) {
	var items []Item
	size, bytes := 0, 0
	for _, item := range p.pending {
		if size += item.size(); size > maxBatchBytes {
			break
		}
		items = append(items, item)
		bytes += item.size() * copiesPerItem * members[item.Reach]
	}
	return items, time.Duration(float64(bytes) / p.rate(members[ReachAll]) * float64(time.Second))
}

func (p *pacer) rate(members int) float64 {
	if p.budget > 0 {
		return p.budget
	}
	return minBudget * max(1, largeFleetSize/float64(max(1, members)))
}
