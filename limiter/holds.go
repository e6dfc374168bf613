package limiter

import (
	"sync"
	"time"
)

// Holds keeps the times until which upstreams want no request from this daemon. Upstreams
// are given by their incarnation, so that a restarted one gets requests again. It is safe
// for concurrent use.
type Holds struct {
	mu    sync.Mutex
	until map[string]time.Time // by upstream
}

// Hold records that an upstream wants no request for some time. A reply with a shorter time
// does not end an earlier hold, since replies may arrive out of order.
func (h *Holds) Hold(now time.Time, upstream string, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = map[string]time.Time{}
	}
	for held, until := range h.until {
		if !now.Before(until) {
			delete(h.until, held)
		}
	}
	if until := now.Add(wait); until.After(h.until[upstream]) {
		h.until[upstream] = until
	}
}

// Left returns the time for which an upstream still wants no request.
func (h *Holds) Left(now time.Time, upstream string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.until[upstream].Sub(now), 0)
}
