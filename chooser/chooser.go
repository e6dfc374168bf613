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

// Chooser holds what is known of the upstreams. Its exported fields are set
// before the first use. It is safe for concurrent use.
type Chooser struct {
	Name   string // name of this daemon; selects its subset of the upstreams
	Centre string // data centre of this daemon
	Peers  int    // daemons that share the upstreams, this one included; 0 means 1
	Seed   uint64 // varies the sampling

	// Usable reports whether an upstream may get work; nil means that all may.
	// It is called with the chooser's mutex held and must not call the chooser.
	Usable func(name string, now time.Time) bool

	mu        sync.Mutex
	ready     bool
	epoch     time.Time
	random    rand.PCG
	upstreams map[string]*upstream
	groups    map[groupKey]*group
	services  map[string]*pool
	kinds     map[string]*kind
	holders   map[uint64][]*upstream // by hash of a cached prefix
	query     query                  // of the current decision
	decision  uint64                 // number of the current decision
	hits      []*upstream            // upstreams that hold a prefix of the current prompt
	edges     []edge                 // one for each pool of the current group
	dist      []float64
	via       []int
}

// Upstream is a model engine or a server of a plain service.
type Upstream struct {
	Name    string `json:"name"`
	VM      string `json:"vm"`
	Centre  string `json:"centre"`
	Service string `json:"service,omitempty"` // empty for an engine
}

// Chain is a list of stages whose ranges tile the needed range.
type Chain struct {
	Stages []cowslipproxy.Stage `json:"stages"`
	Cost   time.Duration        `json:"cost"` // expected time of the whole answer
}

// Sample is the result of one step or service call.
type Sample struct {
	Kind    cowslipproxy.StepKind // empty for a call to a plain service
	Layers  int
	Tokens  int           // positions that a prefill step covered
	Cached  int           // of these, positions that the prefix cache saved
	Spent   time.Duration // time that the upstream computed; 0 when unknown
	Elapsed time.Duration // time from sending the step to its reply
}

type groupKey struct{ model, version, adapter string }

// defaultOutput stands for the length of an answer that is not declared.
const defaultOutput = 32

// start prepares the maps and returns the time since the first call.
func (c *Chooser) start(now time.Time) time.Duration {
	if !c.ready {
		c.ready = true
		c.epoch = now
		c.random.Seed(xxhash.Sum64String(c.Name), c.Seed)
		c.upstreams = map[string]*upstream{}
		c.groups = map[groupKey]*group{}
		c.services = map[string]*pool{}
		c.kinds = map[string]*kind{}
		c.holders = map[uint64][]*upstream{}
	}
	return now.Sub(c.epoch)
}

// SetPeers changes Peers while the chooser is in use.
func (c *Chooser) SetPeers(peers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Peers = peers
}

func (c *Chooser) peers() float64 { return float64(max(c.Peers, 1)) }

func (c *Chooser) usable(name string, now time.Time) bool {
	return c.Usable == nil || c.Usable(name, now)
}
