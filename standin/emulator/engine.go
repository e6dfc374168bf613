package emulator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cowslipproxy/cowslipproxy"
)

// Engine is a stand-in engine. Its exported fields are set before Run.
type Engine struct {
	Model    cowslipproxy.Model
	Range    cowslipproxy.LayerRange
	Kind     string        // kind of accelerator
	Pace     time.Duration // time of one layer for one decode step in a batch of its own
	Prefill  time.Duration // time of one layer for one prompt token
	Share    float64       // part of Pace that each further step of a batch adds
	Batch    int           // most steps in one batch
	Memory   int           // cache memory for contexts, in tokens
	Prefixes int           // prompt prefixes that the cache holds
	Lag      time.Duration // lag of load reports and cache events
	Fenced   bool          // refuses orders with an old fencing number
	Loading  time.Duration // time to load a layer for an order
	Copy     time.Duration // time to export or import one layer of one position
	Link     time.Duration // one-way time of the link to the daemons
	Room     int           // layers that the engine can hold
	Trace    bool          // counts the steps of each request, for tests

	mu        sync.Mutex
	faults    Faults
	queue     []*job
	wake      chan struct{}
	contexts  map[contextKey]*sequence
	used      int
	prefixes  *prefixCache
	running   int
	ends      time.Time      // when the newest batch ends
	pressed   bool           // steps waited when the newest batch began
	ran       int64          // tokens that left this stage
	traced    map[string]int // steps by request
	fence     uint64
	role      cowslipproxy.Role
	leaving   bool
	boot      string
	orders    int64
	fuse      *atomic.Bool // shared with engines of which only one crashes
	crashed   chan struct{}
	crashOnce sync.Once
}

// Faults are the ways in which an engine misbehaves.
type Faults struct {
	Slow    float64               `json:"slow" validate:"gte=0,lte=1000"`        // factor on all compute times; 0 is none
	Stall   bool                  `json:"stall"`                                 // answers nothing
	Silent  bool                  `json:"silent"`                                // answers nothing and reports nothing
	Double  bool                  `json:"double"`                                // sends each reply twice
	Late    cowslipproxy.Duration `json:"late" validate:"gte=0"`                 // sends each reply again after this time; 0 is never
	Cross   bool                  `json:"cross"`                                 // sends each reply under another request's id first
	Wrong   bool                  `json:"wrong"`                                 // answers with a fault in the middle of an answer
	Link    float64               `json:"link" validate:"gte=0,lte=1000"`        // factor on the link time; 0 is none
	Crash   string                `json:"crash" validate:"max=256"`              // crashes when a prompt contains this text
	After   int                   `json:"after" validate:"gte=0,lte=1000000000"` // crashes in the middle of this many-th step from now; 0 is never
	Leaving bool                  `json:"leaving"`                               // reports that it leaves
	Forget  bool                  `json:"forget"`                                // drops the contexts that it holds now
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.leaving = faults.Leaving
	if faults.Forget {
		e.contexts, e.used = map[contextKey]*sequence{}, 0
	}
	e.signal()
}

// CrashOne lets the engine crash in the middle of its given step, unless another
// engine with the same fuse crashed before.
func (e *Engine) CrashOne(after int, fuse *atomic.Bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.After, e.fuse = after, fuse
}

// Crashed is closed when the engine crashed by a fault.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

func (e *Engine) crash() {
	e.crashOnce.Do(func() { close(e.crashed) })
}

// signal wakes the scheduler; the caller holds the mutex.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Init prepares the engine for Run and for the gRPC handlers.
func (e *Engine) Init() {
	e.wake = make(chan struct{}, 1)
	e.boot = uuid.NewString()
	e.crashed = make(chan struct{})
	e.contexts = map[contextKey]*sequence{}
	e.traced = map[string]int{}
	e.prefixes = newPrefixCache(e.Prefixes)
	e.role = cowslipproxy.RoleServe
	if e.Range.Len() == 0 {
		e.role = cowslipproxy.RoleSpare
	}
}

// Account is the engine's own count of its work.
type Account struct {
	Steps    int64 `json:"steps"`
	Contexts int   `json:"contexts"`
	Used     int   `json:"used"`   // cache memory in use, in tokens
	Orders   int64 `json:"orders"` // orders that changed what the engine holds
}

// Account returns the engine's own count of its work.
func (e *Engine) Account() Account {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Account{Steps: e.ran, Contexts: len(e.contexts), Used: e.used, Orders: e.orders}
}

// Ran returns the number of steps that the engine began for a request. It needs Trace.
func (e *Engine) Ran(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.traced[request]
}

func (e *Engine) loadReport() cowslipproxy.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := cowslipproxy.Report{
		Model:    e.Model.Name,
		Version:  e.Model.Version,
		Adapters: e.Model.Adapters,
		Range:    e.Range,
		Kind:     e.Kind,
		Role:     e.role,
		Queue:    len(e.queue),
		Running:  e.running,
		Pace:     e.scaled(e.Pace),
		Free:     max(0, e.Memory-e.used),
		Leaving:  e.leaving,
		Boot:     e.boot,
		Room:     e.Room,
	}
	return report
}

// scaled applies the fault that slows the engine; the caller holds the mutex.
func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.faults.Slow > 0 {
		return time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

// Held returns the layers that the engine holds.
func (e *Engine) Held() cowslipproxy.LayerRange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Range
}
