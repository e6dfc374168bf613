package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is a request that a server began to work on.
type run struct {
	at                           time.Time
	server, id, line, host, body string
	tenant                       string
}

// fleet is the set of plain servers, which register themselves in the store.
type fleet struct {
	store *store
	work  time.Duration // of each request

	mu   sync.Mutex
	runs []run
}

// start starts a server of a service and returns a function that stops it.
func (f *fleet) start(ip, service, id string) (stop func()) {
	address, stopHTTP := serveHTTP(ip, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, id) }))
	ended := make(chan struct{})
	go f.beat(ended, id, func() map[string]any {
		return map[string]any{"service": service, "address": address, "slots": serverSlots}
	})
	return func() { close(ended); stopHTTP() }
}

// beat writes the entry of a server to the store until the server ends.
func (f *fleet) beat(ended <-chan struct{}, id string, fields func() map[string]any) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		entry := fields()
		entry["zone"], entry["version"], entry["cold_remaining_ms"] = zone, "v1", 0
		if entry["state"] == nil {
			entry["state"] = "ready"
		}
		entry["sequence"], entry["born"] = sequence, born
		data, err := json.Marshal(entry)
		if err != nil {
			return // unreachable: the fields can be encoded
		}
		f.store.put(names["servers"], id, data)
		select {
		case <-ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

const serverSlots = 64

func (f *fleet) serve(w http.ResponseWriter, r *http.Request, id string) {
	if expected := r.Header.Get(names["instance"]); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(names["id"])
	f.record(id, r, string(body))
	time.Sleep(f.work)
	w.Header().Set(names["id"], request)
	w.Header().Set(names["signature"], "sig-"+id)
	_, _ = fmt.Fprintf(w, "done %s", request) // fails only if the daemon disconnected
}

// record records that a server begins to work on a request.
func (f *fleet) record(server string, r *http.Request, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{time.Now(), server, r.Header.Get(names["id"]), r.Method + " " + r.RequestURI, r.Host, body, r.Header.Get(names["tenant"])})
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) (found []run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}
