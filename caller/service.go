package caller

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

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
		body := http.MaxBytesReader(w, r.Body, s.BodyLimit)
		e.proxyCall(w, service, path, body, r.ContentLength)
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
