package cowslipproxy

import (
	"time"

	"github.com/pkg/errors"
)

// StepKind is the kind of computation that a step requests.
type StepKind string

// Kinds of steps.
const (
	StepPrefill StepKind = "prefill" // creates a context from a prompt, or from the activations of all positions
	StepDecode  StepKind = "decode"  // advances the context by one position
)

// StepID identifies a step. A reply is accepted only if it has the id of an
// outstanding step.
type StepID struct {
	Request string     `json:"request"`
	Attempt int        `json:"attempt"` // distinguishes the contexts of a request; a later one has a larger number
	Token   int        `json:"token"`   // index of the token that the step contributes to
	Range   LayerRange `json:"range"`
}

// Check reports the first invalid field.
func (s StepID) Check() error {
	if s.Request == "" {
		return errors.New("request: missing; an id is required")
	}
	if s.Attempt < 1 {
		return errors.Errorf("attempt: %d is not at least 1", s.Attempt)
	}
	if s.Token < 0 {
		return errors.Errorf("token: %d is negative", s.Token)
	}
	return s.Range.Check()
}

// Step is a request to a stage to run its layers for one token of a request.
type Step struct {
	StepID
	Kind      StepKind      `json:"kind"`
	Model     string        `json:"model"`
	Version   string        `json:"version"`
	Adapter   string        `json:"adapter,omitempty"`
	Priority  int           `json:"priority"`         // larger values are served first
	Prompt    string        `json:"prompt,omitempty"` // first stage, prefill
	Generated []int         `json:"given,omitempty"`  // first stage: tokens generated after the prompt
	State     []byte        `json:"state,omitempty"`  // later stages: activations from the previous stage
	LastOnly  bool          `json:"tail,omitempty"`   // prefill: return the activations of the last position only
	TimeLeft  time.Duration `json:"left,omitempty"`   // time left until the caller's deadline
}

// Check reports the first invalid field.
func (s Step) Check() error {
	if s.Kind != StepPrefill && s.Kind != StepDecode {
		return errors.Errorf("kind: %q is not prefill or decode", s.Kind)
	}
	if s.Model == "" {
		return errors.New("model: missing; a name is required")
	}
	return s.StepID.Check()
}

// Fault is the reason why a stage returned no result for a step.
type Fault string

// Faults of a step.
const (
	FaultNone     Fault = ""
	FaultContext  Fault = "context"  // the stage doesn't hold the context
	FaultModel    Fault = "model"    // the stage doesn't hold this model, version, adapter or range
	FaultFull     Fault = "full"     // no cache memory is left; the step was not started
	FaultLeaving  Fault = "leaving"  // the stage accepts no new contexts; the step was not started
	FaultInternal Fault = "internal" // the stage failed while it ran the step
)

// Reply is a stage's reply to a step.
type Reply struct {
	StepID
	State       []byte        `json:"state,omitempty"`  // activations for the next stage
	NextToken   int           `json:"next,omitempty"`   // last stage: the generated token
	Text        string        `json:"text,omitempty"`   // last stage: text of the token
	Last        bool          `json:"last,omitempty"`   // last stage: the answer ends with this token
	Prompt      int           `json:"prompt,omitempty"` // first stage, prefill: length of the prompt in tokens
	Cached      int           `json:"cached,omitempty"` // prefill: tokens that the prefix cache saved
	ComputeTime time.Duration `json:"spent,omitempty"`  // compute time of the stage, excluding queueing
	Fault       Fault         `json:"fault,omitempty"`
}

// Check reports the first invalid field.
func (r Reply) Check() error { return r.StepID.Check() }

// Role states whether an engine serves requests.
type Role string

// Roles of an engine.
const (
	RoleServe Role = "serve"
	RoleSpare Role = "spare"
)

// Report is the state and load that an engine reports. It may be out of date.
type Report struct {
	Model      string        `json:"model"`
	Version    string        `json:"version"`
	Adapters   []string      `json:"adapters,omitempty"`
	Range      LayerRange    `json:"range"`
	Kind       string        `json:"kind"` // kind of accelerator
	Role       Role          `json:"role"`
	Queue      int           `json:"queue"`          // steps waiting
	Running    int           `json:"running"`        // steps in the current batch
	Pace       time.Duration `json:"pace"`           // recent time per layer of a decode step
	FreeTokens int           `json:"free"`           // free cache memory, in tokens
	MaxLayers  int           `json:"room,omitempty"` // maximum number of layers that the engine can hold
	Leaving    bool          `json:"leaving,omitempty"`
	RunID      string        `json:"boot,omitempty"` // identifies this run of the engine
}

// Check reports the first invalid field.
func (r Report) Check() error {
	if r.Queue < 0 || r.Running < 0 || r.FreeTokens < 0 || r.Pace < 0 {
		return errors.Errorf("report: queue %d, running %d, free %d or pace %v is negative", r.Queue, r.Running, r.FreeTokens, r.Pace)
	}
	if r.Role == RoleSpare {
		return nil
	}
	return r.Range.Check()
}

// CacheEvent lists the prompt prefixes that an engine stored and evicted. Events
// arrive with a delay, and a gap in Seq means that some were lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Stored  []uint64 `json:"stored,omitempty"`  // hashes of prefixes, see PrefixHashes
	Evicted []uint64 `json:"evicted,omitempty"` // hashes of prefixes
}

// Cache is an exported KV cache of one stage's context.
type Cache struct {
	StepID
	Model   string `json:"model"`
	Version string `json:"version"`
	Tokens  int    `json:"tokens"` // positions that the cache covers
	Data    []byte `json:"data"`
}

// Check reports the first invalid field.
func (c Cache) Check() error { return c.StepID.Check() }

// Order sets the desired state of an engine. It is idempotent.
type Order struct {
	ID       string     `json:"id"`
	Fence    uint64     `json:"fence"` // fencing token of the lease under which the order is issued
	Model    string     `json:"model"`
	Version  string     `json:"version"`
	Adapters []string   `json:"adapters,omitempty"`
	Layers   int        `json:"layers"` // layers of the whole model
	Range    LayerRange `json:"range"`
	Role     Role       `json:"role"`
}

// Check reports the first invalid field.
func (o Order) Check() error {
	if o.ID == "" {
		return errors.New("id: missing; an id is required")
	}
	if o.Role != RoleServe && o.Role != RoleSpare {
		return errors.Errorf("role: %q is not serve or spare", o.Role)
	}
	return o.Range.Check()
}
