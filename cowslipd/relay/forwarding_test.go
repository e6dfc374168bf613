package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// keepOne returns one server of a service and shuts down the others.
func (d *deployment) keepOne(service string) *worker.Server {
	for _, server := range d.fleet.Servers(service)[1:] {
		server.Leave()
	}
	found := d.fleet.Servers(service)[0]
	d.awaitSync()
	return found
}

// Guards against reporting success for a reply that is unsigned, belongs to
// another request, is truncated, encoded or invalid.
func TestInvalidRepliesAreNotSuccess(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	server := d.keepOne("ledger")
	for _, kind := range []worker.Fault{
		worker.FaultUnsigned, worker.FaultForeign, worker.FaultBreak, worker.FaultEncoded, worker.FaultGarbage, worker.FaultReset, worker.FaultUnframed,
	} {
		server.SetFault(kind)
		got := d.send(d.daemons[0], call{path: feesPath + "1"})
		require.Equal(t, http.StatusBadGateway, got.status, kind)
		require.Len(t, d.fleet.RunsOf(got.id), 1, kind)
	}
	server.SetFault(worker.FaultExtra)
	first := d.send(d.daemons[0], call{path: feesPath + "1"})
	require.Equal(t, http.StatusOK, first.status)
	require.Equal(t, worker.ResponseBody(first.id), first.body)
	server.SetFault(worker.FaultNone)
	second := d.send(d.daemons[0], call{path: feesPath + "1"})
	require.Equal(t, worker.ResponseBody(second.id), second.body, "bytes of another reply were sent to the caller")
}

// Guards against changes to an upstream's error reply.
func TestUpstreamErrorsAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	server := d.keepOne("ledger")
	server.SetFault(worker.FaultError)
	got := d.send(d.daemons[0], call{path: feesPath + "1"})
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "sig-"+server.ID, got.header.Get("X-Response-Signature"))
	require.Equal(t, worker.ResponseBody(got.id), got.body)
}

// Guards against forwarding a request that is changed, that contains the caller's
// API key, or that has headers that only the daemon may set.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	got := d.send(d.daemons[0], call{
		path: feesPath + "a%2Fb/../c//d?x=1&y=%20", body: "the body",
		header: http.Header{"X-Tenant": {"another"}, "X-Expect-Instance": {"i-9"}, "X-Hop-Count": {"1.2.3.4:5=0-9"}, "X-Own": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}},
	})
	require.Equal(t, http.StatusOK, got.status)
	runs := d.fleet.RunsOf(got.id)
	require.Len(t, runs, 1)
	require.Equal(t, feesPath+"a%2Fb/../c//d?x=1&y=%20", runs[0].Target)
	require.Equal(t, "the body", runs[0].Body)
	require.Equal(t, http.MethodPost, runs[0].Method)
	require.Equal(t, "clerks", runs[0].Header.Get("X-Tenant"))
	require.Equal(t, runs[0].Server, runs[0].Header.Get("X-Expect-Instance"))
	require.Equal(t, "kept", runs[0].Header.Get("X-Own"))
	for _, name := range []string{"Authorization", "X-Hop", "X-Hop-Count"} {
		require.Empty(t, runs[0].Header.Get(name), name)
	}
}

// Guards against request smuggling: executing a request that is part of another
// request's body, or bytes that follow a refused request.
func TestSmuggledRequestIsNotExecuted(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	hidden := "POST " + feesPath + "hidden HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: hidden\r\nAuthorization: Bearer " + apiKey + "\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n\r\n", len(hidden)),
		fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)),
	} {
		conn, err := net.Dial("tcp", d.daemons[0].settings.Callers.String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST "+feesPath+"outer HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: outer\r\nConnection: close\r\nAuthorization: Bearer "+apiKey+"\r\n"+head+hidden)
		require.NoError(t, err)
		_, _ = io.ReadAll(bufio.NewReader(conn)) // the daemon may reset the connection
		conn.Close()
	}
	require.Empty(t, d.fleet.RunsOf("hidden"))
}

// Guards against forwarding bodies over the limit, and against a daemon that
// crashes on invalid input.
func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	require.Equal(t, http.StatusRequestEntityTooLarge, d.send(d.daemons[0], call{path: feesPath + "1", body: strings.Repeat("x", 65537)}).status)
	require.Equal(t, http.StatusBadRequest, d.send(d.daemons[0], call{path: feesPath + "1", header: http.Header{"X-Deadline-Ms": {"soon"}}, wait: -1}).status)
	require.Equal(t, http.StatusOK, d.send(d.daemons[0], call{path: feesPath + "1"}).status)
}

// Guards against a success that no upstream gave: net/http answers "OPTIONS *" by default.
func TestTargetWithoutPathIsRejected(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	for _, method := range []string{http.MethodOptions, http.MethodGet} {
		conn, err := net.Dial("tcp", d.daemons[0].settings.Callers.String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, method+" * HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: asterisk\r\nConnection: close\r\nAuthorization: Bearer "+apiKey+"\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		response.Body.Close()
		conn.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode, method)
	}
	require.Empty(t, d.fleet.RunsOf("asterisk"))
}

// Guards against heads over the configured limit, and against the rejection of heads within it.
func TestConfiguredHeadLimitIsKept(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	send := func(size int) int {
		return d.send(d.daemons[0], call{path: feesPath + "1", header: http.Header{"X-Filler": {strings.Repeat("x", size)}}}).status
	}
	require.Equal(t, http.StatusOK, send(15<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send(24<<10))
}

// Guards against a connection reset instead of a refusal, due to an unread body.
func TestRefusalsReachCallersThatCloseTheirConnections(t *testing.T) {
	t.Parallel()
	d := newFleet(t)
	node := d.startDaemon(d.settings())
	require.Eventually(t, func() bool { return d.send(node, call{path: "/nowhere/"}).status == http.StatusNotFound }, waitLimit, 20*time.Millisecond)
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for range 100 {
				got := d.send(node, call{path: feesPath + "1", body: strings.Repeat("x", 65537)})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
				got = d.send(node, call{path: "/nowhere/", body: strings.Repeat("x", 60000)})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusNotFound, got.status)
			}
		})
	}
	group.Wait()
}
