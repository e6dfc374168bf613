package caller

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/cowslipproxy/cowslipproxy"
)

// service passes a call on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	var e *exchange
	var err error
	if e, err = s.begin(w, r); err != nil {
		e.fail(err)
		return
	}
	name, path := mux.Vars(r)["service"], mux.Vars(r)["path"]
	service, ok := e.settled.Service(name)
	if !ok {
		e.fail(cowslipproxy.Refuse(cowslipproxy.ReasonServiceUnknown, "service: found %q, accepted are the declared services", name))
		return
	}
	if service.EffectOf(r.Method, path) == cowslipproxy.EffectRepeat {
		// The answer may begin while the body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex() // a forwarded request has no connection of its own
		body := http.MaxBytesReader(w, r.Body, s.BodyLimit)
		e.pass(w, service, path, body, r.ContentLength)
		return
	}
	if err := e.readBody(); err != nil {
		e.fail(err)
		return
	}
	defer e.detach()()
	s.Guard.Once(w, r, e.send(), func(w http.ResponseWriter) {
		e.pass(w, service, path, bytes.NewReader(e.body), int64(len(e.body)))
	})
}

// pass admits a call, sends it to the service and copies the answer.
func (e *exchange) pass(w http.ResponseWriter, service cowslipproxy.Service, path string, body io.Reader, length int64) {
	e.w = w
	s, ctx := e.server, e.r.Context()
	done, err := s.Admitter.Admit(ctx, Admission{
		Request:     e.request,
		Customer:    e.customer,
		Kind:        cowslipproxy.ScopeService + service.Name,
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
	header.Del("Authorization") // the customer's key is for this system alone
	answer, err := s.Services.Call(ctx, service, cowslipproxy.ServiceCall{
		Request:  e.request,
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
	defer answer.Body.Close()
	e.copyAnswer(answer)
}

// copyAnswer writes a service's answer. When the answer breaks off, the
// connection to the caller is broken off too, so that it can't pass for whole.
func (e *exchange) copyAnswer(answer *http.Response) {
	header := e.w.Header()
	for name, values := range answer.Header {
		if !strings.HasPrefix(name, "Cowslip-") { // these speak of this system alone
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, string(cowslipproxy.OutcomeDone))
	e.w.WriteHeader(answer.StatusCode)
	controller := http.NewResponseController(e.w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := e.w.Write(buffer[:n]); err != nil {
				panic(http.ErrAbortHandler) // the guard must not record a part as the whole answer
			}
			_ = controller.Flush() // a writer that can't flush sends the bytes at the end
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
