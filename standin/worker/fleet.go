// Package worker stands in for the servers of the users' platform: plain
// services, and model engines that run a request's layers on a path among
// themselves.
package worker

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
)

// Heartbeat is the time between two entries of a server in the store.
const Heartbeat = 200 * time.Millisecond

// Fleet is all servers of a deployment, which register in a store.
type Fleet struct {
	Store *keeper.Store

	mu      sync.Mutex
	servers map[netip.AddrPort]*Server
	runs    []Run
	started atomic.Int64
}

// Run is one request that a server began to run.
type Run struct {
	Server   string
	Service  string
	ID       string
	Method   string
	Target   string
	Body     string
	Header   http.Header
	At       time.Time
	Complete bool
}

// Kind is how a server misbehaves towards requests.
type Kind string

// Kinds of misbehaviour.
const (
	KindNone     Kind = ""
	KindFull     Kind = "full"     // refuses and says that nothing ran
	KindReset    Kind = "reset"    // runs the request and closes the connection
	KindBreak    Kind = "break"    // runs the request and breaks the answer off
	KindUnsigned Kind = "unsigned" // answers without a signature
	KindForeign  Kind = "foreign"  // answers with another request's id
	KindEncoded  Kind = "encoded"  // answers with an encoded body
	KindGarbage  Kind = "garbage"  // sends bytes that are no answer
	KindUnframed Kind = "unframed" // resets an answer that has no length
	KindExtra    Kind = "extra"    // sends further bytes after the whole answer
	KindError    Kind = "error"    // runs the request and answers 500
	KindSlow     Kind = "slow"     // answers after a second
	KindStall    Kind = "stall"    // an engine that does nothing for requests on its path
)

// Settings are how a server starts.
type Settings struct {
	Service string
	Zone    string
	Kind    string // of an engine's accelerator; empty for a plain service
}

// Start starts a server at a new address and registers it.
func (f *Fleet) Start(settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return f.serve(listener, settings), nil
}

// Reuse starts a server at the address of one that has ended.
func (f *Fleet) Reuse(address netip.AddrPort, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return f.serve(listener, settings), nil
}

func (f *Fleet) serve(listener net.Listener, settings Settings) *Server {
	s := &Server{
		Settings: settings,
		ID:       fmt.Sprintf("i-%04d", f.started.Add(1)),
		Address:  netip.MustParseAddrPort(listener.Addr().String()),
		fleet:    f,
		born:     time.Now().UnixMilli(),
		state:    "ready",
		stop:     make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	f.mu.Lock()
	if f.servers == nil {
		f.servers = map[netip.AddrPort]*Server{}
	}
	f.servers[s.Address] = s
	f.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }() // ends with Crash or Stop
	s.beat()
	go s.beats()
	return s
}

func (f *Fleet) at(address netip.AddrPort) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[address]
}

func (f *Fleet) all() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.servers))
}

// Servers returns the servers of a service that have not ended, by id.
func (f *Fleet) Servers(service string) []*Server {
	var found []*Server
	for _, s := range f.all() {
		if s.Service == service && !s.ended() {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return found
}

// Runs returns the requests that servers began to run, in order.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// RunsOf returns the runs of one request.
func (f *Fleet) RunsOf(id string) (found []Run) {
	for _, run := range f.Runs() {
		if run.ID == id {
			found = append(found, run)
		}
	}
	return found
}

func (f *Fleet) begin(s *Server, r *http.Request, body []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, Run{
		Server: s.ID, Service: s.Service, ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI,
		Body: string(body), Header: r.Header.Clone(), At: time.Now(),
	})
	return len(f.runs) - 1
}

func (f *Fleet) complete(run int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[run].Complete = true
}

// IsRunning reports whether an engine still works on a request.
func (f *Fleet) IsRunning(id string) bool {
	return slices.ContainsFunc(f.all(), func(s *Server) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.paths[id] != nil
	})
}

// Close ends all servers.
func (f *Fleet) Close() {
	for _, s := range f.all() {
		s.Crash()
	}
}

type span struct {
	From   int `json:"from"`
	Target int `json:"target"`
}

func (s *Server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	entry := map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.Kind != "" {
		entry["kind"] = s.Kind
		entry["models"] = []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
		entry["layers"] = map[string]any{"from": s.layers.From, "target": s.layers.Target, "version": 1}
	}
	data, _ := json.Marshal(entry) // always encodes
	return data
}
