package router

import (
	"context"
	"time"
)

const (
	startPollInterval = 50 * time.Millisecond

	// probeTimeout limits how long a starting daemon waits until all listed upstreams have
	// been probed, since some of them may be down.
	probeTimeout = 5 * time.Second
)

// announceWhenReady announces to the other daemons that this one may appear in address
// responses, once it has a configuration and a VM list and either all upstreams have
// been probed or probeTimeout has passed.
func (r *Router) announceWhenReady(ctx context.Context) error {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	var waitStart time.Time
	probedPolls := 0 // consecutive polls at which all upstreams had been probed
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
			if probedPolls++; !r.pool.AllProbed() {
				probedPolls = 0
			}
			// AllProbed can return true shortly before the chooser has the results.
			if probedPolls >= 2 || now.Sub(waitStart) >= probeTimeout {
				return r.gossiper.PublishReady()
			}
		}
	}
}
