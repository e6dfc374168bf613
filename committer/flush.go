package committer

import "context"

// Flush waits until the records queued at the time of the call have left the queue, or
// until ctx ends. They are then in the log, except claims and closes whose attempts no
// longer wait for them. Run must be running.
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
