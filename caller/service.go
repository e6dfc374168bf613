package caller

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// service handles a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	var e *exchange
	var err error
	if e, err = s.begin(w, r); err != nil {
		e.fail(err)
		return
	}
	name, path := mux.Vars(r)["service"], mux.Vars(r)["path"]
	service, ok := e.active.Service(name)
	if !ok {
		e.fail(cowslipproxy.Refuse(cowslipproxy.ReasonServiceUnknown, "service: %q is not one of the declared services", name))
		return
	}
	if service.EffectOf(r.Method, path) == cowslipproxy.EffectRepeat {
		// The response may begin while the request body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex() // not supported for requests forwarded by another daemon
		e.upload = &upload{Reader: http.MaxBytesReader(w, r.Body, s.BodyLimit)}
		e.upload.ended.Store(r.ContentLength == 0)
		defer e.upload.stop(w)
		e.proxyCall(w, service, path, e.upload, r.ContentLength)
		return
	}
	if err := e.readBody(); err != nil {
		e.fail(err)
		return
	}
	defer e.detach()()
	s.Guard.Once(w, r, e.newAttempt(), func(w http.ResponseWriter) {
		e.proxyCall(w, service, path, bytes.NewReader(e.body), int64(len(e.body)))
	})
}

// upload is a request body that is sent to a service while it is received.
type upload struct {
	io.Reader
	ended   atomic.Bool // the whole body was received
	reading sync.Mutex
	stopped atomic.Bool
}

// Read implements io.Reader.
func (u *upload) Read(data []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.stopped.Load() {
		return 0, errors.New("the call has ended")
	}
	n, err := u.Reader.Read(data)
	if err == io.EOF {
		u.ended.Store(true)
	}
	return n, err
}

// stop ends the read in progress and makes further ones fail. The service's connection may read after the
// call, and net/http may wait for such a read forever.
func (u *upload) stop(w http.ResponseWriter) {
	if !u.isInProgress() {
		return
	}
	u.stopped.Store(true)
	// The connection is closed after the answer. One of another daemon has no deadline and is not waited for.
	if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err == nil {
		u.reading.Lock()
		defer u.reading.Unlock()
	}
}

// isInProgress reports whether the rest of the body is still to be received.
func (u *upload) isInProgress() bool { return u != nil && !u.ended.Load() }

// proxyCall admits a call, sends it to the service and copies the response.
func (e *exchange) proxyCall(w http.ResponseWriter, service cowslipproxy.Service, path string, body io.Reader, length int64) {
	e.w = w
	s, ctx := e.server, e.r.Context()
	done, err := s.Admitter.Admit(ctx, Admission{
		Request:     e.requestID,
		Customer:    e.customer,
		Scope:       cowslipproxy.ScopeService + service.Name,
		Fingerprint: e.fingerprint(e.r.Method + path + string(e.body)),
		Tokens:      0,
		Deadline:    e.deadline,
		Urgent:      service.Urgent,
	})
	if err != nil {
		e.fail(err)
		return
	}
	defer done(0)
	if e.r.URL.RawQuery != "" {
		path += "?" + e.r.URL.RawQuery
	}
	header := e.r.Header.Clone()
	header.Del("Authorization") // the customer's bearer key must not reach services
	response, err := s.Services.Call(ctx, service, cowslipproxy.ServiceCall{
		Request:  e.requestID,
		Customer: e.customer.Name,
		Service:  service.Name,
		Method:   e.r.Method,
		Path:     path,
		Header:   header,
		Body:     body,
		Length:   length,
	}, e.deadline)
	if err != nil {
		e.fail(err)
		return
	}
	defer response.Body.Close()
	e.copyResponse(response)
}

// copyResponse writes a service's response. If the response is interrupted, the
// connection to the caller is aborted, so that the caller doesn't mistake the part that
// it got for the complete response.
func (e *exchange) copyResponse(response *http.Response) {
	header := e.w.Header()
	for name, values := range response.Header {
		if !strings.HasPrefix(name, "Cowslip-") { // these headers describe the router, not the service
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, string(cowslipproxy.OutcomeDone))
	if e.upload.isInProgress() {
		header.Set("Connection", "close") // the rest must not be read as another request
	}
	if !cowslipproxy.IsFramed(response) {
		cowslipproxy.KeepUnframed(header)
	}
	e.w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := e.w.Write(buffer[:n]); err != nil {
				panic(http.ErrAbortHandler) // the guard must not record a partial response as complete
			}
			_ = controller.Flush() // a writer without Flush sends the bytes at the end
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
