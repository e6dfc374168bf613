package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
)

// brokenWriter is the connection to a caller that went away.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// upstream is a service that gives a whole answer and admits all calls.
type upstream struct{}

func (upstream) Call(context.Context, cowslipproxy.Service, cowslipproxy.ServiceCall, time.Time) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole answer"))}, nil
}

func (upstream) Admit(context.Context, caller.Admission) (func(int), error) { return func(int) {}, nil }

// watcher is a guard that notes whether the dispatch returned, in which case the
// answer is recorded as whole.
type watcher struct{ whole bool }

func (g *watcher) Once(w http.ResponseWriter, _ *http.Request, _ caller.Send, dispatch func(http.ResponseWriter)) {
	dispatch(w)
	g.whole = true
}

// Guards against an answer that is recorded as whole although it was copied
// only in part, because its caller went away.
func TestBrokenCallerIsNotTakenForAWholeAnswer(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	settled := cowslipproxy.Settled{Configuration: cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{{Name: "officers", Keys: []string{hex.EncodeToString(sum[:])}}},
		Services:  []cowslipproxy.Service{{Name: "ledger", Effect: cowslipproxy.EffectOnce}},
	}}.Indexed()
	guard := &watcher{}
	server := &caller.Server{
		Settled:  func() (cowslipproxy.Settled, bool) { return settled, true },
		Admitter: upstream{}, Services: upstream{}, Guard: guard,
		BodyLimit: 1 << 10, Wait: time.Minute, Metrics: metrics.NewRegistry(),
		Clock: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
	}
	request := httptest.NewRequest(http.MethodPost, "/v1/services/ledger/fees", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer key")
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		server.Handler().ServeHTTP(brokenWriter{httptest.NewRecorder()}, request)
	})
	require.False(t, guard.whole)
	recorder := httptest.NewRecorder()
	request = httptest.NewRequest(http.MethodPost, "/v1/services/ledger/fees", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer key")
	server.Handler().ServeHTTP(recorder, request)
	require.True(t, guard.whole)
	require.Equal(t, "whole answer", recorder.Body.String())
}
