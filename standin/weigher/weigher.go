// Package weigher stands in for the platform's store of model weights: it tells
// the rate that is left for loads and the sizes of layers.
package weigher

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/cowslipproxy/cowslipproxy"
)

// Store is a weight store in which all layers have one size.
type Store struct {
	Rate  float64 // bytes per second
	Layer int64   // bytes
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/rate", func(w http.ResponseWriter, _ *http.Request) {
		write(w, map[string]float64{"rate": s.Rate})
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/sizes", s.size).Methods(http.MethodGet)
	return router
}

func (s *Store) size(w http.ResponseWriter, r *http.Request) {
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
	write(w, map[string]int64{"bytes": s.Layer * int64(layers.Len())})
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a client that is gone can't be told
}
