package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	crashTime    = 2 * time.Second // until a crashed server is back
	eventPause   = 20 * time.Millisecond
	stallTime    = 2500 * time.Millisecond // stall_ms
	drainTime    = 2 * time.Second         // drain_ms
	entryTimeout = 3 * heartbeat
)

type connKey struct{}

// Server is a stand-in for a plain server or an engine. A crash ends its connections; it is back
// after crashTime at the same address, as another incarnation with another id.
type Server struct {
	lab     *Lab
	name    string // of the machine, kept over crashes
	service string
	zone    string
	address string
	engine  bool
	kind    string
	handle  func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool // serves a request in another way; may be nil

	mu       sync.Mutex
	id       string
	born     int64
	beats    int
	orders   int
	first    int // layers held
	end      int
	state    string
	up       bool
	isLeft   bool
	serving  *http.Server
	stalled  map[string]string // address that a request waits for, by its id
	paths    map[string]string // path of a request in progress, by its id
	crashes  int
	arrivals int
}

func (s *Server) start() error {
	listener, err := net.Listen("tcp", cmpOr(s.address, s.lab.ip+":0"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.crashes)
	s.born, s.beats, s.orders, s.first, s.end, s.state, s.up = time.Now().UnixMilli(), 0, 0, 0, 0, "ready", true
	s.stalled, s.paths = map[string]string{}, map[string]string{}
	s.serving = &http.Server{Handler: s, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}}
	serving, id := s.serving, s.id
	s.mu.Unlock()
	go func() { _ = serving.Serve(listener) }()
	go func() {
		for s.beat(id) {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// beat writes the server's entry, and reports whether this incarnation is still up.
func (s *Server) beat(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.id != id || s.isLeft {
		return false
	}
	s.beats++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 16, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.beats, "born": s.born,
	}
	if s.engine {
		entry["stage"], entry["kind"] = "both", s.kind
		entry["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		entry["layers"] = map[string]int{"from": s.first, "target": s.end, "version": 1}
	}
	data, _ := json.Marshal(entry)
	s.lab.store.put(topicServers, s.id, data)
	return true
}

// drain reports that the server is leaving.
func (s *Server) drain() {
	s.mu.Lock()
	s.state = "draining"
	id := s.id
	s.mu.Unlock()
	s.beat(id)
}

// crash ends the server, which starts again after crashTime.
func (s *Server) crash(why string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.crashes++
	id, serving := s.id, s.serving
	s.mu.Unlock()
	s.lab.record("crash server=%s id=%s %s", s.name, id, why)
	_ = serving.Close()
	time.AfterFunc(entryTimeout, func() { s.lab.store.put(topicServers, id, nil) })
	time.AfterFunc(crashTime, func() {
		for try := 0; s.start() != nil && try < 50; try++ {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (s *Server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	if expected := r.Header.Get(headerInstance); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", id)
		return
	case pathReport:
		s.serveReport(w)
		return
	case pathOrder:
		s.serveOrder(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(headerID)
	if request == "" {
		w.Header().Set(headerUnrun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(headerID, request)
	if s.handle != nil && s.handle(s, w, r, body) {
		return
	}
	if s.engine {
		s.serveStream(w, r)
		return
	}
	s.lab.recordRun(s, r)
	select {
	case <-time.After(15 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerSignature, "sig."+request)
	_, _ = io.WriteString(w, "answer to "+request+"\n")
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled := []map[string]string{}
	for id, address := range s.stalled {
		stalled = append(stalled, map[string]string{"id": id, "address": address})
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": s.orders, "queued": 0, "running": len(s.paths), "kv_used": 0, "kv_total": 1000000, "handles": 0,
		"layers": map[string]int{"from": s.first, "target": s.end, "version": 1}, "pace": 1.0, "stalled": stalled, "kind": s.kind, "born": s.born,
	})
}

type order struct {
	Op           string `json:"op"`
	From         int    `json:"from"`
	Target       int    `json:"target"`
	Precondition *int   `json:"precondition"`
	ID           string `json:"id"`
	Path         string `json:"path"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var wanted order
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil || !s.engine {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wanted.Precondition != nil && *wanted.Precondition != s.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch wanted.Op {
	case "place":
		if s.first == wanted.From && s.end == wanted.Target {
			w.WriteHeader(http.StatusOK)
			return
		}
		s.orders++
		s.first, s.end = 0, 0
		id := s.id
		time.AfterFunc(100*time.Millisecond, func() {
			s.mu.Lock()
			if s.id == id && s.up {
				s.first, s.end = wanted.From, wanted.Target
			}
			s.mu.Unlock()
			s.beat(id)
		})
		w.WriteHeader(http.StatusAccepted)
	case "repath":
		if _, ok := s.paths[wanted.ID]; !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.orders++
		s.paths[wanted.ID] = wanted.Path
		delete(s.stalled, wanted.ID)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// hop is a part of a path.
type hop struct {
	address     string
	first, last int
}

func parsePath(text string) (hops []hop) {
	for _, part := range strings.Split(text, ",") {
		address, layers, ok := strings.Cut(part, "=")
		if !ok {
			continue
		}
		from, to, _ := strings.Cut(layers, "-")
		first, _ := strconv.Atoi(from)
		last, _ := strconv.Atoi(to)
		hops = append(hops, hop{address, first, last})
	}
	return hops
}

// checkPath returns the status of a path that can't be used, and the address at fault.
func (s *Server) checkPath(hops []hop) (status int, address string) {
	for i, h := range hops {
		other := s.lab.serverAt(h.address)
		if i == 0 && other != s {
			return http.StatusBadRequest, h.address
		}
		if other == nil {
			return http.StatusServiceUnavailable, h.address
		}
		other.mu.Lock()
		up, state, first, end := other.up, other.state, other.first, other.end
		other.mu.Unlock()
		if !up || state != "ready" {
			return http.StatusServiceUnavailable, h.address
		}
		if first > h.first || end < h.last {
			return http.StatusMisdirectedRequest, h.address
		}
	}
	return 0, ""
}

// deadHop returns the address of the first server of a path that is down, if any.
func (s *Server) deadHop(path string) string {
	for _, h := range parsePath(path) {
		if other := s.lab.serverAt(h.address); other == nil || !other.isUp() {
			return h.address
		}
	}
	return ""
}

// streamEvent returns an event of an answer.
func streamEvent(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, request, number)
}

// track keeps the path of a request in progress, until the function that it returns is called.
func (s *Server) track(request, path string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[request] = path
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.paths, request)
		delete(s.stalled, request)
	}
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	request, path := r.Header.Get(headerID), r.Header.Get(headerPath)
	if status, address := s.checkPath(parsePath(path)); status != 0 {
		w.Header().Set(headerUnrun, "1")
		w.Header().Set(headerEngine, address)
		w.WriteHeader(status)
		return
	}
	defer s.track(request, path)()
	s.lab.recordRun(s, r)
	_, tokens, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	count, _ := strconv.Atoi(tokens)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSignature, "sig."+request)
	for number := after + 1; number <= count; number++ {
		if !s.awaitToken(r, request) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, streamEvent(request, number)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// awaitToken waits for the next token. It returns false if the caller left, or if a server of the
// path was dead for stallTime.
func (s *Server) awaitToken(r *http.Request, request string) bool {
	var stalledSince time.Time
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(eventPause):
		}
		s.mu.Lock()
		path := s.paths[request]
		s.mu.Unlock()
		dead := s.deadHop(path)
		if dead == "" {
			return true
		}
		s.mu.Lock()
		s.stalled[request] = dead
		s.mu.Unlock()
		if stalledSince.IsZero() {
			stalledSince = time.Now()
		}
		if time.Since(stalledSince) > stallTime {
			return false
		}
	}
}
