// Package operator serves the operator API over HTTP.
package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"path"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const maxBodySize = 1 << 20 // bytes

// DrainRequest is a request to start or end the drain of an upstream. A drained
// upstream gets no new requests.
type DrainRequest struct {
	Upstream string `json:"upstream" validate:"required,max=64"`
	On       bool   `json:"on"` // true starts the drain
}

// ExplainRequest is a request to explain how the daemon would route a request.
type ExplainRequest struct {
	Customer string `json:"customer" validate:"required,max=64"`
	Model    string `json:"model" validate:"required_without=Service,max=160"`
	Service  string `json:"service" validate:"required_without=Model,max=64"`
	Method   string `json:"method" validate:"max=16"`
	Path     string `json:"path" validate:"max=256"`
	Prompt   string `json:"prompt" validate:"max=1000000"`
	Max      int    `json:"max" validate:"gte=0,lte=10000000"`
}

// Health is the response of /v1/health.
type Health struct {
	Name   string `json:"name"`
	Ready  bool   `json:"ready"`
	Phase  string `json:"phase"`
	Offset uint64 `json:"offset"` // log offset of the active configuration
}

// Server serves the operator API over HTTP. Its exported fields are set before Handler is
// called.
type Server struct {
	Health         func() Health
	Dump           func() any
	Explain        func(ExplainRequest) (any, error)
	Drain          func(DrainRequest)
	Stop           func()                        // begins a planned stop of the daemon
	Lift           func(fingerprint string) bool // ends the quarantine; false if there is none
	Version        func() any
	Metrics        metrics.Registry
	RefreshMetrics func() // updates the gauges before the metrics are written; may be nil
}

// Handler returns the handler of the operators' listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/health", s.health).Methods(http.MethodGet)
	router.HandleFunc("/v1/dump", s.dump).Methods(http.MethodGet)
	router.HandleFunc("/v1/version", s.version).Methods(http.MethodGet)
	router.HandleFunc("/v1/explain", s.explain).Methods(http.MethodPost)
	router.HandleFunc("/v1/drain", s.drain).Methods(http.MethodPut)
	router.HandleFunc("/v1/stop", s.stop).Methods(http.MethodPost)
	router.HandleFunc("/v1/quarantine/{fingerprint}", s.lift).Methods(http.MethodDelete)
	router.PathPrefix("/debug/pprof/").HandlerFunc(profile).Methods(http.MethodGet)
	router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	return router
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	health := s.Health()
	status := http.StatusOK
	if !health.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Dump()) }

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Version())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	var request ExplainRequest
	if !readRequest(w, r, &request) {
		return
	}
	var explanation any
	var err error
	if explanation, err = s.Explain(request); err != nil {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !readRequest(w, r, &request) {
		return
	}
	s.Drain(request)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) stop(w http.ResponseWriter, _ *http.Request) {
	s.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) lift(w http.ResponseWriter, r *http.Request) {
	if !s.Lift(mux.Vars(r)["fingerprint"]) {
		writeJSON(w, http.StatusNotFound, errorResponse{Error: "no such fingerprint is quarantined"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	if s.RefreshMetrics != nil {
		s.RefreshMetrics()
	}
	w.Header().Set("Content-Type", reporter.TextFormat)
	_ = reporter.WriteText(w, s.Metrics) // the client may be disconnected
}

// profile serves the runtime's profiles. They contain no request content.
func profile(w http.ResponseWriter, r *http.Request) {
	switch path.Base(r.URL.Path) {
	case "profile":
		pprof.Profile(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}

type errorResponse struct {
	Error string `json:"error"`
}

// readRequest decodes a request body. On failure it writes an error response and returns
// false.
func readRequest(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err == nil {
		err = decoder.StrictJSON(data, value)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // the client may be disconnected
}
