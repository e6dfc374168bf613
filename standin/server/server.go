// Package server implements a stand-in for a plain service. It posts renewal fees,
// sends confirmations and answers lookups, and injects the faults that are set.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const maxBody = 64 << 20

// Server is one server of the service. Its exported fields must be set before the first use.
type Server struct {
	EffectLog *EffectLog // nil means a log of its own
	Name      string     // included in the responses of /echo

	once       sync.Once
	router     *mux.Router
	mu         sync.Mutex
	faults     []Fault
	honourKeys bool
	crashed    bool
	received   int
}

// echo is the response of /echo: the request as the server received it.
type echo struct {
	Server string      `json:"server"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.EffectLog == nil {
			s.EffectLog = &EffectLog{}
		}
		s.router = mux.NewRouter()
		s.router.HandleFunc("/control", s.control).Methods(http.MethodPut)
		s.router.HandleFunc("/account", s.account).Methods(http.MethodGet)
		s.router.HandleFunc("/fees", s.withFaults(s.effect)).Methods(http.MethodPost)
		s.router.HandleFunc("/confirmations", s.withFaults(s.effect)).Methods(http.MethodPost)
		s.router.HandleFunc("/tenancies/{id}", s.withFaults(s.lookup)).Methods(http.MethodGet)
		s.router.HandleFunc("/stock/{id}", s.withFaults(s.lookup)).Methods(http.MethodGet)
		s.router.HandleFunc("/stream", s.withFaults(s.stream))
		s.router.PathPrefix("/echo").HandlerFunc(s.withFaults(s.echo))
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.router.ServeHTTP(w, r)
}

// Set replaces the faults and sets whether Idempotency-Key is honoured.
func (s *Server) Set(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.honourKeys = append([]Fault(nil), control.Faults...), control.HonourKeys
}

// Received returns the number of received requests, without those to /control and
// /account.
func (s *Server) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// recordRequest counts a request and returns the fault to inject into it.
func (s *Server) recordRequest(path string) (fault Fault, honourKeys, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	for i := range s.faults {
		if !strings.HasPrefix(path, s.faults[i].Path) {
			continue
		}
		fault = s.faults[i]
		if fault.Count > 0 {
			if s.faults[i].Count--; s.faults[i].Count == 0 {
				s.faults = append(s.faults[:i], s.faults[i+1:]...)
			}
		}
		break
	}
	return fault, s.honourKeys, s.crashed
}

type faultHandler func(w http.ResponseWriter, r *http.Request, body string, fault Fault, honourKeys bool)

// withFaults wraps a handler with the faults that occur before the effect of a request.
func (s *Server) withFaults(next faultHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, honourKeys, crashed := s.recordRequest(r.URL.Path)
		if crashed || fault.Kind == FaultClose {
			panic(http.ErrAbortHandler)
		}
		if fault.Kind == FaultRefuse {
			http.Error(w, "not started", http.StatusTooEarly)
			return
		}
		if fault.Kind == FaultDelay && !sleep(r, fault.Wait) {
			return
		}
		var body []byte
		var err error
		if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if fault.Kind == FaultCrash && strings.Contains(string(body), fault.Text) {
			s.crash()
			panic(http.ErrAbortHandler)
		}
		next(w, r, string(body), fault, honourKeys)
	}
}

func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
}

// sleep waits and reports whether it waited in full. It returns early if the request is
// cancelled.
func sleep(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) effect(w http.ResponseWriter, r *http.Request, body string, fault Fault, honourKeys bool) {
	request := r.Header.Get("Cowslip-Request")
	effect := Effect{Path: r.URL.Path, Request: request, Key: r.Header.Get("Idempotency-Key"), Body: body}
	result := s.EffectLog.apply(effect, honourKeys, response{status: http.StatusCreated, body: fmt.Sprintf("{\"request\":%q}\n", request)})
	if fault.Kind == FaultLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if fault.Kind == FaultTruncate {
		w.Header().Set("Content-Length", fmt.Sprint(len(result.body)))
		w.WriteHeader(result.status)
		_, _ = io.WriteString(w, result.body[:len(result.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(result.status)
	_, _ = io.WriteString(w, result.body) // fails only if the caller disconnected
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request, _ string, fault Fault, _ bool) {
	if fault.Kind == FaultLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]string{"id": mux.Vars(r)["id"], "state": "current"})
}

// stream responds with one event for each line of the body, and [DONE] at the end.
func (s *Server) stream(w http.ResponseWriter, _ *http.Request, body string, fault Fault, _ bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for line := range strings.Lines(body) {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", strings.TrimSpace(line))
		_ = controller.Flush()
		if fault.Kind == FaultTruncate {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request, body string, _ Fault, _ bool) {
	w.Header().Set("Connection", "X-Hop")
	w.Header().Set("X-Hop", "1")
	w.Header().Set("X-End", "1")
	writeJSON(w, echo{Server: s.Name, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Header: r.Header, Body: body})
}

func (s *Server) account(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.EffectLog.Effects()) }

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var body []byte
	var err error
	if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var control Control
	if err := decoder.StrictJSON(body, &control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(control)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller disconnected
}
