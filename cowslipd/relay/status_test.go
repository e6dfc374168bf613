package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// invalidStatuses are no statuses of a complete HTTP response. net/http accepts some of them.
var invalidStatuses = []string{"000", "000 OK", "001", "020", "099", "101 Switching Protocols", "+20 OK", "-20 OK", "600", "700 OK", "999 OK", "20 OK", "2000 OK", "0200 OK", "2OO OK", "200OK", "abc", ""}

// Guards against callers that get a reply without an HTTP status as the answer of a plain service.
func TestReplyWithoutStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	served := 0
	for _, status := range invalidStatuses {
		for _, header := range []string{"", "X-Response-Signature: sig\r\n", "X-Response-Signature: sig\r\nX-Not-Executed: 1\r\n"} {
			servers := d.fleet.Servers("ledger")
			for _, server := range servers {
				server.SetScript(func(id, _ string) string { return rejection(id, status, header) })
			}
			form := fmt.Sprintf("%q with %q", status, header)
			for _, c := range []call{{path: feesPath + "1"}, {path: readsPath + "1", method: http.MethodGet}} {
				got := d.send(d.daemons[0], c)
				require.NoError(t, got.err, form)
				require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, form)
				require.Less(t, got.status, 600, form)
				require.NotContains(t, got.body, "failure", form)
			}
			servers[0].SetScript(func(string, string) string { return "" }) // the regular reply
			got := d.send(d.daemons[0], call{path: readsPath + "1", method: http.MethodGet})
			require.NoError(t, got.err, form)
			if got.status == http.StatusOK {
				served++
				require.Equal(t, worker.ResponseBody(got.id), got.body, form)
			}
		}
	}
	require.Positive(t, served, "no reply of the other server was used")
}

// Guards against callers that get a reply without an HTTP status as their stream or as its rest.
func TestStreamWithoutStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			invalid := func(id string) string { return rejection(id, status, "X-Response-Signature: sig\r\n") }
			for _, got := range sendScripted(t, 1, invalid, func(string, int) string { return "" }) {
				require.NoError(t, got.err)
				require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
				require.Less(t, got.status, 600)
			}
			resumed := sendScripted(t, 1, func(id string) string { return unframedStream(id, 1, 3) }, func(id string, _ int) string { return invalid(id) })
			for _, got := range resumed {
				require.NotContains(t, got.body, "failure")
			}
		})
	}
}
