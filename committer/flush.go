package committer

import "context"

// Flush waits until the records queued at the time of the call are in the log, or
// until ctx ends. Run must be running.
func (c *Committer) Flush(ctx context.Context) {
	c.init()
	for _, l := range c.partitionLogs[:c.Claimer.Partitions] {
		l.mu.Lock()
		queue := append([]*queuedRecord(nil), l.queue...)
		l.mu.Unlock()
		for _, queued := range queue {
			select {
			case <-queued.done:
			case <-ctx.Done():
				return
			}
		}
	}
}
