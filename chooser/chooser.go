// Package chooser decides which chain of model engines, or which plain service
// upstream, runs a request. It starts no goroutine and reads no clock.
package chooser

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

// Chooser keeps the state of the upstreams and chooses among them. Its exported
// fields are set before the first use. It is safe for concurrent use.
type Chooser struct {
	Name   string // name of this daemon; selects its subset of the upstreams
	Centre string // data centre of this daemon
	Peers  int    // daemons that share the upstreams, this one included; 0 means 1
	Seed   uint64 // seed of the random draws

	// Usable reports whether an upstream accepts new requests; nil means that
	// all do. It is called with the chooser's mutex held and must not call the chooser.
	Usable func(name string, now time.Time) bool

	mu           sync.Mutex
	initialised  bool
	epoch        time.Time
	random       rand.PCG
	upstreams    map[string]*upstream
	groups       map[groupKey]*group
	services     map[string]*pool
	accelerators map[string]*kindTimes  // average times by accelerator kind
	holders      map[uint64][]*upstream // upstreams by hash of a prefix that they cache
	query        query                  // input of the current decision
	decision     uint64                 // number of the current decision
	hits         []*upstream            // upstreams that cache a prefix of the current prompt
	edges        []edge                 // indexed like the pools of the current group
	dist         []float64              // cost of the cheapest path to each layer boundary
	via          []int                  // last pool on that path
}

// Upstream is a model engine or a server of a plain service.
type Upstream struct {
	Name    string `json:"name"`
	VM      string `json:"vm"`
	Centre  string `json:"centre"`
	Service string `json:"service,omitempty"` // empty for an engine
}

// Chain is a list of stages whose layer ranges tile the requested range.
type Chain struct {
	Stages []cowslipproxy.Stage `json:"stages"`
	Cost   time.Duration        `json:"cost"` // expected duration of the complete response
}

// Sample holds the measurements of one step or service call.
type Sample struct {
	Kind        cowslipproxy.StepKind // empty for a call to a plain service
	Layers      int
	Tokens      int           // prompt tokens of a prefill step
	Cached      int           // prompt tokens served from the prefix cache
	ComputeTime time.Duration // compute time reported by the upstream; 0 if unknown
	Elapsed     time.Duration // time from sending the step to receiving its reply
}

type groupKey struct{ model, version, adapter string }

// defaultOutputTokens is the assumed response length of a request that declares none.
const defaultOutputTokens = 32

// sinceEpoch initialises the chooser on its first call and returns the time since
// that call.
func (c *Chooser) sinceEpoch(now time.Time) time.Duration {
	if !c.initialised {
		c.initialised = true
		c.epoch = now
		c.random.Seed(xxhash.Sum64String(c.Name), c.Seed)
		c.upstreams = map[string]*upstream{}
		c.groups = map[groupKey]*group{}
		c.services = map[string]*pool{}
		c.accelerators = map[string]*kindTimes{}
		c.holders = map[uint64][]*upstream{}
	}
	return now.Sub(c.epoch)
}

// SetPeers changes Peers. Unlike the field, it may be used after the first decision.
func (c *Chooser) SetPeers(peers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Peers = peers
}

func (c *Chooser) peers() float64 { return float64(max(c.Peers, 1)) }

func (c *Chooser) usable(name string, now time.Time) bool {
	return c.Usable == nil || c.Usable(name, now)
}
