// Package registrar stands in for the platform's list of VMs.
package registrar

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const maxBody = 64 << 10

// Registrar holds the list. Changes show after Lag. The zero value is an empty list.
type Registrar struct {
	Now func() time.Time // nil means time.Now

	mu      sync.Mutex
	history []version
	control Control
	frozen  *version // what is shown while stale
}

// Control sets the faults of the list.
type Control struct {
	Lag    cowslipproxy.Duration `json:"lag"`
	Outage bool                  `json:"outage"` // requests fail
	Stale  bool                  `json:"stale"`  // changes don't show
}

// Check reports the first field that is out of range.
func (c Control) Check() error {
	if c.Lag < 0 {
		return errors.Errorf("lag: found %v, accepted are durations from 0", time.Duration(c.Lag))
	}
	return nil
}

type version struct {
	at  time.Time
	vms map[string]cowslipproxy.VM
}

func (r *Registrar) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// Put adds or replaces VMs.
func (r *Registrar) Put(added ...cowslipproxy.VM) {
	r.change(func(vms map[string]cowslipproxy.VM) {
		for _, vm := range added {
			vms[vm.Name] = vm
		}
	})
}

// Leave marks a VM as leaving.
func (r *Registrar) Leave(name string) {
	r.change(func(vms map[string]cowslipproxy.VM) {
		if vm, ok := vms[name]; ok {
			vm.State = cowslipproxy.VMLeaving
			vms[name] = vm
		}
	})
}

// Remove removes a VM.
func (r *Registrar) Remove(name string) {
	r.change(func(vms map[string]cowslipproxy.VM) { delete(vms, name) })
}

// Set sets the faults of the list.
func (r *Registrar) Set(control Control) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case control.Stale && r.frozen == nil:
		shown := r.shown()
		shown.at = r.now()
		r.frozen = &shown
	case !control.Stale:
		r.frozen = nil
	}
	r.control = control
}

func (r *Registrar) change(edit func(map[string]cowslipproxy.VM)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vms := map[string]cowslipproxy.VM{}
	if n := len(r.history); n > 0 {
		for name, vm := range r.history[n-1].vms {
			vms[name] = vm
		}
	}
	edit(vms)
	r.history = append(r.history, version{at: r.now(), vms: vms})
	r.trim()
}

// trim drops the versions that no reader can see any more.
func (r *Registrar) trim() {
	limit := r.now().Add(-time.Duration(r.control.Lag))
	for len(r.history) > 1 && !r.history[1].at.After(limit) {
		r.history = r.history[1:]
	}
}

func (r *Registrar) shown() version {
	if r.frozen != nil {
		return *r.frozen
	}
	limit := r.now().Add(-time.Duration(r.control.Lag))
	var shown version
	for _, v := range r.history {
		if !v.at.After(limit) {
			shown = v
		}
	}
	return shown
}

// Handler serves the list at GET /v1/vms, changes at PUT and DELETE
// /v1/vms/{name}, and faults at PUT /control.
func (r *Registrar) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/vms", r.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/vms/{name}", r.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/vms/{name}", r.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/control", r.serveControl).Methods(http.MethodPut)
	return router
}

func (r *Registrar) serveList(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	control, shown, at := r.control, r.shown(), r.now()
	if r.frozen != nil {
		at = r.frozen.at
	}
	sent := r.now()
	r.mu.Unlock()
	if control.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	vms := []cowslipproxy.VM{}
	for _, vm := range shown.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	var body []byte
	var err error
	if body, err = json.Marshal(map[string]any{"vms": vms}); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", tag)
	w.Header().Set("Date", sent.UTC().Format(http.TimeFormat))
	w.Header().Set("Last-Modified", at.UTC().Format(http.TimeFormat))
	if request.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body) // the reader may have gone away
}

func (r *Registrar) servePut(w http.ResponseWriter, request *http.Request) {
	var vm cowslipproxy.VM
	if !read(w, request, &vm) {
		return
	}
	if name := mux.Vars(request)["name"]; vm.Name != name {
		http.Error(w, "name: found "+vm.Name+", accepted is "+name, http.StatusBadRequest)
		return
	}
	r.Put(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registrar) serveDelete(w http.ResponseWriter, request *http.Request) {
	r.Remove(mux.Vars(request)["name"])
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registrar) serveControl(w http.ResponseWriter, request *http.Request) {
	var control Control
	if !read(w, request, &control) {
		return
	}
	r.Set(control)
	w.WriteHeader(http.StatusNoContent)
}

func read(w http.ResponseWriter, request *http.Request, value any) bool {
	var data []byte
	var err error
	if data, err = io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody)); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	}
	if err := decoder.StrictJSON(data, value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
