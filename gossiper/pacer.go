package gossiper

import "time"

const (
	defaultBudget = 512 // bytes per second, a sixth of what the control traffic of a daemon may be
	copies        = 7   // times that a daemon sends or receives an item: about once for each of its 6 links
)

// pacer holds back the changes of own items that are not urgent, so that the
// traffic per daemon stays within a budget however many daemons there are.
type pacer struct {
	budget  float64
	pending map[itemID]Item
	due     time.Time
}

func (p *pacer) add(item Item) {
	if p.pending == nil {
		p.pending = map[itemID]Item{}
	}
	p.pending[itemID{item.Kind, item.Key}] = item
}

// take returns the pending items once they are due.
func (p *pacer) take(members int, now time.Time) []Item {
	if len(p.pending) == 0 || now.Before(p.due) {
		return nil
	}
	budget := p.budget
	if budget == 0 {
		budget = defaultBudget
	}
	var items []Item
	size := 0
	for id, item := range p.pending {
		if size += item.size(); size > maxBytes {
			break
		}
		items = append(items, item)
		delete(p.pending, id)
	}
	p.due = now.Add(time.Duration(float64(size*copies*members) / budget * float64(time.Second)))
	return items
}
