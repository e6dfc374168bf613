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

// maxWait is the maximum wait of a read for new records.
const maxWait = 30 * time.Second

// ServeHTTP implements http.Handler:
//
//	POST /v1/streams/{stream}/records               appends the body as a record; responds with {"offset":n}
//	GET  /v1/streams/{stream}/records?from=N&wait=D reads records; responds with a cowslipproxy.Batch
//	GET  /v1/control                                returns the settings
//	POST /v1/control                                changes the settings present in the JSON body
//	POST /v1/streams/{stream}/truncate?first=N      deletes the records before an offset
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
	if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var offset uint64
	if offset, err = s.Append(r.Context(), mux.Vars(r)["stream"], data); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]uint64{"offset": offset})
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
			http.Error(w, "wait: not a duration from 0 to "+maxWait.String(), http.StatusBadRequest)
			return
		}
	}
	var batch cowslipproxy.Batch
	if batch, err = s.Read(r.Context(), mux.Vars(r)["stream"], from, wait); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, batch)
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
	settings := s.Settings()
	if r.Method == http.MethodPost {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err == nil {
			err = decoder.StrictJSON(data, &settings)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetSettings(settings)
	}
	writeJSON(w, settings)
}

// writeError responds with an error. For a lost response it closes the connection,
// as a log that crashes after the append would.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrResponseLost) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the client has disconnected
}
