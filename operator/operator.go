// Package operator serves operators over HTTP.
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

const maxBody = 1 << 20

// Drain orders that an upstream gets no new work, or gets it again.
type Drain struct {
	Upstream string `json:"upstream" validate:"required,max=64"`
	On       bool   `json:"on"`
}

// Question asks what the daemon would decide for a request.
type Question struct {
	Customer string `json:"customer" validate:"required,max=64"`
	Model    string `json:"model" validate:"required_without=Service,max=160"`
	Service  string `json:"service" validate:"required_without=Model,max=64"`
	Method   string `json:"method" validate:"max=16"`
	Path     string `json:"path" validate:"max=256"`
	Prompt   string `json:"prompt" validate:"max=1000000"`
	Max      int    `json:"max" validate:"gte=0,lte=10000000"`
}

// Health is the answer of /v1/health.
type Health struct {
	Name   string `json:"name"`
	Ready  bool   `json:"ready"`
	Phase  string `json:"phase"`
	Offset uint64 `json:"offset"` // log offset of the configuration in force
}

// Server serves operators. Its exported fields are set before Handler is called.
type Server struct {
	Health  func() Health
	Dump    func() any
	Explain func(Question) (any, error)
	Drain   func(Drain)
	Stop    func() // begins a planned stop of the daemon
	Lift    func(fingerprint string) bool
	Version func() any
	Metrics metrics.Registry
	Refresh func() // sets the gauges that show state, before they are written; may be nil
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
	write(w, status, health)
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, s.Dump()) }

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, s.Version())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	var question Question
	if !read(w, r, &question) {
		return
	}
	var answer any
	var err error
	if answer, err = s.Explain(question); err != nil {
		write(w, http.StatusNotFound, fault{Error: err.Error()})
		return
	}
	write(w, http.StatusOK, answer)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var order Drain
	if !read(w, r, &order) {
		return
	}
	s.Drain(order)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) stop(w http.ResponseWriter, _ *http.Request) {
	s.Stop()
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) lift(w http.ResponseWriter, r *http.Request) {
	if !s.Lift(mux.Vars(r)["fingerprint"]) {
		write(w, http.StatusNotFound, fault{Error: "no such fingerprint is quarantined"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	if s.Refresh != nil {
		s.Refresh()
	}
	w.Header().Set("Content-Type", reporter.TextFormat)
	_ = reporter.WriteText(w, s.Metrics) // a scraper that is gone can't be told
}

// profile serves the runtime's profiles. They hold no content of requests.
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

type fault struct {
	Error string `json:"error"`
}

// read decodes a request's body, or answers with what is wrong with it.
func read(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = decoder.StrictJSON(data, value)
	}
	if err != nil {
		write(w, http.StatusBadRequest, fault{Error: err.Error()})
		return false
	}
	return true
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // an operator that is gone can't be told
}
