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

// Guards against a resend that gets unknown, or a part of the answer, because the
// first caller went away while the fee was being posted.
func TestFeeIsKnownAfterItsCallerWentAway(t *testing.T) {
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1").Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 500 * time.Millisecond}}})
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+one.at.Callers.String()+"/v1/services/ledger/fees", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+officerKey)
	request.Header.Set("Idempotency-Key", "gone-1")
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	again, err := d.call(one, http.MethodPost, "/v1/services/ledger/fees", officerKey, map[string]string{"Idempotency-Key": "gone-1"}, "{}")
	require.NoError(t, err)
	require.Equal(t, "done", again.outcome(), "%s", again.body)
	require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
	require.Len(t, d.account.Effects(), 1)
}
