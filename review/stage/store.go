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

const (
	maxPageItems = 500
	maxWait      = 30 * time.Second
)

// store is a stand-in for the platform's metadata store. It loses nothing and is never slow.
type store struct {
	address string
	http    *http.Server

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

type topic struct {
	records [][]byte
	newest  map[string]int // offset of the newest record by key
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire("append"), s.serveAppend)
	mux.HandleFunc("GET "+wire("read"), s.serveRead)
	mux.HandleFunc("GET "+wire("newest"), s.serveNewest)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
	return s, nil
}

func (s *store) close() { s.http.Close() }

// put writes a record of a keyed topic, as the operator and the servers do.
func (s *store) put(topicName, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.append(topicName, [][]byte{record})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, records [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	for _, record := range records {
		if strings.HasPrefix(name, wire("keyed")) && len(record) > 0 && len(record) > int(record[0]) {
			key := string(record[1 : 1+int(record[0])])
			if len(record) == 1+len(key) {
				delete(t.newest, key)
			} else {
				t.newest[key] = len(t.records)
			}
		}
		t.records = append(t.records, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == wire("op") || name == wire("servers") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(data[4:4+size]))
		data = data[4+size:]
	}
	offset, end := s.append(name, records)
	writeJSON(w, map[string]any{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := len(t.records)
		var records [][]byte
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first": 0})
			return
		}
		if len(records) == 0 && waitMillis > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(end))
		answer = binary.BigEndian.AppendUint64(answer, 0)
		for _, record := range records {
			answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
			answer = append(answer, record...)
		}
		w.Write(answer)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	truncated := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		record := t.records[t.newest[key]]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record[1+len(key):]), "offset": t.newest[key]})
	}
	writeJSON(w, map[string]any{"items": items, "truncated": truncated, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: only maps of plain values are encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}
