package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// slowReader waits before it returns its text.
type slowReader struct {
	until <-chan struct{}
	*strings.Reader
}

func (r *slowReader) Read(data []byte) (int, error) {
	<-r.until
	return r.Reader.Read(data)
}

// Guards against requests that a stop cuts, because they take longer than the grace time or their body ends late.
func TestStopAnswersRequestsBeyondGrace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	settings := d.settings("entry-1")
	settings.Grace = cowslipproxy.Duration(100 * time.Millisecond)
	entry := d.startDaemonWith(settings)
	configuration := configuration()
	configuration.Services[0].Timeout = cowslipproxy.Duration(time.Minute)
	d.publishConfiguration(configuration)
	d.awaitReady(entry)
	d.ledgers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 12 * time.Second}}})
	entry.stop()
	atWork, slow := make(chan *reply, 10), make(chan *http.Response, 1)
	for i := range cap(atWork) {
		go func() {
			got, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, map[string]string{"Cowslip-Deadline": "30s"}, fmt.Sprint("fee ", i))
			require.NoError(t, err, "a request was cut")
			atWork <- got
		}()
	}
	finishing := make(chan struct{})
	go func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+entry.listen.Callers.String()+"/v1/services/ledger/fees", &slowReader{finishing, strings.NewReader("late")})
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+officerKey)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		slow <- response
	}()
	d.awaitPhase(entry, "finishing")
	close(finishing)
	for range cap(atWork) {
		got := <-atWork
		require.Equal(t, "done", got.outcome(), got.String())
	}
	response := <-slow
	defer response.Body.Close()
	require.Contains(t, []string{"done", "refused"}, response.Header.Get("Cowslip-Outcome"))
	d.awaitExit(entry)
}
