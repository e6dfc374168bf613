// Package resetter ends the connections of incomplete answers with a reset.
//
// An answer with neither a length nor chunks ends with its connection. Whatever closes the
// connection in the middle of such an answer, also the end of the process, would complete it.
// The connection is therefore set to end with a reset until the handler has completed the
// answer.
package resetter

import (
	"context"
	"net"
	"net/http"

	"github.com/cowslipproxy/cowslipproxy"
)

type connKey struct{}

// SaveConn stores a connection in the context of its requests, for Handler. It is the
// ConnContext of an http.Server.
func SaveConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that calls next. If next panics or does not return before the
// connection is closed, an answer whose end is that of its connection ends with a reset.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := tcpConn(r.Context())
		if conn == nil {
			next.ServeHTTP(w, r) // forwarded by another daemon, which has the caller's connection
			return
		}
		guarded := &writer{ResponseWriter: w, conn: conn, hasChunks: r.ProtoAtLeast(1, 1)}
		next.ServeHTTP(guarded, r)
		guarded.complete()
	})
}

// tcpConn returns the connection of a request, or nil if it has none of its own.
func tcpConn(ctx context.Context) *net.TCPConn {
	conn := ctx.Value(connKey{})
	if limited, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = limited.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

// lingerDefault is the argument of SetLinger for the operating system's default: close
// returns at once, and unsent data is still sent.
const lingerDefault = -1

// writer is the http.ResponseWriter of a request.
type writer struct {
	http.ResponseWriter
	conn          *net.TCPConn
	hasChunks     bool // the caller's version of HTTP has chunks
	wroteHeader   bool
	resetsAtClose bool
}

// Unwrap is for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		w.resetsAtClose = cowslipproxy.IsUnframed(w.Header()) || !w.hasChunks && w.Header().Get("Content-Length") == ""
	}
	if w.resetsAtClose {
		_ = w.conn.SetLinger(0) // fails only on a closed connection
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// complete lets the connection end regularly. Buffered data is sent first, since its loss
// would not show from then on.
func (w *writer) complete() {
	if !w.resetsAtClose {
		return
	}
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		panic(http.ErrAbortHandler) // closes the connection, which ends with a reset
	}
	_ = w.conn.SetLinger(lingerDefault) // fails only on a closed connection
	// If the caller is still sending, close resets the connection, which must not precede the end of the answer.
	_ = w.conn.CloseWrite()
}
