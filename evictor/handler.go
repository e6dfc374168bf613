package evictor

import (
	"context"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// SaveConn stores a connection in the context of its requests, for Handler. It is for the
// ConnContext of an http.Server.
func SaveConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that calls next. The connection of a request is not closed for others
// once the request was received completely.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
			if r.ContentLength == 0 {
				conn.setExecuting()
			} else {
				r.Body = &body{r.Body, conn}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF { // the contract of io.Reader names this value
		b.conn.setExecuting()
	}
	return n, err
}
