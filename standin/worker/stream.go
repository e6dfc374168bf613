package worker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Event returns the event of a stream with a number from 1.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", number, id, number)
}

// stream runs a request's layers on its path and sends an event for each token
// that the caller asked for.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, body []byte, kind Kind) {
	id := r.Header.Get("X-Request-Id")
	path := parsePath(r.Header.Get("X-Hop-Count"))
	if status, at := s.refuses(path); status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", at)
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
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // not given: from the start
	_, text, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	count, err := strconv.Atoi(text)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := s.fleet.begin(s, r, body)
	w.Header().Set("X-Response-Signature", "sig-"+s.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= count; number++ {
		if !s.step(r, id) {
			panic(http.ErrAbortHandler)
		}
		event := Event(id, number)
		if kind == KindBreak && number == last+max(count/10, 1) {
			_, _ = io.WriteString(w, event[:len(event)/2]) // fails only when the caller is gone
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
	s.fleet.complete(run)
}

// refuses reports with which status the path is refused, and for which engine.
func (s *Server) refuses(path []hop) (status int, at string) {
	for i, hop := range path {
		other := s.fleet.at(hop.address)
		if i == 0 && other != s {
			return http.StatusBadRequest, ""
		}
		if other == nil {
			return http.StatusServiceUnavailable, hop.address.String()
		}
		other.mu.Lock()
		holds := other.layers.From <= hop.layers.From && hop.layers.Target <= other.layers.Target
		usable := !other.dead && other.state == "ready"
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

// step waits for one token. It reports false when the caller left or an engine
// of the path was gone for too long.
func (s *Server) step(r *http.Request, id string) bool {
	limit := time.Now().Add(stallTime)
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(eventGap):
		}
		if s.flows(id) {
			return true
		}
		if time.Now().After(limit) {
			return false
		}
	}
}

func (s *Server) flows(id string) bool {
	s.mu.Lock()
	path := s.paths[id]
	s.mu.Unlock()
	for _, hop := range path {
		if s.fleet.at(hop.address).stalls() {
			return false
		}
	}
	return true
}
