package router_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
)

// echoLines answers each line of a body as soon as it was read.
func echoLines(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // the test fails by itself without it
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		_, _ = io.WriteString(w, lines.Text()+"\n")
		_ = controller.Flush()
	}
}

// Guards against a body that is held back until the answer begins, and against
// an answer that is held back until the body ends.
func TestServiceStreamsBothWays(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.list.Put(cowslipproxy.VM{Name: "lines", Role: cowslipproxy.VMService, Service: "ledger", Centre: "oyo-a", State: cowslipproxy.VMLive, Address: d.serve(http.HandlerFunc(echoLines))})
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	body, input := io.Pipe()
	request, err := http.NewRequest(http.MethodPut, "http://"+one.at.Callers.String()+"/v1/services/ledger/lines", body)
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
