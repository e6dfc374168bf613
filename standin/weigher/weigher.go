// Package weigher is a stand-in for the platform's store of model weights. It serves the
// rate at which weights can be loaded, and the sizes of layer ranges.
package weigher

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/cowslipproxy/cowslipproxy"
)

// Store is a weight store in which all layers have the same size.
type Store struct {
	Rate      float64 // rate available for loads, in bytes per second
	LayerSize int64   // in bytes
}

// Handler returns the handler of GET /v1/rate and GET /v1/sizes?first=N&end=N.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/rate", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]float64{"rate": s.Rate})
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/sizes", s.serveSize).Methods(http.MethodGet)
	return router
}

func (s *Store) serveSize(w http.ResponseWriter, r *http.Request) {
	var layers cowslipproxy.LayerRange
	var err error
	if layers.First, err = strconv.Atoi(r.FormValue("first")); err == nil {
		layers.End, err = strconv.Atoi(r.FormValue("end"))
	}
	if err == nil {
		err = layers.Check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]int64{"bytes": s.LayerSize * int64(layers.Len())})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client disconnected
}
