package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// keepTime is the history that the store keeps of topics without keys.
const keepTime = 20 * time.Second

// Store is a stand-in for the platform's metadata store. It holds one partition per topic.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
	down    bool
	era     int // value of Store-Era
}

type topic struct {
	records []record
}

type record struct {
	data []byte
	at   time.Time
}

func newStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
}

func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

func (s *Store) append(name string, data []byte) int {
	t := s.topic(name)
	t.records = append(t.records, record{data, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(t.records) - 1
}

// put writes a record of a keyed topic, as the operator and the servers do. An empty value drops
// the key.
func (s *Store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// setDown makes the store refuse all calls with 503, or ends that.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case pathAppend:
		s.serveAppend(w, r)
	case pathRead:
		s.serveRead(w, r)
	case pathNewest:
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == topicOp || name == topicServers {
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
		records = append(records, data[4:4+size])
		data = data[4+size:]
	}
	time.Sleep(4 * time.Millisecond) // append_ms
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	for _, data := range records {
		s.append(name, data)
	}
	reply(w, http.StatusOK, map[string]int{"offset": end, "end": len(t.records)})
}

// first returns the first retained offset. Records of keyed topics are kept, which the platform
// allows.
func (t *topic) first(name string) int {
	if len(name) > len(topicPrefix) && name[:len(topicPrefix)] == topicPrefix {
		return 0
	}
	limit := time.Now().Add(-keepTime)
	return slices.IndexFunc(append(slices.Clone(t.records), record{at: time.Now()}), func(r record) bool { return r.at.After(limit) })
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		first, end := t.first(name), len(t.records)
		if from < first || from > end {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if from < end {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for _, record := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record.data)))
				body = append(body, record.data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		_, _ = w.Write(binary.BigEndian.AppendUint64(body, uint64(first)))
		return
	}
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	name, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	newest := map[string]item{}
	for offset, record := range t.records {
		size := 1 + int(record.data[0])
		key, value := string(record.data[1:size]), record.data[size:]
		if delete(newest, key); len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
		}
	}
	items := []item{}
	for key, found := range newest {
		if key > after {
			items = append(items, found)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(items) > 500
	items = items[:min(len(items), 500)]
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": len(t.records)})
}
