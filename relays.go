package cowslipproxy

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// RelayRequest is a caller's request that is relayed to an upstream as a whole.
type RelayRequest struct {
	ID          string
	Method      string
	Host        string
	Target      string // path and query as the caller sent them
	Path        string
	Header      http.Header // end-to-end headers that go to the upstream
	Body        []byte
	Key         string    // bearer key
	Arrived     time.Time // when its header was read
	Deadline    time.Time // zero if the caller set none
	LastEventID string    // id of the last event that the caller received, if it resumes a stream
	Model       string
	Prompt      int      // length of the prompt in tokens
	Parts       []string // ids of the parts of the prompt, in order; the last one belongs to the request itself or its session
	MaxOutput   int      // maximum number of tokens of the answer
	LengthHint  int      // caller's estimate of the answer's length in tokens; 0 if it gave none
}

// SharedParts returns the parts of the prompt that other requests may share.
func (r RelayRequest) SharedParts() []string { return r.Parts[:max(len(r.Parts)-1, 0)] }

// Hop is an engine of a path and the layers that it runs.
type Hop struct {
	Instance  string
	StartedAt time.Time // start of the engine
	Address   netip.AddrPort
	Range     LayerRange
}

// Incarnation identifies this run of the engine.
func (h Hop) Incarnation() string { return incarnation(h.Instance, h.StartedAt) }

// Dispatch holds the routing information that a daemon adds to a request to an
// upstream.
type Dispatch struct {
	Instance    string
	Address     netip.AddrPort
	Customer    string
	TimeLeft    time.Duration // time after which the upstream stops its work; 0 if unlimited
	Path        []Hop         // engines that run the model's layers, in order; empty if one server runs the request
	Priority    int           // 0 is the highest; negative if not set
	LastEventID string        // id of the event after which a stream is resumed
}

// ReplyHeader is the decoded header of an upstream's response.
type ReplyHeader struct {
	ID           string         // request id; empty if the upstream sent none
	NotExecuted  bool           // the upstream states that it did not execute the request
	Signed       bool           // the response has the upstream's signature
	FailedEngine netip.AddrPort // address of the engine of the path that refused or failed
	Load         ServerLoad
	HasLoad      bool
	Limit        float64 // requests per second that the upstream accepts from all daemons together
	HasLimit     bool
	Leaving      bool          // the upstream will stop soon and wants no new requests
	RetryAfter   time.Duration // time for which the upstream wants no request from this daemon; 0 if it names none
}

// ServerLoad is the load that a server reports.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect translates between requests and the HTTP headers, paths and bodies that
// callers and upstreams of a platform use.
type Dialect interface {
	// RelayRequest decodes the header of a request. The caller of RelayRequest reads
	// the body.
	RelayRequest(r *http.Request, now time.Time) (RelayRequest, error)
	// Request builds the HTTP request to an upstream.
	Request(ctx context.Context, request RelayRequest, dispatch Dispatch) (*http.Request, error)
	// Reply decodes the header of an upstream's response.
	Reply(response *http.Response) ReplyHeader
	// Status returns the HTTP status of a failure.
	Status(failure *Failure) int
	// SetID sets the request id in the header of a response that the daemon generates.
	SetID(header http.Header, id string)
}

// EngineState is the state that an engine returns on request.
type EngineState struct {
	Busy     bool // an order is being executed
	Sequence int  // number of accepted orders
	Range    LayerRange
	Stalled  []Stall
	Leaving  bool    // the engine will stop soon and wants no new requests
	Memory   float64 // fraction of the KV cache that can't be freed for other requests
	Slowdown float64 // factor by which the engine runs slower than its profile; 0 if it reports none
}

// EngineReport is a report on the state of an engine.
type EngineReport struct {
	ID          uint64        `json:"id"` // random; a daemon takes each report once
	Incarnation string        `json:"engine"`
	Slowdown    float64       `json:"slowdown,omitempty"` // factor by which it runs slower than its profile; 0 if not reported
	Unusable    bool          `json:"unusable,omitempty"` // it refuses work although it has memory
	Leaving     bool          `json:"leaving,omitempty"`  // it will stop soon
	Age         time.Duration `json:"age"`                // of the report
}

// Check reports the first invalid field.
func (r EngineReport) Check() error {
	if r.Incarnation == "" || r.Age < 0 || !(r.Slowdown >= 0) {
		return errors.Errorf("engine %q, slowdown %v, age %v: want an engine, and a slowdown and an age of at least 0", r.Incarnation, r.Slowdown, r.Age)
	}
	return nil
}

// Stall is a request that waits for another engine of its path.
type Stall struct {
	Request string
	Address netip.AddrPort // of the engine that it waits for
}

// ConflictError is the error of an order that conflicts with the state of the engine
// that got it, or with that of another engine which the order names.
type ConflictError struct {
	Address netip.AddrPort // of the other engine; zero if there is none
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Address.IsValid() {
		return "order conflicts with the state of engine " + e.Address.String()
	}
	return "order conflicts with the state of the engine"
}

// EngineControl is the control interface of engines that forward requests along a path
// themselves.
type EngineControl interface {
	// State requests the state of an engine.
	State(ctx context.Context, engine Instance) (EngineState, error)
	// Place orders an engine to hold a range of layers. The sequence is the number
	// of orders that the engine must have accepted before; a negative number isn't
	// checked. The error is a ConflictError if the engine refused the order.
	Place(ctx context.Context, engine Instance, layers LayerRange, sequence int) error
	// ReplacePath calls the first engine of a running request to replace its path.
	// The error is a ConflictError if an engine of the path refuses new work.
	ReplacePath(ctx context.Context, first Instance, request string, path []Hop) error
}
