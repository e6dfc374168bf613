package resetter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/acceptor"
	"github.com/cowslipproxy/cowslipproxy/resetter"
)

// read sends a request in the given version of HTTP and reads to the end of the connection.
func read(t *testing.T, address, version string) (string, error) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: a\r\nConnection: close\r\n\r\n", version)
	require.NoError(t, err)
	data, err := io.ReadAll(conn)
	return string(data), err
}

// serve starts a server whose handler writes an answer without length or chunks in two parts,
// and panics between them unless the answer is to be complete.
func serve(t *testing.T, isComplete bool) (address string) {
	server := httptest.NewUnstartedServer(resetter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			cowslipproxy.KeepUnframed(w.Header())
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if !isComplete {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "rest")
	})))
	server.Listener = acceptor.New(server.Listener, 1)
	server.Config.ConnContext = resetter.SaveConn
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against answers that end with their connection and look complete although they are not, or broken although they are complete.
func TestOnlyCompletedAnswersEndRegularly(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		got, err := read(t, serve(t, true), version)
		require.NoError(t, err)
		require.Contains(t, got, "partrest")
		_, err = read(t, serve(t, false), version)
		require.Error(t, err)
	}
}
