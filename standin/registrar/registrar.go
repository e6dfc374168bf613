// Package registrar implements a stand-in for the platform's list of VMs.
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

// Registrar holds the list and its history. Readers see a change after Control.Lag. The
// zero value is an empty list.
type Registrar struct {
	Now func() time.Time // nil means time.Now

	mu      sync.Mutex
	history []snapshot
	faults  Control
	frozen  *snapshot // what readers see while Control.Stale is set
}

// Control is the set of faults that are injected.
type Control struct {
	Lag    cowslipproxy.Duration `json:"lag"`    // time from a change until readers see it
	Outage bool                  `json:"outage"` // reads of the list fail with status 503
	Stale  bool                  `json:"stale"`  // readers see no change that is made from now on
}

// Check returns an error if the lag is negative.
func (c Control) Check() error {
	if c.Lag < 0 {
		return errors.Errorf("lag: %v is not at least 0", time.Duration(c.Lag))
	}
	return nil
}

// snapshot is the list after a change.
type snapshot struct {
	at  time.Time // time of the change; for Registrar.frozen, the time at which it was frozen
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

// MarkLeaving marks a VM as leaving.
func (r *Registrar) MarkLeaving(name string) {
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

// Set replaces the injected faults.
func (r *Registrar) Set(faults Control) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case faults.Stale && r.frozen == nil:
		visible := r.visible()
		visible.at = r.now()
		r.frozen = &visible
	case !faults.Stale:
		r.frozen = nil
	}
	r.faults = faults
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
	r.history = append(r.history, snapshot{at: r.now(), vms: vms})
	r.pruneHistory()
}

// pruneHistory deletes the snapshots that are older than the one that readers see.
func (r *Registrar) pruneHistory() {
	cutoff := r.now().Add(-time.Duration(r.faults.Lag))
	for len(r.history) > 1 && !r.history[1].at.After(cutoff) {
		r.history = r.history[1:]
	}
}

// visible returns the snapshot that readers see.
func (r *Registrar) visible() snapshot {
	if r.frozen != nil {
		return *r.frozen
	}
	cutoff := r.now().Add(-time.Duration(r.faults.Lag))
	var visible snapshot
	for _, v := range r.history {
		if !v.at.After(cutoff) {
			visible = v
		}
	}
	return visible
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
	faults, visible, at := r.faults, r.visible(), r.now()
	if r.frozen != nil {
		at = r.frozen.at
	}
	sent := r.now()
	r.mu.Unlock()
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	vms := []cowslipproxy.VM{}
	for _, vm := range visible.vms {
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
	_, _ = w.Write(body) // fails only if the reader disconnected
}

func (r *Registrar) servePut(w http.ResponseWriter, request *http.Request) {
	var vm cowslipproxy.VM
	if !decodeBody(w, request, &vm) {
		return
	}
	if name := mux.Vars(request)["name"]; vm.Name != name {
		http.Error(w, "name: "+vm.Name+" does not match the name in the path: "+name, http.StatusBadRequest)
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
	if !decodeBody(w, request, &control) {
		return
	}
	r.Set(control)
	w.WriteHeader(http.StatusNoContent)
}

func decodeBody(w http.ResponseWriter, request *http.Request, value any) bool {
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
