// Package forwarder forwards callers' requests to plain services over HTTP.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/dialer"
)

// Defaults of a Server.
const (
	DefaultMaxBody     = 64 << 20
	DefaultMaxResponse = 1 << 30
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxConns    = 256
)

// HeaderRequest carries the request id to services.
const HeaderRequest = "Cowslip-Request"

const headerKey = "Idempotency-Key"

var errTooLarge = errors.New("body: size exceeds the maximum")

// Server is one server of a plain service. It implements
// cowslipproxy.ServiceUpstream. Its fields are set before the first call.
type Server struct {
	Address     netip.AddrPort
	MaxBody     int64         // maximum size of a request body, in bytes
	MaxResponse int64         // maximum size of a response body, in bytes
	DialTimeout time.Duration // timeout for establishing a connection
	IdleTimeout time.Duration // idle connections are closed after this time
	MaxConns    int           // maximum number of connections

	once      sync.Once
	transport *http.Transport
}

var _ cowslipproxy.ServiceUpstream = (*Server)(nil)

func (s *Server) init() {
	s.once.Do(func() {
		if s.MaxBody == 0 {
			s.MaxBody = DefaultMaxBody
		}
		if s.MaxResponse == 0 {
			s.MaxResponse = DefaultMaxResponse
		}
		if s.DialTimeout == 0 {
			s.DialTimeout = DefaultDialTimeout
		}
		if s.IdleTimeout == 0 {
			s.IdleTimeout = DefaultIdleTimeout
		}
		if s.MaxConns == 0 {
			s.MaxConns = DefaultMaxConns
		}
		options := &net.Dialer{Timeout: s.DialTimeout}
		s.transport = &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				var conn *dialer.Conn
				var err error
				if conn, err = dialer.Dial(ctx, options, network, address); err != nil {
					return nil, errors.WithStack(err)
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableCompression:     true, // bodies and headers pass unchanged
			MaxConnsPerHost:        s.MaxConns,
			MaxIdleConnsPerHost:    s.MaxConns,
			IdleConnTimeout:        s.IdleTimeout,
			MaxResponseHeaderBytes: 64 << 10,
		}
	})
}

// Close closes idle connections.
func (s *Server) Close() {
	s.init()
	s.transport.CloseIdleConnections()
}

// Do implements cowslipproxy.ServiceUpstream.
func (s *Server) Do(ctx context.Context, call cowslipproxy.ServiceCall) (*http.Response, error) {
	s.init()
	var target *url.URL
	var err error
	if target, err = url.ParseRequestURI(call.Path); err != nil || !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Wrapf(cowslipproxy.ErrNotStarted, "path: %.80q is not a path that starts with /", call.Path)
	}
	if call.Length > s.MaxBody {
		return nil, errors.Wrapf(cowslipproxy.ErrNotStarted, "body: %d bytes exceed the limit of %d", call.Length, s.MaxBody)
	}
	target.Scheme, target.Host = "http", s.Address.String()
	used := &usedConns{}
	request := (&http.Request{
		Method: call.Method, URL: target, Host: target.Host, Header: outgoingHeader(call), ContentLength: call.Length,
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.add}))
	s.setBody(request, call)
	var response *http.Response
	if response, err = s.transport.RoundTrip(request); err != nil {
		if used.blockIfUnsent() {
			return nil, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
		}
		return nil, errors.Wrapf(err, "%s", s.Address)
	}
	cowslipproxy.RemoveHopByHopHeaders(response.Header)
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: s.MaxResponse}
	return response, nil
}

// setBody sets a body that http.Transport can't replay. When a reused connection
// breaks, the transport itself resends GET requests and those with an
// Idempotency-Key, unless they have a body without GetBody.
func (s *Server) setBody(request *http.Request, call cowslipproxy.ServiceCall) {
	empty := call.Length == 0 || call.Body == nil
	if !empty {
		request.Body = &limitedBody{ReadCloser: io.NopCloser(call.Body), remaining: s.MaxBody}
		return
	}
	request.ContentLength = 0
	if request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions {
		// The transport detects that this body is empty and sends none.
		request.Body = io.NopCloser(strings.NewReader(""))
	}
}

// outgoingHeader returns the header that the service gets: the end-to-end headers of
// the call and the request id.
func outgoingHeader(call cowslipproxy.ServiceCall) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	cowslipproxy.RemoveHopByHopHeaders(header)
	header.Del("Expect") // handled by the callers' listener
	header.Del("Content-Length")
	header.Del("Host")
	if call.Request != "" {
		header.Set(HeaderRequest, call.Request)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps the transport from adding its own
	}
	// The transport doesn't recognise the header in lower case. Otherwise it would
	// treat a request without a body as replayable and resend it.
	if values, ok := header[headerKey]; ok {
		delete(header, headerKey)
		header[strings.ToLower(headerKey)] = values
	}
	return header
}

// limitedBody returns an error once more bytes than the limit have been read.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errors.WithStack(errTooLarge)
	}
	return n, err
}
