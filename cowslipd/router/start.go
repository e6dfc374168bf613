package router

import (
	"context"
	"time"
)

const (
	startPollInterval = 50 * time.Millisecond

	// Listed upstreams may be down. A starting daemon waits no longer than this for
	// connections to all of them.
	connectTimeout = 5 * time.Second
)

// announceWhenReady announces to the other daemons that this one may appear in address
// responses, once it has a configuration and a VM list and has tried to connect to the
// upstreams.
func (r *Router) announceWhenReady(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	var waitStart time.Time
	reachedPolls := 0 // consecutive polls at which all upstreams were reached
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if _, ready := r.follower.Current(); !ready || !r.hasList.Load() {
				continue
			}
			if waitStart.IsZero() {
				waitStart = now
				continue
			}
			if reachedPolls++; !r.pool.AllProbed() {
				reachedPolls = 0
			}
			// The chooser may not have the result of the first such poll yet.
			if reachedPolls >= 2 || now.Sub(waitStart) >= connectTimeout {
				return r.gossiper.Start()
			}
		}
	}
}
