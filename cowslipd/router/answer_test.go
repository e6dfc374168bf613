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

// Guards against a reply that is taken for another step's or another request's
// when engines answer twice, under another request's id, late, not at all, ten
// times slower or with a fault.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		faults emulator.Faults
	}{
		{"double", emulator.Faults{Double: true}},
		{"cross", emulator.Faults{Cross: true, Double: true}},
		{"wrong", emulator.Faults{Wrong: true}},
		{"stall", emulator.Faults{Stall: true}},
		{"slow", emulator.Faults{Slow: 10}},
		{"slow link", emulator.Faults{Link: 100, Cross: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.chains()
			one := d.daemon("entry-1")
			d.publish()
			d.ready(one)
			time.AfterFunc(50*time.Millisecond, func() {
				d.engines["a1"].SetFaults(c.faults)
				d.engines["b2"].SetFaults(c.faults)
			})
			d.answers(c.name, 40, 10, 50, func(int) *daemon { return one })
			d.check(one)
			require.Zero(t, d.crashed())
		})
	}
}

// Guards against replies of an earlier attempt that reach a request after its
// stage was replaced, when the link to an engine holds them back.
func TestAnswersSurviveLateReplies(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	link := newRelay(t, d.address("a1"))
	d.list.Put(cowslipproxy.VM{Name: "a1", Role: cowslipproxy.VMEngine, Address: link.at, Centre: "oyo-a", State: cowslipproxy.VMLive})
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	var holding sync.WaitGroup
	holding.Go(func() {
		for range 2 {
			time.Sleep(100 * time.Millisecond)
			link.hold()
			time.Sleep(time.Second)
			link.resume()
		}
	})
	d.answers("late", 60, 10, 60, func(int) *daemon { return one })
	holding.Wait()
	link.setCut(true)
	d.answers("cut", 10, 5, 20, func(int) *daemon { return one })
	d.check(one)
}

// Guards against a reply of the attempt before a replacement that is taken for
// the same step of the next attempt. Each reply comes a second time while the
// stages before the replaced one compute the context again.
func TestAnswersSurviveRepliesOfTheAttemptBefore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	slow := d.serveEngine("a1", &emulator.Engine{Model: scribe, Range: cowslipproxy.LayerRange{First: 0, End: 3}, Kind: "small",
		Pace: 100 * time.Microsecond, Prefill: 500 * time.Microsecond, Batch: 16, Memory: 100_000, Lag: 50 * time.Millisecond, Trace: true})
	for _, name := range []string{"b1", "b2"} {
		d.engine(name, 3, 6)
	}
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	slow.SetFaults(emulator.Faults{Late: cowslipproxy.Duration(10 * time.Millisecond)})
	d.killOne(60, "b1", "b2")
	d.answers("a prompt that is long enough for its computation to take longer than the second reply needs", 12, 12, 40, func(int) *daemon { return one })
	require.Equal(t, 1, d.crashed())
	d.check(one)
}

// Guards against a part of a service's answer that is recorded as the whole one
// when the caller leaves in the middle, and is then given to the next send.
func TestAnswerIsNotRecordedInPart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1")
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	d.ledgers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultHalf, Path: "/fees", Count: 5}}})
	for i := range 10 {
		header := map[string]string{"Idempotency-Key": fmt.Sprint("half-", i)}
		body := fmt.Sprintf(`{"plot":%d}`, i)
		first, err := d.call(one, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, body)
		if i < 5 {
			require.Error(t, err, "a part passed for the whole answer")
		} else {
			require.Equal(t, "done", first.outcome())
		}
		again, err := d.call(one, http.MethodPost, "/v1/services/ledger/fees", officerKey, header, body)
		require.NoError(t, err)
		require.Equal(t, map[bool]string{true: "unknown", false: "done"}[i < 5], again.outcome(), "%v", again)
	}
	require.Len(t, d.account.Effects(), 10)
	d.check(one)
}
