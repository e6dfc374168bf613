package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	layers     = 8 // of the model
	engineKind = "big"
	loadTime   = 400 * time.Millisecond // of all layers
)

// engineState is what an engine holds and does. An engine starts empty.
type engineState struct {
	from, target int
	isBusy       bool
	orders       int // that have begun
}

func (e engineState) layers() map[string]any {
	return map[string]any{"from": e.from, "target": e.target, "version": 1}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": s.engine.isBusy, "sequence": s.engine.orders,
		"queued": 0, "running": 1, "kv_used": 0, "kv_total": 1000000, "handles": 0, "layers": s.engine.layers(), "kind": engineKind, "pace": 1.0, "stalled": []any{}, "born": s.born.UnixMilli(),
	})
}

// serveOrder accepts an order to hold layers. There is no other path for a request than one engine, so
// that no request can be given another path.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op           string
		From, Target int
		Precondition *int
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.Op == "repath":
		w.WriteHeader(http.StatusNotFound)
	case order.Op != "place" || !s.isEngine:
		w.WriteHeader(http.StatusBadRequest)
	case order.Precondition != nil && *order.Precondition != s.engine.orders || s.engine.isBusy:
		w.WriteHeader(http.StatusConflict)
	case order.From == s.engine.from && order.Target == s.engine.target:
		w.WriteHeader(http.StatusOK)
	default:
		s.engine.orders++
		s.engine.isBusy = true
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(loadTime*time.Duration(order.Target-order.From)/layers, func() {
			s.mu.Lock()
			s.engine.from, s.engine.target, s.engine.isBusy = order.From, order.Target, false
			s.mu.Unlock()
			if !s.hasEnded() {
				s.register()
			}
		})
	}
}

// holdsPath reports whether the engine alone is the path of a request and holds its layers.
func (s *server) holdsPath(path string) bool {
	address, span, _ := strings.Cut(path, "=")
	from, target := 0, layers
	if path != "" {
		if _, err := fmt.Sscanf(span, "%d-%d", &from, &target); err != nil || address != s.listener.Addr().String() {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.from <= from && target <= s.engine.target && from < target
}

// awaitLayers waits until all engines hold all layers.
func (f *fleet) awaitLayers(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if f.holdsLayers() {
			return nil
		}
	}
	return fmt.Errorf("some engines hold no layers after %v", limit)
}

func (f *fleet) holdsLayers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.servers {
		s.mu.Lock()
		isPlaced := s.engine.target-s.engine.from == layers
		s.mu.Unlock()
		if s.isEngine && !isPlaced {
			return false
		}
	}
	return true
}
