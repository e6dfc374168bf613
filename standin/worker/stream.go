package worker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Event returns the event of a stream by its number, which counts from 1.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", number, id, number)
}

// serveStream runs the layers of a request on its path and sends an event for each
// requested token.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	id := r.Header.Get("X-Request-Id")
	path := parsePath(r.Header.Get("X-Hop-Count"))
	if status, server := s.checkPath(path); status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", server)
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	if s.paths == nil {
		s.paths = map[string][]hop{}
	}
	s.paths[id] = path
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.paths, id)
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header, the stream starts at event 1
	_, text, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	count, err := strconv.Atoi(text)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := s.fleet.recordRun(s, r, body)
	w.Header().Set("X-Response-Signature", "sig-"+s.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= count; number++ {
		if !s.waitForToken(r, id) {
			panic(http.ErrAbortHandler)
		}
		event := Event(id, number)
		if fault == FaultBreak && number == last+max(count/10, 1) {
			_, _ = io.WriteString(w, event[:len(event)/2]) // fails only if the caller disconnected
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	s.fleet.completeRun(run)
}

// checkPath returns the status with which the path is refused, and the address of
// the engine that refuses it. The status is 0 if the path is accepted.
func (s *Server) checkPath(path []hop) (status int, server string) {
	for i, hop := range path {
		other := s.fleet.server(hop.address)
		if i == 0 && other != s {
			return http.StatusBadRequest, ""
		}
		if other == nil {
			return http.StatusServiceUnavailable, hop.address.String()
		}
		other.mu.Lock()
		holds := other.layers.From <= hop.layers.From && hop.layers.Target <= other.layers.Target
		usable := !other.stopped && other.state == "ready"
		other.mu.Unlock()
		if !holds {
			return http.StatusMisdirectedRequest, hop.address.String()
		}
		if !usable {
			return http.StatusServiceUnavailable, hop.address.String()
		}
	}
	return 0, ""
}

// waitForToken waits until the next token is computed. It returns false if the caller
// disconnected, or if an engine of the path was stalled for stallTimeout.
func (s *Server) waitForToken(r *http.Request, id string) bool {
	deadline := time.Now().Add(stallTimeout)
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(eventInterval):
		}
		if s.isProgressing(id) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

func (s *Server) isProgressing(id string) bool {
	s.mu.Lock()
	path := s.paths[id]
	s.mu.Unlock()
	for _, hop := range path {
		if s.fleet.server(hop.address).isStalled() {
			return false
		}
	}
	return true
}
