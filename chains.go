package cowslipproxy

import "time"

// Need says which layers a request needs and what is known of the request.
type Need struct {
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapter  string     `json:"adapter,omitempty"`
	Range    LayerRange `json:"range"`              // the whole model, or the range of a stage to replace
	Prefixes []uint64   `json:"prefixes,omitempty"` // see PrefixHashes
	Tokens   int        `json:"tokens"`             // estimated length of the prompt and the tokens given
	Output   int        `json:"output,omitempty"`   // most tokens that are still to come; 0 means 32
	Centre   string     `json:"centre,omitempty"`   // preferred data centre
	Avoid    []string   `json:"avoid,omitempty"`    // names of upstreams or VMs that failed this request
	Request  string     `json:"request,omitempty"`
	Suspect  bool       `json:"suspect,omitempty"` // an upstream crashed with the request in flight
}

// Stage is one link of a chain.
type Stage struct {
	Upstream string        `json:"upstream"`
	Range    LayerRange    `json:"range"`
	Prefill  time.Duration `json:"prefill"` // expected time of the prefill step, with link and queue
	Decode   time.Duration `json:"decode"`  // expected time of one decode step, with link and queue
}

// ChainChooser chooses the engines that run a request.
type ChainChooser interface {
	// Chain returns stages that tile the needed layers exactly.
	Chain(now time.Time, need Need) ([]Stage, error)
	// Begin counts a request that uses an upstream.
	Begin(upstream, request string)
	// End counts a request that no longer uses an upstream.
	End(upstream, request string)
	// Clear ends a request's exclusion of other suspects from its upstreams.
	Clear(request string)
}

// StepObserver learns from the steps of all requests.
type StepObserver interface {
	// Timeout returns how long a step may take on an upstream.
	Timeout(now time.Time, stage Stage, step Step, tokens int) time.Duration
	// Began notes that a step was sent.
	Began(now time.Time, upstream string, step Step, tokens int)
	// Ended notes how a step ended.
	Ended(now time.Time, upstream string, step Step, end StepEnd)
}

// StepEnd is how a step ended.
type StepEnd struct {
	Tokens int           // positions that the step ran
	Took   time.Duration // from sending the step to its reply
	Reply  Reply
	Err    error
}
