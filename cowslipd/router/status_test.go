package router_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
)

// invalidStatuses are no statuses of a complete HTTP response. net/http accepts some of them.
var invalidStatuses = []string{"000", "000 OK", "001", "020", "099", "101 Switching Protocols", "+20 OK", "-20 OK", "600", "700 OK", "999 OK", "20 OK", "2000 OK", "0200 OK", "2OO OK", "200OK", "abc", ""}

// Guards against callers that get a reply without an HTTP status as the answer of a service.
func TestServiceReplyWithoutStatusIsNoAnswer(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	var replies []string
	for _, status := range invalidStatuses {
		replies = append(replies, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 7\r\nConnection: close\r\n\r\nfailure", status))
	}
	mu, runs := &sync.Mutex{}, map[string]int{}
	for i := range 2 {
		s := &cuttingServer{replies: replies, mu: mu, runs: runs}
		d.list.Put(cowslipproxy.VM{Name: fmt.Sprint("ledger-", i), Role: cowslipproxy.VMService, Service: "ledger", Address: d.serve(s), Centre: "oyo-a", State: cowslipproxy.VMLive})
	}
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	repeated := 0
	for number, status := range invalidStatuses {
		header := map[string]string{cutHeader: fmt.Sprint(number, ",", len(replies[number]))}
		got, err := d.call(entry, http.MethodPost, fmt.Sprint("/v1/services/ledger/fees/", number), officerKey, header, "fee")
		require.NoError(t, err, "%q", status)
		require.Equal(t, "unknown", got.outcome(), "%q", status)
		require.Equal(t, http.StatusBadGateway, got.StatusCode, "%q", status)
		got, err = d.call(entry, http.MethodGet, fmt.Sprint("/v1/services/ledger/reads/", number), officerKey, header, "")
		require.NoError(t, err, "%q", status)
		if got.outcome() == "unknown" {
			require.Equal(t, http.StatusBadGateway, got.StatusCode, "%q", status)
			continue // the retry budget allowed no second attempt
		}
		repeated++
		require.Equal(t, http.StatusOK, got.StatusCode, "%q", status)
		require.Equal(t, cutBody, string(got.body), "%q", status)
	}
	require.Positive(t, repeated)
}
