package gossiper

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"github.com/cowslipproxy/cowslipproxy"
)

const chunkSize = 32 << 10

// Part is one message on the stream of a forwarded request or its response. The
// first part of a request has the method, and the first part of a response has
// the status.
type Part struct {
	Method  string      `json:"method,omitempty"`
	Path    string      `json:"path,omitempty"` // including the query
	Host    string      `json:"host,omitempty"`
	Length  int64       `json:"length,omitempty"` // of the request body; -1 if unknown
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Trailer http.Header `json:"trailer,omitempty"`
	End     bool        `json:"end,omitempty"` // marks the last part of a complete response
}

// Check reports the first invalid field.
func (p Part) Check() error {
	if p.Status != 0 && !cowslipproxy.IsFinalStatus(p.Status) {
		return errors.Errorf("status: %d is not between 200 and 599", p.Status)
	}
	if p.Method != "" && !strings.HasPrefix(p.Path, "/") {
		return errors.Errorf("path: %q does not start with /", p.Path)
	}
	return nil
}

type forwardedKey struct{}

// IsForwarded reports whether another daemon forwarded the request.
func IsForwarded(ctx context.Context) bool { return ctx.Value(forwardedKey{}) != nil }

// ErrTooLarge is returned when a body exceeds MaxBytes.
var ErrTooLarge = errors.New("body is too large to forward")

// Forward sends a request to the daemon at an address and writes the response
// to w. The error wraps cowslipproxy.ErrNotStarted if the daemon provably
// received no part of the request. After any other error the request may have
// run, and part of the response may have been written.
func (g *Gossiper) Forward(w http.ResponseWriter, r *http.Request, address string) error {
	g.setup()
	if IsForwarded(r.Context()) {
		return errors.Wrap(cowslipproxy.ErrNotStarted, "request was already forwarded once")
	}
	if r.ContentLength > g.MaxBytes {
		return notStarted(errors.WithStack(ErrTooLarge))
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel() // closes the stream, which cancels the request at the other daemon
	var conn *grpc.ClientConn
	var release func()
	var err error
	if conn, release, err = g.conns.acquire(address); err != nil {
		return notStarted(err)
	}
	defer release()
	if err := waitReady(ctx, conn); err != nil {
		return notStarted(err)
	}
	var stream grpc.ClientStream
	if stream, err = conn.NewStream(ctx, &serviceDesc.Streams[0], "/"+serviceName+"/Forward"); err != nil {
		return notStarted(err)
	}
	head := Part{Method: r.Method, Path: r.URL.RequestURI(), Host: r.Host, Header: r.Header, Length: r.ContentLength}
	if err := stream.SendMsg(&head); err != nil {
		return errors.Wrap(err, "forward request")
	}
	// Without full duplex, net/http consumes the rest of the body once the response starts.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "enable full duplex")
	}
	bodySent := make(chan error, 1)
	go func() {
		var err error
		if err = sendBody(stream, r.Body, g.MaxBytes); err != nil {
			cancel()
		}
		bodySent <- err
	}()
	err = g.copyResponse(w, stream)
	cancel()
	return preferLimitError(err, bodySent)
}

// preferLimitError returns the error of the request body if that exceeded the
// limit, since it cancelled the response, and err otherwise. It doesn't wait
// for the body, which the caller may still be sending.
func preferLimitError(err error, bodySent <-chan error) error {
	if err == nil {
		return nil
	}
	select {
	case cause := <-bodySent:
		if errors.Is(cause, ErrTooLarge) {
			return cause
		}
	default:
	}
	return err
}

type notStartedError struct{ error }

func (e notStartedError) Unwrap() []error { return []error{e.error, cowslipproxy.ErrNotStarted} }

func notStarted(err error) error { return notStartedError{err} }

// waitReady waits for the connection, so that an unreachable daemon can be
// distinguished from one that fails after it received the request.
func waitReady(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.Errorf("daemon is unreachable: connection is %s", state)
		case connectivity.Idle:
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return errors.Wrap(ctx.Err(), "connect to daemon")
		}
	}
}

func sendBody(stream grpc.ClientStream, body io.Reader, limit int64) error {
	if body == nil {
		return stream.CloseSend()
	}
	var total int64
	buffer := make([]byte, chunkSize)
	for {
		n, err := body.Read(buffer)
		if total += int64(n); total > limit {
			return errors.WithStack(ErrTooLarge)
		}
		if n > 0 {
			if err := stream.SendMsg(&Part{Body: buffer[:n]}); err != nil {
				return errors.Wrap(err, "forward request body")
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.CloseSend()
		}
		if err != nil {
			return errors.Wrap(err, "read request body")
		}
	}
}

// copyResponse copies the response to w. A response that ends without its last
// part is an error, so that a truncated response never passes for a complete
// one.
func (g *Gossiper) copyResponse(w http.ResponseWriter, stream grpc.ClientStream) error {
	var total int64
	started := false
	for {
		var part Part
		if err := stream.RecvMsg(&part); err != nil {
			return errors.Wrap(err, "receive response")
		}
		if !started && part.Status == 0 {
			return errors.New("the response begins without a status")
		}
		if !started {
			started = true
			copyHeader(w.Header(), part.Header, "")
			w.WriteHeader(part.Status)
		}
		if total += int64(len(part.Body)); total > g.MaxBytes {
			return errors.WithStack(ErrTooLarge)
		}
		if err := writePart(w, part); err != nil {
			return err
		}
		if part.End {
			return nil
		}
	}
}

func writePart(w http.ResponseWriter, part Part) error {
	if len(part.Body) > 0 {
		if _, err := w.Write(part.Body); err != nil {
			return errors.Wrap(err, "write response")
		}
	}
	copyHeader(w.Header(), part.Trailer, http.TrailerPrefix)
	if part.End {
		return nil
	}
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "write response")
	}
	return nil
}

func copyHeader(to, from http.Header, prefix string) {
	for name, values := range from {
		to[prefix+name] = append([]string(nil), values...)
	}
}

// serveForward passes a request from another daemon to Handler.
func (g *Gossiper) serveForward(stream grpc.ServerStream) error {
	if g.Handler == nil {
		return status.Error(codes.Unimplemented, "daemon doesn't accept forwarded requests")
	}
	var head Part
	if err := stream.RecvMsg(&head); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithValue(stream.Context(), forwardedKey{}, true))
	defer cancel()
	body := &bodyReader{stream: stream, remaining: g.MaxBytes}
	request, err := http.NewRequestWithContext(ctx, head.Method, "/", body)
	if err != nil || head.Method == "" {
		return status.Errorf(codes.InvalidArgument, "method: %q is not a valid HTTP method", head.Method)
	}
	if request.URL, err = url.ParseRequestURI(head.Path); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	request.Host, request.RequestURI, request.ContentLength = head.Host, head.Path, head.Length
	if head.Header != nil {
		request.Header = head.Header
	}
	if head.Length == 0 {
		request.Body = http.NoBody
	}
	writer := &responseWriter{stream: stream, header: http.Header{}, remaining: g.MaxBytes}
	if err := g.callHandler(writer, request); err != nil {
		return err
	}
	return writer.finish()
}

// callHandler calls Handler and converts a panic into an error. net/http would
// close the connection instead.
func (g *Gossiper) callHandler(w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = status.Errorf(codes.Aborted, "request ended early: %v", cause)
		}
	}()
	g.Handler.ServeHTTP(w, r)
	return nil
}

// bodyReader reads the body of a forwarded request.
type bodyReader struct {
	stream    grpc.ServerStream
	unread    []byte
	remaining int64
}

// Read implements io.Reader.
func (p *bodyReader) Read(buffer []byte) (int, error) {
	for len(p.unread) == 0 {
		var part Part
		if err := p.stream.RecvMsg(&part); err != nil {
			return 0, err // io.EOF at the end
		}
		if p.remaining -= int64(len(part.Body)); p.remaining < 0 {
			return 0, errors.WithStack(ErrTooLarge)
		}
		p.unread = part.Body
	}
	n := copy(buffer, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// responseWriter sends the response of a handler.
type responseWriter struct {
	stream    grpc.ServerStream
	header    http.Header
	started   bool
	remaining int64
}

// Header implements http.ResponseWriter.
func (p *responseWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *responseWriter) WriteHeader(code int) { _ = p.start(code) } // the next write returns the error again

func (p *responseWriter) start(code int) error {
	if p.started || code < 200 {
		return nil
	}
	p.started = true
	header := http.Header{}
	for name, values := range p.header {
		if !strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
	return p.stream.SendMsg(&Part{Status: code, Header: header})
}

// Write implements http.ResponseWriter.
func (p *responseWriter) Write(data []byte) (int, error) {
	if err := p.start(http.StatusOK); err != nil {
		return 0, err
	}
	if p.remaining -= int64(len(data)); p.remaining < 0 {
		return 0, errors.WithStack(ErrTooLarge)
	}
	written := 0
	for written < len(data) {
		n := min(len(data)-written, chunkSize)
		if err := p.stream.SendMsg(&Part{Body: data[written : written+n]}); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// Flush implements http.Flusher. Writes are not buffered, so it sends only the
// header.
func (p *responseWriter) Flush() { _ = p.start(http.StatusOK) } // the next write returns the error again

// finish sends the trailers, which the handler declared in the Trailer header or
// marked with http.TrailerPrefix.
func (p *responseWriter) finish() error {
	if p.remaining < 0 {
		return status.Error(codes.ResourceExhausted, ErrTooLarge.Error())
	}
	if err := p.start(http.StatusOK); err != nil {
		return err
	}
	trailer := http.Header{}
	for name, values := range p.header {
		if trimmed, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[trimmed] = values
		}
	}
	for _, line := range p.header.Values("Trailer") {
		for _, name := range strings.Split(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values := p.header.Values(name); len(values) > 0 {
				trailer[name] = values
			}
		}
	}
	return p.stream.SendMsg(&Part{Trailer: trailer, End: true})
}
