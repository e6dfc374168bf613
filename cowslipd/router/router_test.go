package router_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

// Guards against a failure at any point of the path from a published configuration and
// a caller's request to the complete answer.
func TestEndToEnd(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)

	response, text := d.complete(entry, officerKey, "draft a renewal letter", 30)
	require.Equal(t, "done", response.outcome())
	require.NotEmpty(t, response.Header.Get("Cowslip-Version"))
	require.Equal(t, expectedText("draft a renewal letter", 30), text)

	response, err := d.call(entry, http.MethodPost, "/v1/services/ledger/echo/x?y=1&z=%20", clerkKey, map[string]string{"X-Own": "kept"}, "whole body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(response.body))
	var echoed struct {
		Method, Path, Query, Body string
		Header                    http.Header
	}
	require.NoError(t, json.Unmarshal(response.body, &echoed))
	require.Equal(t, []string{"POST", "/echo/x", "y=1&z=%20", "whole body"}, []string{echoed.Method, echoed.Path, echoed.Query, echoed.Body})
	require.Equal(t, "kept", echoed.Header.Get("X-Own"))
	require.Empty(t, echoed.Header.Get("Authorization"))
}

// Guards against refusals without a correct outcome, a reason or the path of the
// invalid field.
func TestRefusals(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	var response *reply
	require.Eventually(t, func() bool {
		var err error
		response, err = d.call(entry, http.MethodPost, "/v1/completions", officerKey, nil, `{}`)
		return err == nil
	}, waitLimit, 20*time.Millisecond)
	require.Equal(t, "not_ready", response.reason())
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	d.publish()
	d.awaitReady(entry)
	for _, c := range []struct{ path, key, body, reason, text string }{
		{"/v1/completions", "nobody", `{}`, "unauthorized", "bearer key"},
		{"/v1/completions", officerKey, `{"model":"scribe"`, "malformed", "json"},
		{"/v1/completions", officerKey, `{"model":"scribe","prompt":"x","max_tokens":-1}`, "malformed", "max_tokens: -1 is not at least 0"},
		{"/v1/completions", officerKey, `{"model":"scribe","prompt":7}`, "malformed", "prompt: JSON number is not a value of type string"},
		{"/v1/completions", officerKey, `{"model":"nought","prompt":"x"}`, "model_unknown", "nought"},
		{"/v1/completions", officerKey, `{"model":"scribe:none","prompt":"x"}`, "model_unknown", "adapter"},
		{"/v1/completions", officerKey, `{"model":"scribe","prompt":"x","max_tokens":20000}`, "too_large", "10000"},
		{"/v1/services/nought/x", officerKey, ``, "service_unknown", "nought"},
		{"/v1/services/ledger/x", officerKey, ``, "no_upstream", "no upstream"},
		{"/v2", officerKey, ``, "malformed", "/v2"},
	} {
		response, err := d.call(entry, http.MethodPost, c.path, c.key, nil, c.body)
		require.NoError(t, err)
		require.Equal(t, []string{"refused", c.reason}, []string{response.outcome(), response.reason()}, "%s %s", c.path, response.body)
		require.Contains(t, string(response.body), c.text)
		require.Contains(t, string(response.body), `"outcome":"refused"`)
	}
}

// Guards against lost, duplicated and changed tokens in a streamed answer while a stage
// crashes, and against a stream without its end marker and outcome.
func TestStreamSurvivesStageCrash(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	const count = 60
	d.crashFirstOf(20, "b1", "b2")
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.listen.Callers.String()+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"scribe:letters","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"write"}]}`, count)))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+officerKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var texts []string
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		last = data
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if data != "[DONE]" {
			require.NoError(t, json.Unmarshal([]byte(data), &event), data)
			require.Len(t, event.Choices, 1, data)
			texts = append(texts, event.Choices[0].Delta.Content)
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, "[DONE]", last)
	require.Equal(t, "done", response.Trailer.Get("Cowslip-Outcome"))
	model := scribe
	require.Equal(t, 1, d.crashCount())
	require.Equal(t, emulator.Completion(model, "letters", "<|user|>\nwrite\n<|assistant|>\n", count), texts[:count])
}

// Guards against a fee that is posted twice when its request is repeated through other
// daemons, with a key of either form, and against lost answers of the ledger being
// retried or reported as refused.
func TestFeeIsPostedAtMostOnce(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	first, second := d.startDaemon("entry-1"), d.startDaemon("entry-2")
	d.publish()
	d.awaitReady(first, second)
	incarnation := d.awaitMembership(first, second)[first.name]
	for i, key := range []string{"plot-17", "cow1." + incarnation + ".plot-17-0123456789"} {
		header := map[string]string{"Idempotency-Key": key}
		body := fmt.Sprintf(`{"plot":%d}`, i)
		var bodies []string
		for _, entry := range []*daemon{first, second, first, second} {
			response, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, body)
			require.NoError(t, err)
			require.Equal(t, "done", response.outcome(), "%s: %s", key, response.body)
			bodies = append(bodies, string(response.body))
		}
		require.Len(t, d.effectLog.Effects(), i+1)
		require.Equal(t, []string{bodies[0], bodies[0], bodies[0]}, bodies[1:])
		response, err := d.call(second, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, `{"plot":99}`)
		require.NoError(t, err)
		require.Equal(t, "key_reused", response.reason())
	}
}

// Guards against requests that a planned stop interrupts, and against address responses
// that still name the stopping daemon after it announced the stop.
func TestPlannedStopInterruptsNoRequests(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	first, second := d.startDaemon("entry-1"), d.startDaemon("entry-2")
	d.publish()
	d.awaitReady(first, second)
	type result struct {
		response *reply
		text     string
	}
	results := make(chan result, 8)
	for i := range 8 {
		go func() {
			response, text := d.complete(first, officerKey, fmt.Sprint("long ", i), 1000)
			results <- result{response, strings.TrimPrefix(text, expectedText(fmt.Sprint("long ", i), 1000))}
		}()
	}
	require.Eventually(t, func() bool { return d.engines["a1"].Stats().Contexts+d.engines["a2"].Stats().Contexts == 8 }, waitLimit, time.Millisecond)
	first.stop()
	require.Eventually(t, func() bool {
		response, err := d.call(second, http.MethodGet, "/v1/addresses", "", nil, "")
		return err == nil && !strings.Contains(string(response.body), first.listen.Callers.String())
	}, 3*time.Second, 20*time.Millisecond)
	response, text := d.complete(first, officerKey, "a caller that still holds the address", 3)
	require.NotNil(t, response, "a stopping daemon must serve until the address responses that name it have expired")
	require.Equal(t, expectedText("a caller that still holds the address", 3), text)
	for range 8 {
		got := <-results
		require.NotNil(t, got.response)
		require.Equal(t, "done", got.response.outcome())
		require.Empty(t, got.text)
	}
	select {
	case err := <-first.exited:
		require.NoError(t, err)
	case <-time.After(waitLimit):
		require.Fail(t, "the daemon did not exit")
	}
}

// Guards against new requests on an engine more than 3 s after it was marked as leaving.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	leaving := d.engines["a1"]
	d.list.Put(cowslipproxy.VM{Name: "a1", Role: cowslipproxy.VMEngine, Address: d.address("a1"), Centre: "oyo-a", State: cowslipproxy.VMLeaving})
	time.Sleep(3 * time.Second)
	before := leaving.Stats().Steps
	runConcurrently(40, 8, func(i int) {
		prompt := fmt.Sprint("question ", i)
		_, text := d.complete(entry, clerkKey, prompt, 5)
		require.Equal(t, expectedText(prompt, 5), text)
	})
	require.Equal(t, before, leaving.Stats().Steps)
}

// Guards against a poison request, which crashes each upstream that runs it, crashing
// more than two upstreams, regardless of how often and through which daemon it is
// sent, and against failing the requests that were batched with it.
func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	d := newDeployment(t)
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		d.startEngine(name, 0, 3).SetFaults(emulator.Faults{CrashText: "poison"})
	}
	for _, name := range []string{"b1", "b2"} {
		d.startEngine(name, 3, 6)
	}
	first, second := d.startDaemon("entry-1"), d.startDaemon("entry-2")
	d.publish()
	d.awaitReady(first, second)
	d.awaitMembership(first, second)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			prompt := fmt.Sprint("innocent ", i)
			response, text := d.complete([]*daemon{first, second}[i%2], officerKey, prompt, 200)
			require.Equal(t, "done", response.outcome(), "%s", response.body)
			require.Equal(t, expectedText(prompt, 200), text)
		})
	}
	time.Sleep(20 * time.Millisecond) // until other requests are in flight on each engine
	var last *reply
	for range 10 {
		for _, entry := range []*daemon{first, second} {
			last, _ = d.complete(entry, clerkKey, "poison", 5)
			require.NotEqual(t, "done", last.outcome())
		}
	}
	require.Equal(t, []string{"refused", "quarantined"}, []string{last.outcome(), last.reason()})
	group.Wait()
	require.Equal(t, 2, d.crashCount())
}
