package appender_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/appender"
)

// Guards against a control request that changes settings not present in its body,
// and against retention that changes the offsets of records.
func TestControl(t *testing.T) {
	server := &appender.Server{}
	call := func(method, target, body string) (int, string) {
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
		return recorder.Code, recorder.Body.String()
	}
	code, body := call(http.MethodPost, "/v1/control", `{"retention_count":2}`)
	require.Equal(t, 200, code, body)
	for i := range 4 {
		_, body = call(http.MethodPost, "/v1/streams/config/records", "x")
		require.JSONEq(t, `{"offset":`+string(rune('0'+i))+`}`, body)
	}
	_, body = call(http.MethodGet, "/v1/streams/config/records?from=0", "")
	require.Contains(t, body, `{"first":2,"next":4,"entries":[{"offset":2,`)
	code, _ = call(http.MethodPost, "/v1/control", `{"down":true}`)
	require.Equal(t, 200, code)
	require.Equal(t, appender.Settings{Down: true, RetentionCount: 2}, server.Settings())
	code, _ = call(http.MethodGet, "/v1/streams/config/records?from=0", "")
	require.Equal(t, 503, code)
	code, body = call(http.MethodPost, "/v1/control", `{"donw":true}`)
	require.Equal(t, 400, code)
	require.Contains(t, body, "donw")
}
