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

const chunk = 32 << 10

// Part is one piece of a forwarded request or of its answer. The first piece
// of a request has the method, the first piece of an answer has the status.
type Part struct {
	Method  string      `json:"method,omitempty"`
	Path    string      `json:"path,omitempty"` // with its query
	Host    string      `json:"host,omitempty"`
	Length  int64       `json:"length,omitempty"` // of the request's body, -1 when unknown
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	Trailer http.Header `json:"trailer,omitempty"`
	End     bool        `json:"end,omitempty"` // this is the whole answer's last piece
}

// Check reports the first field that is out of range.
func (p Part) Check() error {
	if p.Status != 0 && (p.Status < 200 || p.Status > 599) {
		return errors.Errorf("status: found %d, accepted are 200 to 599", p.Status)
	}
	if p.Method != "" && !strings.HasPrefix(p.Path, "/") {
		return errors.Errorf("path: found %q, accepted are paths from /", p.Path)
	}
	return nil
}

type forwardedKey struct{}

// IsForwarded reports whether a request came from another daemon.
func IsForwarded(ctx context.Context) bool { return ctx.Value(forwardedKey{}) != nil }

// ErrTooLarge is the error of a body that exceeds the limit.
var ErrTooLarge = errors.New("body is too large to forward")

// Forward passes a request to the daemon at an address and writes its answer
// to w. The error wraps cowslipproxy.ErrNotStarted if the daemon provably got
// nothing of the request. After any other error it may have run, and a part of
// the answer may be written.
func (g *Gossiper) Forward(w http.ResponseWriter, r *http.Request, address string) error {
	g.setup()
	if IsForwarded(r.Context()) {
		return errors.Wrap(cowslipproxy.ErrNotStarted, "request was forwarded once already")
	}
	if r.ContentLength > g.MaxBytes {
		return notStarted(errors.WithStack(ErrTooLarge))
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel() // ends the stream and with it the request over there
	var conn *grpc.ClientConn
	var release func()
	var err error
	if conn, release, err = g.conns.lease(address); err != nil {
		return notStarted(err)
	}
	defer release()
	if err := ready(ctx, conn); err != nil {
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
	// Without this, net/http reads the rest of the body itself once the answer starts.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "forward request")
	}
	sent := make(chan error, 1)
	go func() {
		var err error
		if err = sendBody(stream, r.Body, g.MaxBytes); err != nil {
			cancel()
		}
		sent <- err
	}()
	err = g.receive(w, stream)
	cancel()
	return firstCause(err, sent)
}

// firstCause prefers the error of the request's body, since that one cancels
// the answer. It doesn't wait: a body that the caller still sends may take long.
func firstCause(err error, sent <-chan error) error {
	if err == nil {
		return nil
	}
	select {
	case cause := <-sent:
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

// ready waits for the connection, so that a daemon that can't be reached is
// told from one that fails after it got the request.
func ready(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.Errorf("daemon can't be reached: connection is %s", state)
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
	buffer := make([]byte, chunk)
	for {
		n, err := body.Read(buffer)
		if total += int64(n); total > limit {
			return errors.WithStack(ErrTooLarge)
		}
		if n > 0 {
			if err := stream.SendMsg(&Part{Body: buffer[:n]}); err != nil {
				return errors.Wrap(err, "forward body")
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.CloseSend()
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// receive writes the answer to w. An answer without its last piece is an error,
// so that a cut answer is never taken for a whole one.
func (g *Gossiper) receive(w http.ResponseWriter, stream grpc.ClientStream) error {
	var total int64
	started := false
	for {
		var part Part
		if err := stream.RecvMsg(&part); err != nil {
			return errors.Wrap(err, "forwarded request")
		}
		if part.Status != 0 && !started {
			started = true
			copyHeader(w.Header(), part.Header, "")
			w.WriteHeader(part.Status)
		}
		if total += int64(len(part.Body)); total > g.MaxBytes {
			return errors.WithStack(ErrTooLarge)
		}
		if err := write(w, part); err != nil {
			return err
		}
		if part.End {
			return nil
		}
	}
}

func write(w http.ResponseWriter, part Part) error {
	if len(part.Body) > 0 {
		if _, err := w.Write(part.Body); err != nil {
			return errors.Wrap(err, "write answer")
		}
	}
	copyHeader(w.Header(), part.Trailer, http.TrailerPrefix)
	if part.End {
		return nil
	}
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "write answer")
	}
	return nil
}

func copyHeader(to, from http.Header, prefix string) {
	for name, values := range from {
		to[prefix+name] = append([]string(nil), values...)
	}
}

// serveForward runs a request from another daemon in the handler.
func (g *Gossiper) serveForward(stream grpc.ServerStream) error {
	if g.Handler == nil {
		return status.Error(codes.Unimplemented, "no forwarded requests are served")
	}
	var head Part
	if err := stream.RecvMsg(&head); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithValue(stream.Context(), forwardedKey{}, true))
	defer cancel()
	body := &partReader{stream: stream, left: g.MaxBytes}
	request, err := http.NewRequestWithContext(ctx, head.Method, "/", body)
	if err != nil || head.Method == "" {
		return status.Errorf(codes.InvalidArgument, "method: found %q", head.Method)
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
	writer := &partWriter{stream: stream, header: http.Header{}, left: g.MaxBytes}
	if err := g.handle(writer, request); err != nil {
		return err
	}
	return writer.finish()
}

// handle reports a panic of the handler as an error, as net/http does by
// breaking the connection.
func (g *Gossiper) handle(w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = status.Errorf(codes.Aborted, "request ended early: %v", cause)
		}
	}()
	g.Handler.ServeHTTP(w, r)
	return nil
}

// partReader reads a forwarded request's body.
type partReader struct {
	stream grpc.ServerStream
	rest   []byte
	left   int64
}

// Read implements io.Reader.
func (p *partReader) Read(buffer []byte) (int, error) {
	for len(p.rest) == 0 {
		var part Part
		if err := p.stream.RecvMsg(&part); err != nil {
			return 0, err // io.EOF at the end
		}
		if p.left -= int64(len(part.Body)); p.left < 0 {
			return 0, errors.WithStack(ErrTooLarge)
		}
		p.rest = part.Body
	}
	n := copy(buffer, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// partWriter sends a handler's answer.
type partWriter struct {
	stream  grpc.ServerStream
	header  http.Header
	started bool
	left    int64
}

// Header implements http.ResponseWriter.
func (p *partWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *partWriter) WriteHeader(code int) { _ = p.start(code) } // the next write reports the error again

func (p *partWriter) start(code int) error {
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
func (p *partWriter) Write(data []byte) (int, error) {
	if err := p.start(http.StatusOK); err != nil {
		return 0, err
	}
	if p.left -= int64(len(data)); p.left < 0 {
		return 0, errors.WithStack(ErrTooLarge)
	}
	written := 0
	for written < len(data) {
		n := min(len(data)-written, chunk)
		if err := p.stream.SendMsg(&Part{Body: data[written : written+n]}); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// Flush implements http.Flusher. Each write is sent at once.
func (p *partWriter) Flush() { _ = p.start(http.StatusOK) } // the next write reports the error again

// finish sends the trailer, which the handler declared or marked by its prefix.
func (p *partWriter) finish() error {
	if p.left < 0 {
		return status.Error(codes.ResourceExhausted, ErrTooLarge.Error())
	}
	if err := p.start(http.StatusOK); err != nil {
		return err
	}
	trailer := http.Header{}
	for name, values := range p.header {
		if bare, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[bare] = values
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
