// Package forwarder sends callers' requests to plain services over HTTP.
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
)

// Defaults of a Server.
const (
	DefaultMaxBody   = 64 << 20
	DefaultMaxAnswer = 1 << 30
	DefaultDial      = time.Second
	DefaultIdle      = 30 * time.Second
	DefaultConns     = 256
)

// HeaderRequest carries the request id to services.
const HeaderRequest = "Cowslip-Request"

const headerKey = "Idempotency-Key"

var errTooLarge = errors.New("body: found more bytes than are accepted")

// Server is one server of a plain service. It implements
// cowslipproxy.ServiceUpstream. Its fields are set before the first call.
type Server struct {
	Address   netip.AddrPort
	MaxBody   int64         // of a call
	MaxAnswer int64         // of an answer's body
	Dial      time.Duration // longest time for a connection to be made
	Idle      time.Duration // unused connections are closed after this
	Conns     int           // most connections

	once      sync.Once
	transport *http.Transport
}

var _ cowslipproxy.ServiceUpstream = (*Server)(nil)

func (s *Server) init() {
	s.once.Do(func() {
		if s.MaxBody == 0 {
			s.MaxBody = DefaultMaxBody
		}
		if s.MaxAnswer == 0 {
			s.MaxAnswer = DefaultMaxAnswer
		}
		if s.Dial == 0 {
			s.Dial = DefaultDial
		}
		if s.Idle == 0 {
			s.Idle = DefaultIdle
		}
		if s.Conns == 0 {
			s.Conns = DefaultConns
		}
		dialer := net.Dialer{Timeout: s.Dial}
		s.transport = &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				var conn net.Conn
				var err error
				if conn, err = dialer.DialContext(ctx, network, address); err != nil {
					return nil, errors.WithStack(err)
				}
				return &countedConn{Conn: conn}, nil
			},
			DisableCompression:     true, // bodies and headers pass unchanged
			MaxConnsPerHost:        s.Conns,
			MaxIdleConnsPerHost:    s.Conns,
			IdleConnTimeout:        s.Idle,
			MaxResponseHeaderBytes: 64 << 10,
		}
	})
}

// Close closes the connections that no call uses.
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
		return nil, errors.Wrapf(cowslipproxy.ErrNotStarted, "path: found %.80q, accepted are paths that start with /", call.Path)
	}
	if call.Length > s.MaxBody {
		return nil, errors.Wrapf(cowslipproxy.ErrNotStarted, "body: found %d bytes, accepted are at most %d", call.Length, s.MaxBody)
	}
	target.Scheme, target.Host = "http", s.Address.String()
	used := &conns{}
	request := (&http.Request{
		Method: call.Method, URL: target, Host: target.Host, Header: outgoing(call), ContentLength: call.Length,
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.add}))
	s.setBody(request, call)
	var answer *http.Response
	if answer, err = s.transport.RoundTrip(request); err != nil {
		if used.seal() {
			return nil, errors.Wrap(cowslipproxy.ErrNotStarted, err.Error())
		}
		return nil, errors.Wrapf(err, "%s", s.Address)
	}
	cowslipproxy.RemoveConnectionHeaders(answer.Header)
	answer.Body = &limitedBody{ReadCloser: answer.Body, left: s.MaxAnswer}
	return answer, nil
}

// setBody gives the request a body that http.Transport can't replay. The
// transport resends GET requests and those with an Idempotency-Key on its own
// when a reused connection breaks, unless they have a body without GetBody.
func (s *Server) setBody(request *http.Request, call cowslipproxy.ServiceCall) {
	empty := call.Length == 0 || call.Body == nil
	if !empty {
		request.Body = &limitedBody{ReadCloser: io.NopCloser(call.Body), left: s.MaxBody}
		return
	}
	request.ContentLength = 0
	if request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions {
		// The transport finds this body to be empty and sends none.
		request.Body = io.NopCloser(strings.NewReader(""))
	}
}

// outgoing returns the call's end-to-end headers.
func outgoing(call cowslipproxy.ServiceCall) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	cowslipproxy.RemoveConnectionHeaders(header)
	header.Del("Expect") // answered by the listener for callers
	header.Del("Content-Length")
	header.Del("Host")
	if call.Request != "" {
		header.Set(HeaderRequest, call.Request)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps the transport from adding its own
	}
	// In small letters the transport doesn't recognise the key, by which it
	// would take a request without a body as one that it may resend.
	if values, ok := header[headerKey]; ok {
		delete(header, headerKey)
		header[strings.ToLower(headerKey)] = values
	}
	return header
}

// limitedBody fails instead of passing on more than the limit.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if b.left -= int64(n); b.left < 0 {
		return 0, errors.WithStack(errTooLarge)
	}
	return n, err
}
