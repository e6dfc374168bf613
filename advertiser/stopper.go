package advertiser

import "time"

// Phase is a step of a planned stop.
type Phase string

// Phases of a daemon.
const (
	PhaseServing   Phase = "serving"
	PhaseLeaving   Phase = "leaving"   // peers are told; they may still give out its address
	PhaseDraining  Phase = "draining"  // nobody gives out its address; callers may still hold it
	PhaseFinishing Phase = "finishing" // requests in flight end
	PhaseEnded     Phase = "ended"
)

const (
	defaultSpread = 5 * time.Second // peers learn of a stop within a few rounds of 1 s
	grace         = time.Second     // for the way of an answer to the caller, whose lifetime counts from its arrival
)

// Stopper decides the steps of a planned stop.
type Stopper struct {
	Spread   time.Duration // until all peers know that this daemon stops
	Lifetime time.Duration // of address answers, the longest in use
	Limit    time.Duration // for requests in flight to end; 0 means none
	phase    Phase
	since    time.Time // start of the phase
}

// Phase returns the current phase.
func (s *Stopper) Phase() Phase {
	if s.phase == "" {
		return PhaseServing
	}
	return s.phase
}

// IsStopping reports whether the daemon left the address answers.
func (s *Stopper) IsStopping() bool { return s.Phase() != PhaseServing }

// Begin starts the stop. Later calls change nothing.
func (s *Stopper) Begin(now time.Time) {
	if !s.IsStopping() {
		s.phase, s.since = PhaseLeaving, now
	}
}

// Step moves on to the phase that is due and returns it. The count is of the
// requests in flight, forwarded ones included.
func (s *Stopper) Step(inFlight int, now time.Time) Phase {
	if s.Phase() == PhaseLeaving {
		s.pass(PhaseDraining, orDefault(s.Spread, defaultSpread), now)
	}
	if s.Phase() == PhaseDraining {
		s.pass(PhaseFinishing, orDefault(s.Lifetime, defaultLifetime)+grace, now)
	}
	if s.Phase() == PhaseFinishing {
		late := s.Limit > 0 && now.Sub(s.since) >= s.Limit
		if inFlight == 0 || late {
			s.phase, s.since = PhaseEnded, now
		}
	}
	return s.Phase()
}

// pass starts the next phase if the current one has lasted long enough. The
// start counts from when it was due, so that late calls don't add up.
func (s *Stopper) pass(next Phase, after time.Duration, now time.Time) {
	if now.Sub(s.since) >= after {
		s.phase, s.since = next, s.since.Add(after)
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
