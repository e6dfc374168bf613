package emulator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/cowslipproxy/cowslipproxy"
)

// Engine is a stand-in engine. Its exported fields must be set before Init.
type Engine struct {
	Model           cowslipproxy.Model
	Range           cowslipproxy.LayerRange
	Kind            string        // kind of accelerator
	Pace            time.Duration // compute time of one layer for one decode step in a batch of one
	PrefillTime     time.Duration // compute time of one layer for one prompt token
	BatchOverhead   float64       // fraction of Pace that each additional step of a batch adds
	MaxBatch        int           // maximum steps in a batch
	CacheCapacity   int           // KV cache capacity in tokens
	PrefixCacheSize int           // capacity of the prefix cache in prompt prefixes
	ReportInterval  time.Duration // interval between load reports and between checks for cache events, at least 10 ms
	EnforceFencing  bool          // reject orders with an outdated fencing number
	LayerLoadTime   time.Duration // time to load one layer for an order
	LayerCopyTime   time.Duration // time to export or import the KV cache of one layer and position
	LinkLatency     time.Duration // one-way latency to the daemons
	MaxLayers       int           // maximum layers that the engine can hold
	CountSteps      bool          // count the steps of each request, for tests

	mu            sync.Mutex
	faults        Faults
	queue         []*job
	wake          chan struct{}
	contexts      map[contextKey]*sequence
	usedTokens    int
	prefixes      *prefixCache
	running       int            // steps in the current batch
	batchEnd      time.Time      // end of the last batch
	backlogged    bool           // whether steps were queued when the last batch began
	stepsRun      int64          // steps that were run
	requestSteps  map[string]int // steps by request; needs CountSteps
	fence         uint64         // highest fencing number received
	role          cowslipproxy.Role
	leaving       bool
	runID         string
	appliedOrders int64
	sharedCrash   *atomic.Bool // set by the first engine that crashes; prevents the crash of the others that share it
	crashed       chan struct{}
	crashOnce     sync.Once
}

// Faults configures the faults that an engine injects.
type Faults struct {
	Slow              float64               `json:"slow" validate:"gte=0,lte=1000"`        // factor applied to all compute times; 0 disables it
	Stall             bool                  `json:"stall"`                                 // executes no steps
	Silent            bool                  `json:"silent"`                                // executes no steps and sends no load reports
	DuplicateReplies  bool                  `json:"double"`                                // sends each reply twice
	DuplicateDelay    cowslipproxy.Duration `json:"late" validate:"gte=0"`                 // sends each reply again after this time; 0 disables it
	MismatchedReplies bool                  `json:"cross"`                                 // before each reply, sends a copy with another request's id and a copy with another attempt
	FailSteps         bool                  `json:"wrong"`                                 // fails the steps after the second token
	LinkFactor        float64               `json:"link" validate:"gte=0,lte=1000"`        // factor applied to the link latency; 0 disables it
	CrashText         string                `json:"crash" validate:"max=256"`              // crashes on a prompt that contains this text
	CrashAtStep       int                   `json:"after" validate:"gte=0,lte=1000000000"` // crashes while it runs the nth step from now; 0 disables it
	Leaving           bool                  `json:"leaving"`                               // reports that the engine is leaving
	DropContexts      bool                  `json:"forget"`                                // drops the contexts that the engine holds now
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.leaving = faults.Leaving
	if faults.DropContexts {
		e.contexts, e.usedTokens = map[contextKey]*sequence{}, 0
	}
	e.wakeScheduler()
}

// CrashOne makes the engine crash while it runs the nth step from now, unless
// another engine that shares the flag sharedCrash has already crashed.
func (e *Engine) CrashOne(n int, sharedCrash *atomic.Bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.CrashAtStep, e.sharedCrash = n, sharedCrash
}

// Crashed returns a channel that is closed when an injected fault crashes the engine.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

func (e *Engine) crash() {
	e.crashOnce.Do(func() { close(e.crashed) })
}

// wakeScheduler makes Run check the queue for a batch. The caller must hold the mutex.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Init prepares the engine for Run and for the gRPC handlers.
func (e *Engine) Init() {
	e.wake = make(chan struct{}, 1)
	e.runID = uuid.NewString()
	e.crashed = make(chan struct{})
	e.contexts = map[contextKey]*sequence{}
	e.requestSteps = map[string]int{}
	e.prefixes = newPrefixCache(e.PrefixCacheSize)
	e.role = cowslipproxy.RoleServe
	if e.Range.Len() == 0 {
		e.role = cowslipproxy.RoleSpare
	}
}

// Stats holds the engine's counters.
type Stats struct {
	Steps         int64 `json:"steps"`
	Contexts      int   `json:"contexts"`
	UsedTokens    int   `json:"used"`   // KV cache in use, in tokens
	AppliedOrders int64 `json:"orders"` // orders that changed the engine's model, version, range or role
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{Steps: e.stepsRun, Contexts: len(e.contexts), UsedTokens: e.usedTokens, AppliedOrders: e.appliedOrders}
}

// StepCount returns the number of steps that the engine began for a request. It
// requires CountSteps.
func (e *Engine) StepCount(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestSteps[request]
}

func (e *Engine) loadReport() cowslipproxy.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := cowslipproxy.Report{
		Model:      e.Model.Name,
		Version:    e.Model.Version,
		Adapters:   e.Model.Adapters,
		Range:      e.Range,
		Kind:       e.Kind,
		Role:       e.role,
		Queue:      len(e.queue),
		Running:    e.running,
		Pace:       e.applySlowdown(e.Pace),
		FreeTokens: max(0, e.CacheCapacity-e.usedTokens),
		Leaving:    e.leaving,
		RunID:      e.runID,
		MaxLayers:  e.MaxLayers,
	}
	return report
}

// applySlowdown scales a compute time by the Slow fault. The caller must hold the
// mutex.
func (e *Engine) applySlowdown(d time.Duration) time.Duration {
	if e.faults.Slow > 0 {
		return time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

// HeldRange returns the layers that the engine holds.
func (e *Engine) HeldRange() cowslipproxy.LayerRange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Range
}
