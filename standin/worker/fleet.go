// Package worker implements stand-ins for the servers of the users' platform: plain
// services, and model engines that run the layers of a request on a path of several
// engines.
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

// HeartbeatInterval is the interval at which a server writes its entry to the store.
const HeartbeatInterval = 200 * time.Millisecond

// Fleet holds all servers of a deployment. They register in a store.
type Fleet struct {
	Store *keeper.Store

	mu      sync.Mutex
	servers map[netip.AddrPort]*Server
	runs    []Run
	crashes []Crash
	closed  bool
	poison  string // part of prompts that crashes the engines which write an answer on it
	lastID  atomic.Int64
}

// Crash is a crash of an engine that starts again.
type Crash struct {
	Server string
	At     time.Time
}

const (
	// crashDelay is the time from the first event of a request with a poisonous part
	// until the engine crashes.
	crashDelay = 60 * time.Millisecond
	// crashDuration is the time until a crashed engine is back, under another id.
	crashDuration = 1500 * time.Millisecond
	// entryTimeout is the time after which the platform deletes the entry of a silent server.
	entryTimeout = 3 * HeartbeatInterval
)

// SetPoison sets a part of prompts that crashes each engine which begins to write an
// answer on it. An empty one ends that.
func (f *Fleet) SetPoison(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison = part
}

// isPoisonous reports whether the prompt of a request contains the poisonous part.
func (f *Fleet) isPoisonous(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poison == "" {
		return false
	}
	for _, part := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(part, ":"); id == f.poison {
			return true
		}
	}
	return false
}

// Crashes returns the crashes of engines, in order.
func (f *Fleet) Crashes() []Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Crash(nil), f.crashes...)
}

// CrashAndRestart crashes an engine, which starts again at its address without layers
// and under another id.
func (f *Fleet) CrashAndRestart(s *Server) {
	if s.isStopped() {
		return
	}
	s.Crash()
	f.mu.Lock()
	f.crashes = append(f.crashes, Crash{s.ID, time.Now()})
	f.mu.Unlock()
	time.AfterFunc(entryTimeout, func() { f.Store.Put("keyed.servers", s.ID, nil) })
	time.AfterFunc(crashDuration, func() { f.restart(s) })
}

// restart starts a server at the address of a crashed one, unless the fleet is closed.
func (f *Fleet) restart(s *Server) {
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return
	}
	if _, err := f.StartAt(s.Address, s.Settings); err != nil {
		time.AfterFunc(HeartbeatInterval, func() { f.restart(s) }) // the port is still in use
	}
}

// Run is one execution of a request by a server.
type Run struct {
	Server    string
	Service   string
	RequestID string
	Method    string
	Target    string
	Body      string
	Header    http.Header
	At        time.Time
	Complete  bool // the handler finished without aborting the response
}

// Fault is a fault that a server injects into its handling of requests.
type Fault string

// Faults of a server.
const (
	FaultNone     Fault = ""
	FaultFull     Fault = "full"     // responds with status 503 and X-Not-Executed, and runs nothing
	FaultReset    Fault = "reset"    // runs the request and closes the connection
	FaultBreak    Fault = "break"    // runs the request and closes the connection within the response
	FaultUnsigned Fault = "unsigned" // responds without a signature
	FaultForeign  Fault = "foreign"  // responds with the id of another request
	FaultEncoded  Fault = "encoded"  // responds with a Content-Encoding header
	FaultGarbage  Fault = "garbage"  // sends bytes that are not an HTTP response
	FaultUnframed Fault = "unframed" // sends a response without a length and resets the connection within it; a stream's connection is closed within an event
	FaultExtra    Fault = "extra"    // sends a second response after the complete one
	FaultError    Fault = "error"    // runs the request and responds with status 500
	FaultSlow     Fault = "slow"     // responds after one second
	FaultStall    Fault = "stall"    // an engine makes no progress on requests whose path includes it
)

// Settings describe a server to start.
type Settings struct {
	Service         string
	Zone            string
	AcceleratorKind string // kind of an engine's accelerator; empty for a plain service
}

// Start starts a server on a free port and registers it in the store.
func (f *Fleet) Start(settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return f.serve(listener, settings), nil
}

// StartAt starts a server at the address of a stopped one.
func (f *Fleet) StartAt(address netip.AddrPort, settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return f.serve(listener, settings), nil
}

func (f *Fleet) serve(listener net.Listener, settings Settings) *Server {
	s := &Server{
		Settings:      settings,
		ID:            fmt.Sprintf("i-%04d", f.lastID.Add(1)),
		Address:       netip.MustParseAddrPort(listener.Addr().String()),
		fleet:         f,
		startedMillis: time.Now().UnixMilli(),
		state:         "ready",
		stop:          make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	f.mu.Lock()
	if f.servers == nil {
		f.servers = map[netip.AddrPort]*Server{}
	}
	f.servers[s.Address] = s
	f.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }() // returns after Crash
	s.sendHeartbeat()
	go s.sendHeartbeats()
	return s
}

func (f *Fleet) server(address netip.AddrPort) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[address]
}

func (f *Fleet) allServers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.servers))
}

// Servers returns the running servers of a service, sorted by id.
func (f *Fleet) Servers(service string) []*Server {
	var found []*Server
	for _, s := range f.allServers() {
		if s.Service == service && !s.isStopped() {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return found
}

// Runs returns all runs in the order in which they started.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.runs...)
}

// RunsOf returns the runs of one request.
func (f *Fleet) RunsOf(id string) (found []Run) {
	for _, run := range f.Runs() {
		if run.RequestID == id {
			found = append(found, run)
		}
	}
	return found
}

// recordRun adds a run and returns its index in Fleet.runs.
func (f *Fleet) recordRun(s *Server, r *http.Request, body []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, Run{
		Server: s.ID, Service: s.Service, RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.RequestURI,
		Body: string(body), Header: r.Header.Clone(), At: time.Now(),
	})
	return len(f.runs) - 1
}

func (f *Fleet) completeRun(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[index].Complete = true
}

// IsStreaming reports whether an engine is still streaming the response to a request.
func (f *Fleet) IsStreaming(id string) bool {
	return slices.ContainsFunc(f.allServers(), func(s *Server) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.paths[id] != nil
	})
}

// Close stops all servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, s := range f.allServers() {
		s.Crash()
	}
}

// layerRange is a range of layers; End is exclusive.
type layerRange struct {
	First int `json:"from"`
	End   int `json:"target"`
}

// nextEntry returns the server's next entry for the store, with a new sequence number.
func (s *Server) nextEntry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats++
	entry := map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": slotCount, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.heartbeats, "born": s.startedMillis,
	}
	if s.AcceleratorKind != "" {
		entry["kind"] = s.AcceleratorKind
		entry["models"] = []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
		entry["layers"] = map[string]any{"from": s.layers.First, "target": s.layers.End, "version": 1}
	}
	data, _ := json.Marshal(entry) // the map holds only encodable values
	return data
}
