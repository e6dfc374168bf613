package gossiper_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/advertiser"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
)

// forwardingServer starts an HTTP server that forwards each request to an
// address. The channel receives the result of each call to Forward.
func forwardingServer(t *testing.T, d *daemon, address string) (*httptest.Server, chan error) {
	results := make(chan error, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		results <- d.Forward(w, r, address)
	}))
	t.Cleanup(server.Close)
	return server, results
}

// Guards against a forwarded response that differs from a direct one in status,
// header, body or trailer, and against a truncated large body.
func TestForwardedResponseEqualsDirectOne(t *testing.T) {
	fleet := newNetwork().fleet(t, 2, shortPeriod)
	server, results := forwardingServer(t, fleet[0], fleet[1].address)
	body := make([]byte, 1<<20)
	_, err := rand.Read(body)
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, server.URL+"//x/y?q=1", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("X-Sent", "s")
	request.Host = "ledger"
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, <-results)
	require.True(t, bytes.Equal(body, got))
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "POST s q=1 ledger", response.Header.Get("X-Echo"))
	require.Equal(t, "done", response.Trailer.Get("Cowslip-Outcome"))
}

// Guards against a request that is reported as not started although it may have
// run, or the reverse, and against forwarding loops and unlimited bodies.
func TestForwardErrors(t *testing.T) {
	fleet := newNetwork().fleet(t, 2, shortPeriod)
	forward := func(address, path string, body io.Reader) error {
		return fleet[0].Forward(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, body), address)
	}
	err := forward(fleet[1].address, "/break", nil)
	require.ErrorContains(t, err, "request ended early")
	require.NotErrorIs(t, err, cowslipproxy.ErrNotStarted)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	require.ErrorIs(t, forward(listener.Addr().String(), "/", nil), cowslipproxy.ErrNotStarted)

	large := make([]byte, 17<<20)
	err = forward(fleet[1].address, "/", bytes.NewReader(large))
	require.ErrorIs(t, err, gossiper.ErrTooLarge)
	require.ErrorIs(t, err, cowslipproxy.ErrNotStarted)
	err = forward(fleet[1].address, "/", io.MultiReader(bytes.NewReader(large))) // of unknown length
	require.ErrorIs(t, err, gossiper.ErrTooLarge)
	require.NotErrorIs(t, err, cowslipproxy.ErrNotStarted)

	loopResult := make(chan error, 1)
	fleet[1].Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		loopResult <- fleet[1].Forward(w, r, fleet[0].address)
	})
	require.NoError(t, forward(fleet[1].address, "/", nil))
	require.ErrorIs(t, <-loopResult, cowslipproxy.ErrNotStarted)
}

// Guards against a request that continues to run at the other daemon after its
// caller disconnected.
func TestForwardIsCancelledWithCaller(t *testing.T) {
	fleet := newNetwork().fleet(t, 2, shortPeriod)
	server, results := forwardingServer(t, fleet[0], fleet[1].address)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/hang", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	require.Error(t, <-results)
	eventually(t, hangCancelled.Load)
}

// Guards against a planned stop that interrupts a request in flight, and against
// address responses that include the daemon after its stop was published.
func TestStopWithRequestsInFlight(t *testing.T) {
	fleet := newNetwork().fleet(t, 5, shortPeriod)
	server, results := forwardingServer(t, fleet[0], fleet[1].address)
	reader, writer := io.Pipe()
	t.Cleanup(func() { require.NoError(t, writer.Close()) }) // the server waits for the request's end
	echoed := make(chan string, 1)
	go func() {
		response, err := http.Post(server.URL+"/", "text/plain", reader)
		if err != nil {
			echoed <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body) // a truncated response lacks the trailer
		echoed <- string(text) + " " + response.Trailer.Get("Cowslip-Outcome")
	}()
	_, err := writer.Write([]byte("first "))
	require.NoError(t, err)
	stopper := advertiser.Stopper{Propagation: time.Second, Lifetime: time.Second}
	stopper.Begin(start)
	require.NoError(t, fleet[1].PublishStopping())
	for i, d := range fleet {
		eventually(t, func() bool { return countStopping(d) == 1 })
		a := advertiser.Advertiser{Centre: centres[i%3], Random: mathrand.New(mathrand.NewPCG(1, 2))}
		// A daemon names others once it has heard from them, which takes a round after the start.
		require.Eventually(t, func() bool {
			addresses := a.SelectAddresses(time.Now(), d.Members()).Addresses
			for _, address := range addresses {
				require.NotEqual(t, fleet[1].address, address.Address.String())
			}
			return len(addresses) == 4
		}, d.Timeout, 5*time.Millisecond)
	}
	require.Equal(t, advertiser.PhaseFinishing, stopper.Step(1, start.Add(time.Hour)))
	_, err = writer.Write([]byte("last"))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	require.Equal(t, "first last done", <-echoed)
	require.NoError(t, <-results)
	require.Equal(t, advertiser.PhaseEnded, stopper.Step(0, start.Add(time.Hour)))
	require.NoError(t, fleet[1].shutDown())
}
