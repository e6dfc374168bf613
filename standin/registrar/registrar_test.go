package registrar_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

const vm = `{"name":"a","role":"entry","address":"127.0.0.1:1","centre":"x","state":"live"}`

func send(t *testing.T, handler http.Handler, method, path, body string) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	t.Log(recorder.Body)
	return recorder.Code
}

// Guards against a stand-in that ignores the lag, outage or stale fault. Tests of
// daemons that rely on these faults would then pass without testing anything.
func TestFaults(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := &registrar.Registrar{Now: func() time.Time { return now }}
	handler := r.Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	l := &lister.Lister{URL: server.URL}
	states := func() string {
		vms, err := l.VMs(t.Context())
		if err != nil {
			return "outage"
		}
		text := ""
		for _, vm := range vms {
			text += vm.Name + " " + string(vm.State)
		}
		return text
	}
	require.Equal(t, http.StatusNoContent, send(t, handler, http.MethodPut, "/v1/vms/a", vm))
	require.Equal(t, "a live", states())
	require.Equal(t, http.StatusNoContent, send(t, handler, http.MethodPut, "/control", `{"lag":"2s"}`))
	require.Empty(t, states())
	now = now.Add(2 * time.Second)
	require.Equal(t, "a live", states())
	r.MarkLeaving("a")
	require.Equal(t, "a live", states())
	r.Set(registrar.Control{Stale: true})
	now = now.Add(time.Minute)
	require.Equal(t, "a live", states())
	r.Set(registrar.Control{Outage: true})
	require.Equal(t, "outage", states())
	r.Set(registrar.Control{Lag: cowslipproxy.Duration(time.Second)})
	require.Equal(t, "a leaving", states())
	require.Equal(t, http.StatusNoContent, send(t, handler, http.MethodDelete, "/v1/vms/a", ""))
	now = now.Add(time.Second)
	require.Empty(t, states())
	require.Equal(t, http.StatusBadRequest, send(t, handler, http.MethodPut, "/v1/vms/b", vm))
	require.Equal(t, http.StatusBadRequest, send(t, handler, http.MethodPut, "/control", `{"lagg":"2s"}`))
}
