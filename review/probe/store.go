package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a log of records per topic, all of them in
// partition 0. It is always available, and loses nothing.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	added  chan struct{} // closed at the next append
}

func newStore() *store { return &store{topics: map[string][][]byte{}, added: make(chan struct{})} }

// answerTime is how long the store takes for an answer, as the deployment's sheet says.
const answerTime = 4 * time.Millisecond

// serve starts the store's HTTP API and returns its address.
func (s *store) serve(ip string) (address string, stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], s.serveAppend)
	mux.HandleFunc("GET "+names["read"], s.serveRead)
	mux.HandleFunc("GET "+names["newest"], s.serveNewest)
	return serveHTTP(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names["era"], "1")
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	}))
}

// serveHTTP serves a handler at a free port.
func serveHTTP(ip string, handler http.Handler) (address string, stop func()) {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with stop
	return listener.Addr().String(), func() { _ = server.Close() }
}

// put appends a record to a keyed topic. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.append(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) append(topic string, records [][]byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.added)
	s.added = make(chan struct{})
	return offset
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var records [][]byte
	for err == nil && len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := 4 + int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:size])
		body = body[size:]
	}
	offset := s.append(r.FormValue("topic"), records)
	writeJSON(w, map[string]any{"offset": offset, "end": offset + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, added := s.topics[r.FormValue("topic")], s.added
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		if from == len(records) && wait > 0 {
			select {
			case <-added:
				continue
			case <-deadline:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		data = binary.BigEndian.AppendUint64(data, 0)
		for _, record := range records[from:] {
			data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
		}
		_, _ = w.Write(data) // fails only if the daemon disconnected
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.FormValue("topic")]
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := map[string]item{}
	for offset, record := range records {
		size := 1 + int(record[0])
		key := string(record[1:size])
		delete(byKey, key)
		if len(record) > size {
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(record[size:]), offset}
		}
	}
	items := []item{}
	for _, found := range byKey {
		if found.Key > r.FormValue("after") {
			items = append(items, found)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the daemon disconnected
}
