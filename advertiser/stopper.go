package advertiser

import "time"

// Phase is a phase of a planned stop.
type Phase string

// Phases of a daemon.
const (
	PhaseServing   Phase = "serving"
	PhaseLeaving   Phase = "leaving"   // the stop is being published; peers may still include the address in responses
	PhaseDraining  Phase = "draining"  // no peer includes the address any more; callers may still have it
	PhaseFinishing Phase = "finishing" // waits for requests in flight
	PhaseEnded     Phase = "ended"
)

const (
	defaultPropagation = 5 * time.Second // a published stop reaches all peers within a few gossip rounds of 1 s
	responseDelay      = time.Second     // network delay of a response; its lifetime starts when the caller receives it
)

// Stopper is the state machine of a planned stop.
type Stopper struct {
	Propagation time.Duration // time until all peers know of the stop; 0 means 5 s
	Lifetime    time.Duration // longest lifetime of address responses in the fleet; 0 means 30 s
	MaxWait     time.Duration // longest wait for requests in flight; 0 means unlimited
	phase       Phase
	since       time.Time // start of the phase
}

// Phase returns the current phase.
func (s *Stopper) Phase() Phase {
	if s.phase == "" {
		return PhaseServing
	}
	return s.phase
}

// IsStopping reports whether a stop has begun.
func (s *Stopper) IsStopping() bool { return s.Phase() != PhaseServing }

// Begin starts the stop. Further calls have no effect.
func (s *Stopper) Begin(now time.Time) {
	if !s.IsStopping() {
		s.phase, s.since = PhaseLeaving, now
	}
}

// Step advances to the phase that is due and returns it. The number of requests
// in flight includes forwarded ones.
func (s *Stopper) Step(inFlight int, now time.Time) Phase {
	if s.Phase() == PhaseLeaving {
		s.advance(PhaseDraining, orDefault(s.Propagation, defaultPropagation), now)
	}
	if s.Phase() == PhaseDraining {
		s.advance(PhaseFinishing, orDefault(s.Lifetime, defaultLifetime)+responseDelay, now)
	}
	if s.Phase() == PhaseFinishing {
		expired := s.MaxWait > 0 && now.Sub(s.since) >= s.MaxWait
		if inFlight == 0 || expired {
			s.phase, s.since = PhaseEnded, now
		}
	}
	return s.Phase()
}

// advance starts the next phase if the current one has lasted long enough. The
// next phase starts at the time when it was due, so that late calls of Step don't
// prolong the stop.
func (s *Stopper) advance(next Phase, duration time.Duration, now time.Time) {
	if now.Sub(s.since) >= duration {
		s.phase, s.since = next, s.since.Add(duration)
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
