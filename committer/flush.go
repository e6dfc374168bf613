package committer

import "context"

// Flush waits until what waits for the log is in it, or until ctx ends. It is
// called while Run runs.
func (c *Committer) Flush(ctx context.Context) {
	c.init()
	for _, l := range c.lanes[:c.Claimer.Partitions] {
		l.mu.Lock()
		items := append([]*item(nil), l.items...)
		l.mu.Unlock()
		for _, it := range items {
			select {
			case <-it.done:
			case <-ctx.Done():
				return
			}
		}
	}
}
