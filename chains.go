package cowslipproxy

import "time"

// Requirements describes the layers that a request needs and its properties that affect
// the choice of engines.
type Requirements struct {
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapter  string     `json:"adapter,omitempty"`
	Range    LayerRange `json:"range"`              // the whole model, or the range of a stage to replace
	Prefixes []uint64   `json:"prefixes,omitempty"` // see PrefixHashes
	Tokens   int        `json:"tokens"`             // estimated length of the prompt plus the tokens generated so far
	Output   int        `json:"output,omitempty"`   // maximum number of tokens still to generate; 0 means 32
	Centre   string     `json:"centre,omitempty"`   // preferred data centre
	Avoid    []string   `json:"avoid,omitempty"`    // names of upstreams or VMs on which this request failed
	Request  string     `json:"request,omitempty"`
	Suspect  bool       `json:"suspect,omitempty"` // an upstream crashed with the request in flight
}

// Stage is an engine of a chain and the layers that it runs.
type Stage struct {
	Upstream string        `json:"upstream"`
	Range    LayerRange    `json:"range"`
	Prefill  time.Duration `json:"prefill"` // expected time of the prefill step, including network and queueing
	Decode   time.Duration `json:"decode"`  // expected time of one decode step, including network and queueing
}

// ChainChooser chooses the engines that run a request and tracks their use.
type ChainChooser interface {
	// Chain returns stages that cover the required layers with no gap and no overlap.
	Chain(now time.Time, need Requirements) ([]Stage, error)
	// Begin records that a request uses an upstream.
	Begin(upstream, request string)
	// End records that a request no longer uses an upstream.
	End(upstream, request string)
	// ReleaseHolds releases the upstreams that a suspect holds, so that other suspects may
	// use them.
	ReleaseHolds(request string)
}

// StepObserver records how the steps of all requests run and sets their timeouts.
type StepObserver interface {
	// Timeout returns how long a step may take on an upstream.
	Timeout(now time.Time, stage Stage, step Step, tokens int) time.Duration
	// Began records that a step was sent.
	Began(now time.Time, upstream string, step Step, tokens int)
	// Ended records how a step ended.
	Ended(now time.Time, upstream string, step Step, end StepEnd)
}

// StepEnd describes how a step ended.
type StepEnd struct {
	Tokens   int           // positions that the step computed
	Duration time.Duration // time from sending the step to its reply
	Reply    Reply
	Err      error
}
