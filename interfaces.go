package cowslipproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrHeld marks the failure of a choice of upstreams for a suspect whose only candidates
// are held by other suspects. Holds end with the requests that have them.
var ErrHeld = errors.New("held by another suspect")

// ErrNotStarted marks errors of work that an upstream provably did not start.
var ErrNotStarted = errors.New("not started")

// Engine is a model engine that holds a range of layers.
type Engine interface {
	// Do runs one step. It returns an error that wraps ErrNotStarted if the
	// step was never sent.
	Do(ctx context.Context, step Step) (Reply, error)
	// Cancel frees the contexts of a request. It doesn't wait for the engine.
	Cancel(request string)
	// Report returns the latest load report and the time at which it was received.
	Report() (Report, time.Time)
	// Export returns the KV cache of a context.
	Export(ctx context.Context, id StepID) (Cache, error)
	// Import stores a KV cache under the step id that it contains.
	Import(ctx context.Context, cache Cache) error
	// Order sets the desired state of the engine.
	Order(ctx context.Context, order Order) error
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream and returns its offset. If it returns an
	// error, the record may have been added nevertheless.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records from an offset on. It waits up to the given time
	// for the first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// Batch is a sequence of consecutive records of a log stream.
type Batch struct {
	First   uint64  `json:"first"` // oldest offset that the log retains
	Next    uint64  `json:"next"`  // offset to read from next
	Entries []Entry `json:"entries"`
}

// Entry is a record of a log stream with its offset.
type Entry struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// PeerNetwork opens the connections between entry daemons.
type PeerNetwork interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// VMList is the platform's list of live and leaving VMs, which may be out of date.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// ServiceCall is a caller's request to a plain service.
type ServiceCall struct {
	Request  string // request id
	Customer string
	Service  string
	Method   string
	Path     string // including the query
	Header   http.Header
	Body     io.Reader
	Length   int64 // -1 when unknown
}

// ServiceUpstream is one server of a plain service.
type ServiceUpstream interface {
	// Do sends the call. The error wraps ErrNotStarted if no byte of the call
	// reached the server. The caller of Do closes the response body.
	Do(ctx context.Context, call ServiceCall) (*http.Response, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Rate returns the rate in bytes per second that is available for loads.
	Rate(ctx context.Context) (float64, error)
	// Size returns the size in bytes of a model version's layer range.
	Size(ctx context.Context, model, version string, layers LayerRange) (int64, error)
}
