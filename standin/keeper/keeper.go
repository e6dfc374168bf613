// Package keeper implements a stand-in for the store of the users' platform: an
// append-only log per topic. Some topics are keyed and have a newest record per key.
package keeper

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Fault is a fault that the store injects into its handling of requests.
type Fault string

// Faults of the store.
const (
	FaultNone   Fault = ""
	FaultBusy   Fault = "busy"   // responds with status 503 and has no effect
	FaultReset  Fault = "reset"  // closes the connection and has no effect
	FaultSilent Fault = "silent" // does not respond and has no effect
	FaultLost   Fault = "lost"   // appends, then closes the connection without a response
)

// Store is an in-memory store. The zero value is an empty store.
type Store struct {
	mu         sync.Mutex
	topics     map[string]*topic
	fault      Fault
	calls      map[string]int // by URL path
	era        int            // number of times that the store was restored from a copy
	nextAppend chan struct{}  // closed at the next append
}

type topic struct {
	first   uint64 // offset of the first retained record
	records [][]byte
}

// end returns the offset of the next record.
func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// SetFault sets the fault that is injected into all later requests.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of requests to a URL path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record to a keyed topic. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// Holds reports whether a keyed topic has a record that is not deleted.
func (s *Store) Holds(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).newest()) > 0
}

// Appended returns the number of records that were appended to a topic.
func (s *Store) Appended(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

// Publish writes a configuration to the operator's topic.
func (s *Store) Publish(config []byte) { s.Put("keyed.op", "config", config) }

// Compact replaces the records of a keyed topic by the newest one of each key that is
// not deleted. The kept records get new offsets, which start at the former end.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	kept := t.newest()
	t.first = t.end()
	t.records = nil
	for _, record := range kept {
		t.records = append(t.records, record.data)
	}
}

// Restore replaces the contents by those of an older copy: each of the given topics loses
// its newest records, and their offsets are given out again.
func (s *Store) Restore(lost map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, count := range lost {
		t := s.topic(name)
		t.records = slices.Clone(t.records[:max(len(t.records)-count, 0)])
	}
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	if s.topics[name] == nil {
		s.topics[name] = &topic{}
	}
	return s.topics[name]
}

func (s *Store) append(name string, record []byte) uint64 {
	t := s.topic(name)
	t.records = append(t.records, record)
	if s.nextAppend != nil {
		close(s.nextAppend)
		s.nextAppend = nil
	}
	return t.end() - 1
}

// appended returns a channel that is closed at the next append.
func (s *Store) appended() <-chan struct{} {
	if s.nextAppend == nil {
		s.nextAppend = make(chan struct{})
	}
	return s.nextAppend
}

// Handler returns the handler of the store's HTTP API.
func (s *Store) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/api/log-append", s.serveAppend).Methods(http.MethodPost)
	routes.HandleFunc("/api/log-read", s.serveRead).Methods(http.MethodGet)
	routes.HandleFunc("/api/log-newest", s.serveNewest).Methods(http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.calls == nil {
			s.calls = map[string]int{}
		}
		s.calls[r.URL.Path]++
		fault := s.fault
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		switch fault {
		case FaultBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultSilent:
			<-r.Context().Done()
		default:
			routes.ServeHTTP(w, r)
		}
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller disconnected
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.FormValue("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	offset := s.append(name, body[4:])
	lost := s.fault == FaultLost
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end": offset + 1})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("wait_ms")) // without the parameter, the call does not wait
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(r.FormValue("topic"))
		first, end := t.first, t.end()
		records := t.records[min(max(from, first)-first, uint64(len(t.records))):]
		appended := s.appended()
		w.Header().Set("Store-Era", strconv.Itoa(s.era)) // the store may have been restored during the wait
		s.mu.Unlock()
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if len(records) == 0 && waiting {
			select {
			case <-appended:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		data := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), first)
		for _, record := range records {
			if len(data) > maxReadSize {
				break
			}
			data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
		}
		_, _ = w.Write(data) // fails only if the caller disconnected
		return
	}
}

// maxReadSize is the size in bytes after which a reply of /api/log-read ends.
const maxReadSize = 1 << 20

type keyedRecord struct {
	key    string
	value  []byte
	offset uint64
	data   []byte // complete record: key length, key and value
}

// newest returns the newest record of each key that is not deleted, sorted by key.
func (t *topic) newest() []keyedRecord {
	byKey := map[string]keyedRecord{}
	for i, record := range t.records {
		if len(record) < 1 || len(record) < 1+int(record[0]) {
			continue
		}
		valueStart := 1 + int(record[0])
		key := string(record[1:valueStart])
		byKey[key] = keyedRecord{key, record[valueStart:], t.first + uint64(i), record}
	}
	var all []keyedRecord
	for _, record := range byKey {
		if len(record.value) > 0 {
			all = append(all, record)
		}
	}
	slices.SortFunc(all, func(a, b keyedRecord) int { return strings.Compare(a.key, b.key) })
	return all
}

// pageSize is the maximum number of records in one response of /api/log-newest.
const pageSize = 20

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	all, end := t.newest(), t.end()
	s.mu.Unlock()
	items := []item{}
	truncated := false
	for _, record := range all {
		if record.key <= r.FormValue("after") {
			continue
		}
		if truncated = len(items) == pageSize; truncated {
			break
		}
		items = append(items, item{record.key, base64.StdEncoding.EncodeToString(record.value), record.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": end})
}
