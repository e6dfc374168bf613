package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// engineProfile is the field "engine" of a service whose servers hold layers.
//
//go:embed engine.json
var engineProfile []byte

const (
	engineLayers = 12
	streamEvents = 77
	eventTime    = 50 * time.Millisecond
)

// engine is a model server that can hold all layers. It starts empty and follows orders.
type engine struct {
	fleet *fleet
	id    string

	mu       sync.Mutex
	layers   [2]int
	sequence int // number of accepted orders
}

// startEngine starts an engine and returns a function that stops it.
func (f *fleet) startEngine(ip, service, id string) (stop func()) {
	e := &engine{fleet: f, id: id}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["report"], e.serveReport)
	mux.HandleFunc("POST "+names["order"], e.serveOrder)
	mux.HandleFunc("/", e.serveStream)
	address, stopHTTP := serveHTTP(ip, mux)
	ended := make(chan struct{})
	go f.beat(ended, id, func() map[string]any {
		e.mu.Lock()
		defer e.mu.Unlock()
		return map[string]any{
			"service": service, "address": address, "slots": 192, "kind": "big", "stage": "both",
			"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "layers": e.encodedLayers(),
		}
	})
	return func() { close(ended); stopHTTP() }
}

func (e *engine) encodedLayers() any {
	return map[string]int{"from": e.layers[0], "target": e.layers[1], "version": 1}
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 1000000, "handles": 0,
		"layers": e.encodedLayers(), "pace": 1,
	})
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string `json:"op"`
		From, Target int
		Precondition *int `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Precondition != nil && *order.Precondition != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.layers = [2]int{order.From, order.Target}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(names["instance"]); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	isComplete := e.layers == [2]int{0, engineLayers}
	e.mu.Unlock()
	if !isComplete {
		w.Header().Set(names["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.fleet.record(e.id, r, string(body))
	w.Header().Set(names["id"], r.Header.Get(names["id"]))
	w.Header().Set(names["signature"], "sig-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", number, number); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(eventTime)
	}
}
