package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/operator"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// Guards against new requests on an engine more than 3 s after it was marked as leaving
// by the VM list, its own report or an operator, and against interrupting the requests
// in flight on it.
func TestLeavingEngineFinishesRequests(t *testing.T) {
	t.Parallel()
	marks := map[string]func(d *deployment, entry *daemon, name string){
		"list": func(d *deployment, _ *daemon, name string) { d.list.MarkLeaving(name) },
		"report": func(d *deployment, _ *daemon, name string) {
			d.engines[name].SetFaults(emulator.Faults{Leaving: true, Slow: 100})
		},
		"operator": func(d *deployment, entry *daemon, name string) {
			d.sendOperatorRequest(entry, http.MethodPut, "/v1/drain", operator.DrainRequest{Upstream: name, On: true})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLeavingEngine(t, mark)
		})
	}
}

func testLeavingEngine(t *testing.T, mark func(d *deployment, entry *daemon, name string)) {
	d := newDeployment(t)
	d.startEngines()
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	for _, engine := range []string{"a1", "a2"} {
		d.engines[engine].SetFaults(emulator.Faults{Slow: 100})
	}
	const tokens = 200 // 30 ms each, so that the requests take longer than 3 s
	ended := make(chan string, 8)
	for i := range 8 {
		go func() {
			prompt := fmt.Sprint("kept ", i)
			response, text := d.complete(entry, officerKey, prompt, tokens)
			if text != expectedText(prompt, tokens) {
				ended <- response.String()
				return
			}
			ended <- ""
		}()
	}
	name := "" // of an engine with a request in flight
	require.Eventually(t, func() bool {
		for _, engine := range []string{"a1", "a2"} {
			if d.engines[engine].Stats().Contexts > 0 {
				name = engine
			}
		}
		return name != ""
	}, waitLimit, time.Millisecond)
	leaving := d.engines[name]
	time.Sleep(100 * time.Millisecond)
	mark(d, entry, name)
	time.Sleep(3 * time.Second)
	require.Positive(t, leaving.Stats().Contexts, "requests in flight on the engine were interrupted")
	runConcurrently(10, 5, func(i int) {
		prompt := fmt.Sprint("new ", i)
		response, text := d.complete(entry, clerkKey, prompt, 2)
		require.Equal(t, expectedText(prompt, 2), text, "%v", response)
		require.Zero(t, leaving.StepCount(response.Header.Get("Cowslip-Request")), "new request on the leaving engine")
	})
	for range 8 {
		require.Empty(t, <-ended)
	}
	d.checkInvariants(entry)
}

// Guards against new calls to a service's server more than 3 s after it was marked as
// leaving by the VM list or an operator, and against interrupting the call in flight
// on it.
func TestLeavingServerFinishesCalls(t *testing.T) {
	t.Parallel()
	marks := map[string]func(d *deployment, entry *daemon){
		"list": func(d *deployment, _ *daemon) { d.list.MarkLeaving("ledger-1") },
		"operator": func(d *deployment, entry *daemon) {
			d.sendOperatorRequest(entry, http.MethodPut, "/v1/drain", operator.DrainRequest{Upstream: "ledger-1", On: true})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startEngines()
			leaving := d.startLedger("ledger-1")
			entry := d.startDaemon("entry-1")
			d.publish()
			d.awaitReady(entry)
			leaving.Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 4 * time.Second}}})
			responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
			before := leaving.Received()
			inFlight := make(chan *reply, 1)
			go func() { inFlight <- d.postFee(entry, responses, "kept") }()
			require.Eventually(t, func() bool { return leaving.Received() > before }, waitLimit, time.Millisecond)
			d.startLedger("ledger-2")
			mark(d, entry)
			time.Sleep(3 * time.Second)
			before = leaving.Received()
			runConcurrently(20, 5, func(i int) { require.Equal(t, "done", d.postFee(entry, responses, fmt.Sprint("new-", i)).outcome()) })
			require.Equal(t, before, leaving.Received(), "new call to the leaving server")
			require.Equal(t, "done", (<-inFlight).outcome())
			d.checkEffects(responses)
			d.checkInvariants(entry)
		})
	}
}
