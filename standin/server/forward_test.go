package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// fleet is a service of several servers that share one effect log.
type fleet struct {
	effectLog server.EffectLog
	servers   []*server.Server
	upstreams []*forwarder.Server
}

// Pick implements forwarder.Picker.
func (f *fleet) Pick(_ time.Time, _ string, tried []string) (string, cowslipproxy.ServiceUpstream, bool) {
	for i, upstream := range f.upstreams {
		if name := fmt.Sprint(i); !slices.Contains(tried, name) {
			return name, upstream, true
		}
	}
	return "", nil, false
}

func newFleet(t *testing.T, size int) *fleet {
	ignoreCurrent := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignoreCurrent) })
	f := &fleet{}
	for range size {
		s := &server.Server{EffectLog: &f.effectLog}
		listener := httptest.NewServer(s)
		upstream := &forwarder.Server{Address: netip.MustParseAddrPort(listener.Listener.Addr().String())}
		f.servers, f.upstreams = append(f.servers, s), append(f.upstreams, upstream)
		t.Cleanup(func() { upstream.Close(); listener.Close() })
	}
	return f
}

func ledger() cowslipproxy.Service {
	return cowslipproxy.Service{
		Name: "ledger", Effect: cowslipproxy.EffectOnce, Timeout: cowslipproxy.Duration(10 * time.Second),
		Rules: []cowslipproxy.Rule{{Method: "GET", Path: "/", Effect: cowslipproxy.EffectRepeat}, {Method: "PUT", Path: "/echo", Effect: cowslipproxy.EffectRepeat}},
	}
}

func fee(key, body string) cowslipproxy.ServiceCall {
	return cowslipproxy.ServiceCall{
		Request: "r-" + key, Service: "ledger", Method: http.MethodPost, Path: "/fees",
		Header: http.Header{"Idempotency-Key": {key}}, Body: strings.NewReader(body), Length: int64(len(body)),
	}
}

// outcome forwards a call and returns its outcome, body and error as the caller sees them.
func outcome(ctx context.Context, f *forwarder.Forwarder, service cowslipproxy.Service, call cowslipproxy.ServiceCall) (cowslipproxy.Outcome, string, error) {
	response, err := f.Forward(ctx, service, call)
	var body []byte
	if err == nil {
		defer response.Body.Close()
		body, err = io.ReadAll(response.Body)
	}
	var failure *cowslipproxy.Failure
	if errors.As(err, &failure) {
		return failure.Outcome, string(body), err
	}
	return cowslipproxy.OutcomeDone, string(body), err
}

// Guards against an outcome that contradicts the effects: a call that is reported as
// done without its effect, or sent again after it may have started.
func TestOutcomeMatchesEffects(t *testing.T) {
	keyed := ledger()
	keyed.Keyed = true
	shortTimeout := ledger()
	shortTimeout.Timeout = cowslipproxy.Duration(100 * time.Millisecond)
	for _, c := range []struct {
		name    string
		service cowslipproxy.Service
		fault   server.Fault
		honour  bool
		body    string
		want    cowslipproxy.Outcome
		effects int
	}{
		{"no fault", ledger(), server.Fault{Kind: server.FaultDelay, Count: 1}, false, "7", cowslipproxy.OutcomeDone, 1},
		{"response lost", ledger(), server.Fault{Kind: server.FaultLost, Count: 1}, false, "7", cowslipproxy.OutcomeUnknown, 1},
		{"response lost, no body", ledger(), server.Fault{Kind: server.FaultLost, Count: 1}, false, "", cowslipproxy.OutcomeUnknown, 1},
		{"response truncated", ledger(), server.Fault{Kind: server.FaultTruncate, Count: 1}, false, "7", cowslipproxy.OutcomeUnknown, 1},
		{"closed before reading the body", ledger(), server.Fault{Kind: server.FaultClose, Count: 1}, false, "7", cowslipproxy.OutcomeUnknown, 0},
		{"crash", ledger(), server.Fault{Kind: server.FaultCrash, Text: "7"}, false, "7", cowslipproxy.OutcomeUnknown, 0},
		{"refused once", ledger(), server.Fault{Kind: server.FaultRefuse, Count: 1}, false, "7", cowslipproxy.OutcomeDone, 1},
		{"timeout", shortTimeout, server.Fault{Kind: server.FaultDelay, Wait: time.Second}, false, "7", cowslipproxy.OutcomeUnknown, 0},
		{"keyed, response lost", keyed, server.Fault{Kind: server.FaultLost, Count: 1}, true, "7", cowslipproxy.OutcomeDone, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			for i, s := range f.servers {
				s.Set(server.Control{HonourKeys: c.honour})
				if i == 0 {
					s.Set(server.Control{Faults: []server.Fault{c.fault}, HonourKeys: c.honour})
				}
			}
			// A first call opens the connection that the faulty call reuses, since
			// http.Transport retries by itself only on a reused connection.
			_, _, err := outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), cowslipproxy.ServiceCall{Method: "GET", Path: "/account"})
			require.NoError(t, err)
			got, _, _ := outcome(t.Context(), &forwarder.Forwarder{Picker: f}, c.service, fee("k", c.body))
			require.Equal(t, c.want, got)
			require.Len(t, f.effectLog.Effects(), c.effects)
			if c.want == cowslipproxy.OutcomeUnknown {
				require.Equal(t, 1, f.servers[0].Received(), "the call was sent again although it may have started")
				require.Zero(t, f.servers[1].Received()+f.servers[2].Received())
			}
		})
	}
}

// Guards against the outcome refused for a call that had an effect, and against a
// refusal or failed connection of one upstream that prevents attempts at the others.
func TestRefusedCallsHaveNoEffect(t *testing.T) {
	f := newFleet(t, 2)
	for _, s := range f.servers {
		s.Set(server.Control{Faults: []server.Fault{{Kind: server.FaultRefuse}}})
	}
	got, _, err := outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), fee("k", "7"))
	require.Equal(t, cowslipproxy.OutcomeRefused, got, "%v", err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close()) // nothing listens on this port now
	unreachable := &forwarder.Server{Address: netip.MustParseAddrPort(listener.Addr().String())}
	f.upstreams = append([]*forwarder.Server{unreachable}, f.upstreams...)
	f.servers[1].Set(server.Control{})
	got, _, err = outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), fee("k2", "7"))
	require.Equal(t, cowslipproxy.OutcomeDone, got, "%v", err)
	f.upstreams = f.upstreams[:1]
	got, _, err = outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), fee("k3", "7"))
	require.Equal(t, cowslipproxy.OutcomeRefused, got, "%v", err)
	require.Len(t, f.effectLog.Effects(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got, _, _ = outcome(ctx, &forwarder.Forwarder{Picker: f}, ledger(), fee("k4", "7"))
	require.Equal(t, cowslipproxy.OutcomeRefused, got)
}

// Guards against idempotent calls that fail although another server is available, and
// against a retry that sends a large body without its beginning.
func TestRetryOfIdempotentCalls(t *testing.T) {
	f := newFleet(t, 2)
	f.servers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultLost, Path: "/tenancies", Count: 1}, {Kind: server.FaultClose, Path: "/echo", Count: 1}, {Kind: server.FaultCrash, Path: "/echo", Text: "x"}}})
	lookup := cowslipproxy.ServiceCall{Method: "GET", Path: "/tenancies/7"}
	got, body, err := outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), lookup)
	require.Equal(t, cowslipproxy.OutcomeDone, got, "%v", err)
	require.Contains(t, body, `"id":"7"`)
	for i, size := range []int{1 << 20, 4 << 20} { // a body larger than forwarder.MaxReplay is not sent again
		want := []cowslipproxy.Outcome{cowslipproxy.OutcomeDone, cowslipproxy.OutcomeUnknown}[i]
		large := cowslipproxy.ServiceCall{Method: "PUT", Path: "/echo", Body: strings.NewReader(strings.Repeat("x", size)), Length: -1}
		got, body, err = outcome(t.Context(), &forwarder.Forwarder{Picker: f}, ledger(), large)
		require.Equal(t, want, got, "%d bytes: %v", size, err)
		if want == cowslipproxy.OutcomeDone {
			require.Greater(t, len(body), size)
		}
	}
}

// Guards against modified requests, against forwarded hop-by-hop headers, and against
// streamed responses that are buffered until they are complete.
func TestForwardingPreservesRequests(t *testing.T) {
	f := newFleet(t, 1)
	forward := &forwarder.Forwarder{Picker: f}
	response, err := forward.Forward(t.Context(), ledger(), cowslipproxy.ServiceCall{
		Request: "r1", Method: "PATCH", Path: "/echo/a%2Fb?q=1&q=%20", Body: strings.NewReader("text"), Length: 4,
		Header: http.Header{"X-Own": {"1", "2"}, "Idempotency-Key": {"k"}, "Connection": {"X-Mine"}, "X-Mine": {"1"}, "Te": {"trailers"}},
	})
	require.NoError(t, err)
	var received struct {
		Method, Path, Query, Body string
		Header                    http.Header
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&received))
	require.NoError(t, response.Body.Close())
	require.Equal(t, []string{"PATCH", "/echo/a%2Fb", "q=1&q=%20", "text"}, []string{received.Method, received.Path, received.Query, received.Body})
	require.Equal(t, http.Header{"X-Own": {"1", "2"}, "Idempotency-Key": {"k"}, "Cowslip-Request": {"r1"}, "Content-Length": {"4"}}, received.Header)
	require.Equal(t, "1", response.Header.Get("X-End"))
	require.Empty(t, response.Header.Get("X-Hop"))

	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write([]byte("one\ntwo\n")); _ = writer.Close() }()
	_, body, err := outcome(t.Context(), forward, ledger(), cowslipproxy.ServiceCall{Method: "POST", Path: "/stream", Body: reader, Length: -1})
	require.NoError(t, err)
	require.Equal(t, "data: one\n\ndata: two\n\ndata: [DONE]\n\n", body)
	f.servers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultTruncate}}})
	got, body, _ := outcome(t.Context(), forward, ledger(), cowslipproxy.ServiceCall{Method: "POST", Path: "/stream", Body: strings.NewReader("one\ntwo\n"), Length: 8})
	require.Equal(t, cowslipproxy.OutcomeUnknown, got)
	require.Equal(t, "data: one\n\n", body)
	limited := &forwarder.Forwarder{Picker: f, MaxBody: 3}
	_, _, err = outcome(t.Context(), limited, ledger(), fee("k", "1234"))
	require.ErrorContains(t, err, string(cowslipproxy.ReasonTooLarge))
}

// Guards against a control endpoint that accepts unknown faults or fields.
func TestControl(t *testing.T) {
	s := httptest.NewServer(&server.Server{})
	defer s.Close()
	for body, want := range map[string]int{`{"faults":[{"kind":"lost"}]}`: 204, `{"faults":[{"kind":"odd"}]}`: 400, `{"fault":[]}`: 400} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, s.URL+"/control", strings.NewReader(body))
		require.NoError(t, err)
		response, err := s.Client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, response.StatusCode, body)
	}
}
