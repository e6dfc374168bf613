package main_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/chooser"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/operator"
	"github.com/cowslipproxy/cowslipproxy/pooler"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

// fakeDaemon serves the operator API of a daemon and records the commands that it
// receives.
type fakeDaemon struct {
	mu       sync.Mutex
	commands []string
}

func (f *fakeDaemon) record(command string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, command)
}

// takeCommands returns the commands received since its last call.
func (f *fakeDaemon) takeCommands() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	commands := strings.Join(f.commands, ";")
	f.commands = nil
	return commands
}

// serve starts the operator API and returns its address.
func (f *fakeDaemon) serve(t *testing.T) string {
	server := &operator.Server{
		Metrics: metrics.NewRegistry(),
		Dump: func() any {
			return router.Dump{
				Health: operator.Health{Name: "entry-1-abc", Ready: true, Phase: "serving", Offset: 7}, Centre: "oyo-a",
				Upstreams: pooler.Dump{Engines: []pooler.EngineState{{VM: cowslipproxy.VM{Name: "engine-1"}, Reason: "drained"}}},
				Suspects: []router.Suspect{{Record: quarantiner.Record{RequestFingerprint: quarantiner.RequestFingerprint{Customer: "clerks", Content: 0xfeed}},
					Fingerprint: "feed", State: quarantiner.StateQuarantined}},
			}
		},
		Explain: func(q operator.ExplainRequest) (any, error) {
			f.record(q.Customer + " " + q.Model + q.Service + " " + q.Method + " " + q.Path + " " + q.Prompt)
			chain := chooser.Explanation{Candidates: []chooser.Candidate{{Name: "engine-1", Verdict: chooser.VerdictUnusable, Cost: time.Second}}}
			if q.Prompt == "no" {
				chain.Failure = "no_chain: gap"
			}
			return router.Explanation{Offset: 7, Effect: "repeat", Tokens: q.Max, Chain: &chain}, nil
		},
		Drain: func(command operator.DrainRequest) {
			f.record(command.Upstream + map[bool]string{true: " on", false: " off"}[command.On])
			if command.Upstream == "lost" {
				panic(http.ErrAbortHandler)
			}
		},
		Stop: func() { f.record("stop") },
		Lift: func(fingerprint string) bool { return fingerprint == "feed" },
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

// Guards against commands that reach the daemon altered, against exit codes that report
// the wrong result to a script, and against truncated or invalid responses that are accepted.
func TestDaemonCommands(t *testing.T) {
	p := build(t)
	f := &fakeDaemon{}
	address := f.serve(t)
	t.Setenv("COWSLIP_OPERATOR", address)
	truncated := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"name":`) }))
	t.Cleanup(truncated.Close)
	odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
		_ = conn.Close()
	}))
	t.Cleanup(odd.Close)
	for _, c := range []struct {
		args    []string
		code    int
		want    string
		command string
	}{
		{[]string{"dump", "--operator", strings.TrimPrefix(truncated.URL, "http://")}, 1, "response", ""},
		{[]string{"dump", "--json", "--operator", strings.TrimPrefix(truncated.URL, "http://")}, 1, "response", ""},
		{[]string{"dump", "--operator", strings.TrimPrefix(odd.URL, "http://")}, 1, "status 000", ""},
		{[]string{"drain", "--operator", strings.TrimPrefix(odd.URL, "http://"), "engine-1"}, 1, "status 000", ""},
		{[]string{"dump"}, 0, "feed         clerks    quarantined", ""},
		{[]string{"dump"}, 0, "drained", ""},
		{[]string{"dump", "--json"}, 0, `"name": "entry-1-abc"`, ""},
		{[]string{"dump", "--operator", "localhost"}, 2, "operator: \"localhost\" is not an IP address and port", ""},
		{[]string{"dump", "--operator", "127.0.0.1:1"}, 1, "refused", ""},
		{[]string{"dump", "more"}, 2, "arguments: 1 given, but none is allowed", ""},
		{[]string{"explain", "--customer", "clerks", "--model", "scribe", "--prompt", "hello", "--max", "9"}, 0, "unusable", "clerks scribe GET / hello"},
		{[]string{"explain", "--customer", "clerks", "--service", "ledger", "--method", "POST", "--path", "/fees", "--json"}, 0, `"offset": 7`, "clerks ledger POST /fees "},
		{[]string{"explain", "--customer", "clerks", "--model", "scribe", "--prompt", "no"}, 1, "no_chain: gap", "clerks scribe GET / no"},
		{[]string{"explain", "--model", "scribe"}, 2, "customer: missing", ""},
		{[]string{"explain", "--customer", "clerks"}, 2, "model \"\" and service \"\" given, but exactly one is required", ""},
		{[]string{"drain", "engine-1"}, 0, "gets no new work", "engine-1 on"},
		{[]string{"drain", "--off", "engine-1"}, 0, "drain ended", "engine-1 off"},
		{[]string{"drain", "--daemon"}, 0, "planned stop begun", "stop"},
		{[]string{"drain", "--daemon", "engine-1"}, 2, "--daemon must be alone", ""},
		{[]string{"drain"}, 2, "arguments: 0 given, but one UPSTREAM", ""},
		{[]string{"drain", "lost"}, 4, "run the command again", "lost on"},
		{[]string{"drain", strings.Repeat("x", 65)}, 1, "upstream: \"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\" is not at most 64", ""},
		{[]string{"drain", "--operator", "127.0.0.1:1", "engine-1"}, 1, "refused", ""},
		{[]string{"lift", "feed"}, 0, "feed: lifted", ""},
		{[]string{"lift", "beef"}, 1, "no such fingerprint", ""},
		{[]string{"lift", "../dump"}, 2, "hexadecimal", ""},
	} {
		code, out := p.run("", c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.want, "%v", c.args)
		require.Equal(t, c.command, f.takeCommands(), "%v", c.args)
	}
}
