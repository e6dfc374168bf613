package appender

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// maxWait bounds how long a read waits.
const maxWait = 30 * time.Second

// ServeHTTP implements http.Handler:
//
//	POST /v1/streams/{stream}/records               append the body; answers {"offset":n}
//	GET  /v1/streams/{stream}/records?from=N&wait=D read; answers a cowslipproxy.Batch
//	GET  /v1/control                                settings
//	POST /v1/control                                change the settings that the JSON body names
//	POST /v1/streams/{stream}/truncate?first=N      drop the records before an offset
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams/{stream}/records", s.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", s.serveRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{stream}/truncate", s.serveTruncate).Methods(http.MethodPost)
	router.HandleFunc("/v1/control", s.serveControl).Methods(http.MethodGet, http.MethodPost)
	router.ServeHTTP(w, r)
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	var data []byte
	var err error
	if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord)); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var offset uint64
	if offset, err = s.Append(r.Context(), mux.Vars(r)["stream"], data); err != nil {
		fail(w, err)
		return
	}
	answer(w, map[string]uint64{"offset": offset})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	var from uint64
	var wait time.Duration
	var err error
	if from, err = strconv.ParseUint(r.FormValue("from"), 10, 64); err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	if text := r.FormValue("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			http.Error(w, "wait: accepted are durations from 0 to "+maxWait.String(), http.StatusBadRequest)
			return
		}
	}
	var batch cowslipproxy.Batch
	if batch, err = s.Read(r.Context(), mux.Vars(r)["stream"], from, wait); err != nil {
		fail(w, err)
		return
	}
	answer(w, batch)
}

func (s *Server) serveTruncate(w http.ResponseWriter, r *http.Request) {
	var first uint64
	var err error
	if first, err = strconv.ParseUint(r.FormValue("first"), 10, 64); err != nil {
		http.Error(w, "first: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.Truncate(mux.Vars(r)["stream"], first)
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if r.Method == http.MethodPost {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
		if err == nil {
			err = decoder.StrictJSON(data, &faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	}
	answer(w, faults)
}

// fail answers an error. A lost answer breaks the connection, as the caller of a
// log that died after the append would see it.
func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrLost) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller is gone when it fails
}
