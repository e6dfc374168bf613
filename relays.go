package cowslipproxy

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Query is a caller's request that is relayed whole to an upstream.
type Query struct {
	ID       string
	Method   string
	Host     string
	Target   string // path and query as the caller sent them
	Path     string
	Header   http.Header // end-to-end headers that go to the upstream
	Body     []byte
	Key      string    // bearer key
	Arrived  time.Time // when its head was read
	Deadline time.Time // zero when the caller named none
	Last     string    // id of the last event that the caller has, when it resumes a stream
	Model    string
	Prompt   int // tokens
	Output   int // most tokens of the answer
	Hint     int // caller's estimate of the answer's tokens; 0 when it gave none
}

// Hop is one engine of a path and the layers that it runs.
type Hop struct {
	Instance string
	Address  netip.AddrPort
	Range    LayerRange
}

// Dispatch is what a daemon adds to a query for the upstream.
type Dispatch struct {
	Instance string
	Address  netip.AddrPort
	Customer string
	Left     time.Duration // until the upstream stops work; 0 when not limited
	Path     []Hop         // engines of a model's layers, in order; empty for one server
	Priority int           // 0 goes first; negative when not set
	Last     string        // id of the event after which a stream goes on
}

// ReplyHead is what the head of an upstream's answer says.
type ReplyHead struct {
	ID      string         // of the request; empty when the upstream didn't name it
	NotRun  bool           // the upstream states that it did not run the request
	Signed  bool           // the answer carries the upstream's signature
	Fault   netip.AddrPort // of the engine of the path that refused or failed
	Load    ServerLoad
	HasLoad bool
}

// ServerLoad is what a server says of its work.
type ServerLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect is the conventions of callers and upstreams on HTTP.
type Dialect interface {
	// Query decodes a request's head. The body is read by the caller of Query.
	Query(r *http.Request, now time.Time) (Query, error)
	// Request builds the request to an upstream.
	Request(ctx context.Context, query Query, to Dispatch) (*http.Request, error)
	// Reply decodes the head of an upstream's answer.
	Reply(response *http.Response) ReplyHead
	// ID names the request in an answer of the daemon's own.
	ID(header http.Header, id string)
}

// EngineState is what an engine says of itself when it is asked.
type EngineState struct {
	Busy     bool // an order is being carried out
	Sequence int
	Range    LayerRange
	Stalled  []Stall
}

// Stall is a request that waits for another engine of its path.
type Stall struct {
	Request string
	Address netip.AddrPort
}

// ConflictError says that an engine refused an order which doesn't fit its
// state, or the state of another engine that the order names.
type ConflictError struct {
	Address netip.AddrPort // of the other engine; zero if there is none
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Address.IsValid() {
		return "the order doesn't fit the state of " + e.Address.String()
	}
	return "the order doesn't fit the engine's state"
}

// Operable is the control interface of engines that run paths among themselves.
type Operable interface {
	// State asks an engine for its state.
	State(ctx context.Context, engine Instance) (EngineState, error)
	// Place orders an engine to hold a range of layers. The sequence is the
	// number of orders that it must have accepted; a negative one isn't checked.
	// The error is a ConflictError if the engine refused the order.
	Place(ctx context.Context, engine Instance, layers LayerRange, sequence int) error
	// Repath replaces the engines of a request that runs at its first engine. The
	// error is a ConflictError if one of them refuses new work.
	Repath(ctx context.Context, first Instance, request string, path []Hop) error
}
