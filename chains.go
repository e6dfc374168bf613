package cowslipproxy

import "time"

// Need says which layers a request needs and what is known of the request.
type Need struct {
	Model    string
	Version  string
	Adapter  string
	Layers   LayerRange
	Prefixes []uint64        // see PrefixHashes
	Tokens   int             // estimated length of the prompt and the tokens given
	Output   int             // most tokens that are still to come
	Avoid    map[string]bool // upstreams that failed this request
}

// Stage is one link of a chain.
type Stage struct {
	Upstream string
	Range    LayerRange
	Prefill  time.Duration // expected time of the prefill step
	Decode   time.Duration // expected time of one decode step
}

// ChainChooser chooses the engines that run a request.
type ChainChooser interface {
	// Chain returns stages that tile the needed layers exactly.
	Chain(now time.Time, need Need) ([]Stage, error)
	// Begin counts a request that uses an upstream.
	Begin(upstream string)
	// End counts a request that no longer uses an upstream.
	End(upstream string)
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
