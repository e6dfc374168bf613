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
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/resetter"
)

// disconnectedWriter is the connection to a caller that has disconnected.
type disconnectedWriter struct{ http.ResponseWriter }

func (disconnectedWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// stub is a ServiceRunner that returns a complete response for each call, and an
// Admitter that admits all calls.
type stub struct{}

func (stub) Call(context.Context, cowslipproxy.Service, cowslipproxy.ServiceCall, time.Time) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("complete response"))}, nil
}

func (stub) Admit(context.Context, caller.Admission) (func(int), error) { return func(int) {}, nil }

// fakeGuard is a Guard that records whether dispatch returned, in which case the
// response is recorded as complete.
type fakeGuard struct{ completed bool }

func (g *fakeGuard) Once(w http.ResponseWriter, _ *http.Request, _ caller.Attempt, dispatch func(http.ResponseWriter)) {
	dispatch(w)
	g.completed = true
}

// Guards against a response that is recorded as complete although the caller
// disconnected while it was being copied.
func TestPartialResponseIsNotRecordedAsComplete(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	active := cowslipproxy.ActiveConfiguration{Configuration: cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{{Name: "officers", Keys: []string{hex.EncodeToString(sum[:])}}},
		Services:  []cowslipproxy.Service{{Name: "ledger", Effect: cowslipproxy.EffectOnce}},
	}}.Indexed()
	guard := &fakeGuard{}
	server := &caller.Server{
		ActiveConfiguration: func() (cowslipproxy.ActiveConfiguration, bool) { return active, true },
		Admitter:            stub{}, Services: stub{}, Guard: guard,
		BodyLimit: 1 << 10, DefaultTimeout: time.Minute, Metrics: metrics.NewRegistry(),
		Clock: func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
	}
	request := httptest.NewRequest(http.MethodPost, "/v1/services/ledger/fees", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer key")
	require.PanicsWithValue(t, http.ErrAbortHandler, func() {
		server.Handler().ServeHTTP(disconnectedWriter{httptest.NewRecorder()}, request)
	})
	require.False(t, guard.completed)
	recorder := httptest.NewRecorder()
	request = httptest.NewRequest(http.MethodPost, "/v1/services/ledger/fees", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer key")
	server.Handler().ServeHTTP(recorder, request)
	require.True(t, guard.completed)
	require.Equal(t, "complete response", recorder.Body.String())
}

// unframedService answers with neither a length nor chunks.
type unframedService struct{ stub }

func (unframedService) Call(context.Context, cowslipproxy.Service, cowslipproxy.ServiceCall, time.Time) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader("half of the ans"))}, nil
}

// Guards against an answer that a crash may have ended and that gets chunks with a regular end.
func TestUnframedAnswerKeepsItsForm(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	active := cowslipproxy.ActiveConfiguration{Configuration: cowslipproxy.Configuration{
		Customers: []cowslipproxy.Customer{{Name: "officers", Keys: []string{hex.EncodeToString(sum[:])}}},
		Services:  []cowslipproxy.Service{{Name: "ledger", Effect: cowslipproxy.EffectRepeat}},
	}}.Indexed()
	server := httptest.NewServer((&caller.Server{
		ActiveConfiguration: func() (cowslipproxy.ActiveConfiguration, bool) { return active, true },
		Admitter:            stub{}, Services: unframedService{}, Guard: &fakeGuard{},
		BodyLimit: 1 << 10, DefaultTimeout: time.Minute, Metrics: metrics.NewRegistry(), Clock: time.Now,
	}).Handler())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/services/ledger/fees", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "half of the ans", string(body))
	require.False(t, cowslipproxy.IsFramed(response))
}

// brokenService answers with neither a length nor chunks and breaks off.
type brokenService struct{ stub }

func (brokenService) Call(context.Context, cowslipproxy.Service, cowslipproxy.ServiceCall, time.Time) (*http.Response, error) {
	body := io.MultiReader(strings.NewReader("half of the ans"), iotest.ErrReader(errors.New("connection reset")))
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(body)}, nil
}

// Guards against an answer without length or chunks that is known to be broken and ends like a complete one.
func TestBrokenUnframedAnswerEndsWithError(t *testing.T) {
	for _, effect := range []cowslipproxy.Effect{cowslipproxy.EffectRepeat, cowslipproxy.EffectOnce} {
		t.Run(string(effect), func(t *testing.T) {
			sum := sha256.Sum256([]byte("key"))
			active := cowslipproxy.ActiveConfiguration{Configuration: cowslipproxy.Configuration{
				Customers: []cowslipproxy.Customer{{Name: "officers", Keys: []string{hex.EncodeToString(sum[:])}}},
				Services:  []cowslipproxy.Service{{Name: "ledger", Effect: effect}},
			}}.Indexed()
			server := httptest.NewUnstartedServer(resetter.Handler((&caller.Server{
				ActiveConfiguration: func() (cowslipproxy.ActiveConfiguration, bool) { return active, true },
				Admitter:            stub{}, Services: brokenService{}, Guard: &fakeGuard{},
				BodyLimit: 1 << 10, DefaultTimeout: time.Minute, Metrics: metrics.NewRegistry(), Clock: time.Now,
			}).Handler()))
			server.Config.ConnContext = resetter.SaveConn
			server.Start()
			defer server.Close()
			request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/services/ledger/fees", strings.NewReader("{}"))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer key")
			response, err := server.Client().Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.Error(t, err, "%q ends as if it were complete", body)
		})
	}
}
