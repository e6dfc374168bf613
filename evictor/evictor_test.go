package evictor_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/evictor"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	headLimit = 8 << 10
	waitLimit = 10 * time.Second
)

// serve starts a server whose handler blocks on /wait until the function release is called.
func serve(t *testing.T, maxConns int, limit int64) (address string, pool *evictor.Pool, release func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool = &evictor.Pool{
		Limit: limit, Messages: func() int64 { return 0 }, HeadLimit: func() int64 { return headLimit },
		Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	}
	wait := make(chan struct{})
	server := &http.Server{ConnContext: evictor.SaveConn, ConnState: evictor.SetState, Handler: evictor.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			<-wait
		}
	}))}
	go func() {
		_ = server.Serve(&evictor.Listener{Listener: listener, Name: "test", Pool: pool, MaxConns: maxConns})
	}()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), pool, func() { close(wait) }
}

// open connects and sends the begin of a request.
func open(t *testing.T, address, begin string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(conn, begin)
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

func requireStatus(t *testing.T, reader *bufio.Reader, status int) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, status, response.StatusCode)
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against silent clients that hold all connections, and against the loss of a request in
// progress for another client's connection.
func TestNewConnectionReplacesSilentOne(t *testing.T) {
	address, pool, release := serve(t, 4, 1<<20)
	_, executing := open(t, address, strings.Replace(get, "/ ", "/wait ", 1))
	for range 10 {
		open(t, address, "")
	}
	_, reader := open(t, address, get)
	requireStatus(t, reader, http.StatusOK)
	_, conns := pool.Used()
	require.LessOrEqual(t, conns, 4)
	release()
	requireStatus(t, executing, http.StatusOK)
}

// Guards against heads that together exceed the memory, and against the refusal of a small head
// beside them.
func TestMostExpensiveHeadIsClosed(t *testing.T) {
	address, pool, _ := serve(t, 100, 1<<20)
	head := strings.TrimSuffix(get, "\r\n") + strings.Repeat("a:\r\n", headLimit/4-100)
	for range 10 { // about 500 KB each
		open(t, address, head)
	}
	require.Eventually(t, func() bool {
		return metrics.GetOrRegisterCounter(reporter.Labelled(reporter.MetricClientsClosed, "address", "test", "reason", "memory"), pool.Metrics).Count() > 0
	}, waitLimit, time.Millisecond)
	_, reader := open(t, address, get)
	requireStatus(t, reader, http.StatusOK)
	used, _ := pool.Used()
	require.LessOrEqual(t, used, int64(1<<20))
}

// Guards against a limit of heads that is not kept, and against its effect on pipelined requests.
func TestHeadLimitIsKept(t *testing.T) {
	address, _, _ := serve(t, 100, 1<<20)
	field := func(size int) string {
		return strings.Replace(get, "Host", fmt.Sprintf("X-Filler: %s\r\nHost", strings.Repeat("a", size)), 1)
	}
	_, reader := open(t, address, strings.Repeat(field(headLimit-100), 5))
	for range 5 {
		requireStatus(t, reader, http.StatusOK)
	}
	_, reader = open(t, address, field(2*headLimit))
	requireStatus(t, reader, http.StatusRequestHeaderFieldsTooLarge)
}
