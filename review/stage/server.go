package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// backAfter is the time from the crash of a server to the start of its successor.
	backAfter = 2 * time.Second
	zone      = "a"
)

// behaviour is what the servers of a service do with a request.
type behaviour struct {
	service  string
	isEngine bool
	events   int           // of a stream; 0 for a plain answer
	interval time.Duration // between two events
	work     time.Duration // before the answer
	// isUnframed is set if answers come with neither a length nor chunks, and end with their channel.
	isUnframed bool
	// crashes reports whether a request crashes the server that begins to run it. Nil means never.
	crashes func(r *http.Request, body []byte) bool
}

// fleet runs the servers of all services and keeps what reached them.
type fleet struct {
	store  *store
	record *record

	mu       sync.Mutex
	servers  map[*server]struct{}
	arrivals []arrival
	closed   bool
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Time
	service string
	server  string
	id      string
	path    string
	body    string
	parts   string
	crashed bool
}

// server is a run of a server. A crash ends it, and another one with another id and address follows.
type server struct {
	behaviour
	fleet    *fleet
	id       string
	born     time.Time
	listener net.Listener
	http     *http.Server

	running atomic.Int64 // requests

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	ended      bool
	leaving    bool
	isReplaced bool // the server has started again under its id
	beats      int
	engine     engineState
}

func (f *fleet) start(b behaviour) error {
	_, err := f.startServer(b)
	return err
}

func (f *fleet) startServer(b behaviour) (*server, error) {
	return f.startAt(b, fmt.Sprintf("i-%08x", rand.Uint32()), "127.0.0.1:0")
}

func (f *fleet) startAt(b behaviour, id, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{behaviour: b, fleet: f, id: id, born: time.Now(), listener: listener, conns: map[net.Conn]struct{}{}}
	s.http = &http.Server{Handler: s, ConnState: s.follow}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errors.Join(errors.New("the deployment ends"), listener.Close())
	}
	if f.servers == nil {
		f.servers = map[*server]struct{}{}
	}
	f.servers[s] = struct{}{}
	go s.http.Serve(listener)
	go s.beat()
	f.record.add("server %s of %s starts at %s", s.id, s.service, listener.Addr())
	return s, nil
}

func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	var all []*server
	for s := range f.servers {
		all = append(all, s)
	}
	f.mu.Unlock()
	for _, s := range all {
		s.end()
	}
}

func (f *fleet) add(a arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// reached returns the requests that reached servers and that the filter accepts.
func (f *fleet) reached(accept func(a arrival) bool) (found []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if accept(a) {
			found = append(found, a)
		}
	}
	return found
}

func (s *server) follow(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(s.conns, conn)
	}
}

// beat writes the server's entry at each heartbeat until the server ends. The store removes the
// entry of a crashed server after three heartbeats of silence.
func (s *server) beat() {
	for {
		if s.hasEnded() {
			time.Sleep(2 * heartbeat)
			s.unregister()
			return
		}
		s.register()
		time.Sleep(heartbeat)
	}
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	data, err := json.Marshal(s.entry())
	if err != nil {
		panic(err) // unreachable: only maps of plain values are encoded
	}
	s.fleet.store.put(wire("servers"), s.id, data)
}

// unregister removes the server's entry, unless the server has started again under its id.
func (s *server) unregister() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReplaced {
		s.fleet.store.put(wire("servers"), s.id, nil)
	}
}

// entry returns the server's entry. The caller holds the lock.
func (s *server) entry() map[string]any {
	entry := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.beats, "born": s.born.UnixMilli(),
	}
	if s.leaving {
		entry["state"] = "draining"
	}
	if s.isEngine {
		entry["stage"], entry["models"] = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		entry["kind"], entry["layers"] = engineKind, s.engine.layers()
	}
	return entry
}

// drain reports that the server is leaving, and returns when the store has accepted that. The server
// goes on serving until end is called.
func (s *server) drain() (acked time.Time) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.register()
	s.fleet.record.add("the store has accepted that server %s of %s is draining", s.id, s.service)
	return time.Now()
}

// end closes the listener and resets all connections, as the end of a process does.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.listener.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	s.mu.Unlock()
	s.fleet.mu.Lock()
	delete(s.fleet.servers, s)
	s.fleet.mu.Unlock()
}

// crash ends the server and starts another one some seconds later.
func (s *server) crash() {
	s.fleet.record.add("server %s of %s crashes", s.id, s.service)
	s.end()
	time.AfterFunc(backAfter, func() {
		if err := s.fleet.start(s.behaviour); err != nil {
			s.fleet.record.add("a server of %s doesn't start: %v", s.service, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get(wire("instance")); wanted != "" && wanted != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case wire("report"):
		s.serveReport(w)
		return
	case wire("order"):
		s.serveOrder(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire("id"))
	if s.isEngine && !s.holdsPath(r.Header.Get(wire("path"))) {
		w.Header().Set(wire("id"), id)
		w.Header().Set(wire("engine"), s.listener.Addr().String())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), service: s.service, server: s.id, id: id, path: r.URL.RequestURI(), body: string(body), parts: r.Header.Get(wire("parts"))}
	a.crashed = s.crashes != nil && s.crashes(r, body)
	s.fleet.add(a)
	s.fleet.record.add("request %s %s reaches %s of %s and runs, crashes=%v", id, a.path, s.id, s.service, a.crashed)
	if a.crashed {
		s.crash()
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set(wire("id"), id)
	w.Header().Set(wire("signature"), "sig."+s.id+"."+id)
	s.answer(w, r, id)
}

// answer works on a request and answers it.
func (s *server) answer(w http.ResponseWriter, r *http.Request, id string) {
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	time.Sleep(s.work)
	if s.events == 0 {
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	if s.isUnframed {
		s.streamUnframed(w, r)
		return
	}
	s.stream(r.Context(), w, r)
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// streamUnframed writes the same stream on the bare channel.
func (s *server) streamUnframed(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() {
		conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	id := r.Header.Get(wire("id"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: sig.%s.%s\r\n\r\n", wire("id"), id, wire("signature"), s.id, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= s.events; number++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: t%d\n\n", number, number); err != nil {
			return
		}
		time.Sleep(s.interval)
	}
}

func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= s.events && ctx.Err() == nil; number++ {
		fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", number, number)
		http.NewResponseController(w).Flush()
		time.Sleep(s.interval)
	}
}
