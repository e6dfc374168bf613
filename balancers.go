package cowslipproxy

import "time"

// Candidate is a server, or a path through several, with the load that a daemon knows of.
type Candidate struct {
	Load float64       // fraction of its room that is in use, by the latest figure and the daemon's own sends since
	Room float64       // requests that it can run at once, relative to the other candidates
	Age  time.Duration // age of the figure
	// Preference multiplies the candidate's part of the requests, for example by less than 1 in
	// another data centre.
	Preference float64
	// Credit is the number of requests that the candidate is owed. The daemon keeps it for the
	// balancer and sets it to a random value below 1 at first, so that daemons don't start in step.
	Credit *float64
}

// Balancer chooses among candidates by load figures that are some time old, while other
// daemons choose by figures of about the same age.
type Balancer interface {
	// Choose returns the index of the candidate that gets the next request. There must be at
	// least one candidate.
	Choose(candidates []Candidate) int
}

// Spread describes how even the load of a service's upstreams is, as a daemon knows it.
type Spread struct {
	Largest    float64 // load of the most loaded upstream, as a fraction of its room
	Mean       float64
	IsBalanced bool // the load is high enough for the balancer to choose
}

// NewSpread returns the spread of the loads of upstreams.
func NewSpread(loads []float64) (s Spread) {
	for _, load := range loads {
		s.Largest = max(s.Largest, load)
		s.Mean += load / float64(len(loads))
	}
	return s
}
