package router_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
)

// echoLines echoes each line of a request body as soon as it has been read.
func echoLines(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // the test fails if this has no effect
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		_, _ = io.WriteString(w, lines.Text()+"\n")
		_ = controller.Flush()
	}
}

// Guards against buffering a request body until the response starts, and against
// buffering a response until the request body ends.
func TestServiceStreamsInBothDirections(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.list.Put(cowslipproxy.VM{Name: "lines", Role: cowslipproxy.VMService, Service: "ledger", Centre: "oyo-a", State: cowslipproxy.VMLive, Address: d.serve(http.HandlerFunc(echoLines))})
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	body, input := io.Pipe()
	request, err := http.NewRequest(http.MethodPut, "http://"+entry.listen.Callers.String()+"/v1/services/ledger/lines", body)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+officerKey)
	go func() { _, _ = io.WriteString(input, "first\n") }()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer := bufio.NewReader(response.Body)
	for _, line := range []string{"second", "third", ""} {
		got, err := answer.ReadString('\n')
		require.NoError(t, err)
		require.NotEmpty(t, got)
		if line != "" {
			_, err = io.WriteString(input, line+"\n")
			require.NoError(t, err)
		}
	}
	require.NoError(t, input.Close())
	rest, err := io.ReadAll(answer)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, "done", response.Header.Get("Cowslip-Outcome"))
}
