package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// Guards against a retry that gets outcome unknown or a truncated answer because the
// caller of the first attempt disconnected while the fee was being posted.
func TestFeeOutcomeIsRecordedAfterCallerDisconnects(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1").Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 500 * time.Millisecond}}})
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.listen.Callers.String()+"/v1/services/ledger/fees", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+officerKey)
	request.Header.Set("Idempotency-Key", "gone-1")
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	again, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, map[string]string{"Idempotency-Key": "gone-1"}, "{}")
	require.NoError(t, err)
	require.Equal(t, "done", again.outcome(), "%s", again.body)
	require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
	require.Len(t, d.effectLog.Effects(), 1)
}
