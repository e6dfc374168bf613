package router

import (
	"context"
	"time"
)

const (
	startPoll = 50 * time.Millisecond

	// Upstreams that the list shows may be gone, so that a new daemon doesn't
	// wait for all of them for longer.
	connectLimit = 5 * time.Second
)

// start tells the other daemons that this one may be given to callers, once it
// has a configuration and a list of VMs and has tried to reach the upstreams.
func (r *Router) start(ctx context.Context) error {
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	var listed time.Time
	reached := 0 // looks in a row that found all upstreams reached
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if _, ready := r.follower.Current(); !ready || !r.hasList.Load() {
				continue
			}
			if listed.IsZero() {
				listed = now
				continue
			}
			if reached++; !r.pool.Reached() {
				reached = 0
			}
			// What the first look sees as taken in may not have got to the chooser yet.
			if reached >= 2 || now.Sub(listed) >= connectLimit {
				return r.gossiper.Start()
			}
		}
	}
}
