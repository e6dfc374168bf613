package router_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// Guards against a reply being assigned to another step or request when engines
// reply twice, with another request's id, late, not at all, ten times slower or with
// an error.
func TestAnswersAreCompleteAndBelongToRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		faults emulator.Faults
	}{
		{"double", emulator.Faults{DuplicateReplies: true}},
		{"cross", emulator.Faults{MismatchedReplies: true, DuplicateReplies: true}},
		{"wrong", emulator.Faults{FailSteps: true}},
		{"stall", emulator.Faults{Stall: true}},
		{"slow", emulator.Faults{Slow: 10}},
		{"slow link", emulator.Faults{LinkFactor: 100, MismatchedReplies: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startEngines()
			entry := d.startDaemon("entry-1")
			d.publish()
			d.awaitReady(entry)
			time.AfterFunc(50*time.Millisecond, func() {
				d.engines["a1"].SetFaults(c.faults)
				d.engines["b2"].SetFaults(c.faults)
			})
			d.completeAll(c.name, 40, 10, 50, func(int) *daemon { return entry })
			d.checkInvariants(entry)
			require.Zero(t, d.crashCount())
		})
	}
}

// Guards against replies that a paused connection delays until their stage has been
// replaced. They belong to an earlier attempt and must not reach the request.
func TestAnswersSurviveLateReplies(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	proxy := newTCPProxy(t, d.address("a1"))
	d.list.Put(cowslipproxy.VM{Name: "a1", Role: cowslipproxy.VMEngine, Address: proxy.listen, Centre: "oyo-a", State: cowslipproxy.VMLive})
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	var pausing sync.WaitGroup
	pausing.Go(func() {
		for range 2 {
			time.Sleep(100 * time.Millisecond)
			proxy.pause()
			time.Sleep(time.Second)
			proxy.resume()
		}
	})
	d.completeAll("late", 60, 10, 60, func(int) *daemon { return entry })
	pausing.Wait()
	proxy.setRefusing(true)
	d.completeAll("cut", 10, 5, 20, func(int) *daemon { return entry })
	d.checkInvariants(entry)
}

// Guards against a reply to the attempt before a stage replacement being assigned to
// the same step of the next attempt. Each reply is sent a second time while the
// stages before the replaced one recompute the context.
func TestAnswersSurviveRepliesOfPreviousAttempt(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	slow := d.serveEngine("a1", &emulator.Engine{Model: scribe, Range: cowslipproxy.LayerRange{First: 0, End: 3}, Kind: "small",
		Pace: 100 * time.Microsecond, PrefillTime: 500 * time.Microsecond, MaxBatch: 16, CacheCapacity: 100_000, ReportInterval: 50 * time.Millisecond, CountSteps: true})
	for _, name := range []string{"b1", "b2"} {
		d.startEngine(name, 3, 6)
	}
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	slow.SetFaults(emulator.Faults{DuplicateDelay: cowslipproxy.Duration(10 * time.Millisecond)})
	d.crashFirstOf(60, "b1", "b2")
	d.completeAll("a prompt that is long enough for its computation to take longer than the second reply needs", 12, 12, 40, func(int) *daemon { return entry })
	require.Equal(t, 1, d.crashCount())
	d.checkInvariants(entry)
}

// Guards against a truncated answer of a service being recorded as complete and
// replayed to the next request with the same key. The service closes the connection
// in the middle of the answer.
func TestTruncatedAnswerIsNotReplayed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	d.ledgers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultTruncate, Path: "/fees", Count: 5}}})
	for i := range 10 {
		header := map[string]string{"Idempotency-Key": fmt.Sprint("half-", i)}
		body := fmt.Sprintf(`{"plot":%d}`, i)
		first, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, body)
		if i < 5 {
			require.Error(t, err, "a truncated answer was accepted as complete")
		} else {
			require.Equal(t, "done", first.outcome())
		}
		again, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, body)
		require.NoError(t, err)
		require.Equal(t, map[bool]string{true: "unknown", false: "done"}[i < 5], again.outcome(), "%v", again)
	}
	require.Len(t, d.effectLog.Effects(), 10)
	d.checkInvariants(entry)
}
