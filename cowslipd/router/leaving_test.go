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

// Guards against new work on an engine more than 3 s after it was marked as
// leaving by the list, its own report or an operator, and against cutting off
// the request that it has.
func TestLeavingEngineFinishesItsWork(t *testing.T) {
	t.Parallel()
	marks := map[string]func(d *deployment, one *daemon, name string){
		"list": func(d *deployment, _ *daemon, name string) { d.list.Leave(name) },
		"report": func(d *deployment, _ *daemon, name string) {
			d.engines[name].SetFaults(emulator.Faults{Leaving: true, Slow: 100})
		},
		"operator": func(d *deployment, one *daemon, name string) {
			d.order(one, http.MethodPut, "/v1/drain", operator.Drain{Upstream: name, On: true})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaveEngine(t, mark)
		})
	}
}

func leaveEngine(t *testing.T, mark func(d *deployment, one *daemon, name string)) {
	d := newDeployment(t)
	d.chains()
	one := d.daemon("entry-1")
	d.publish()
	d.ready(one)
	for _, engine := range []string{"a1", "a2"} {
		d.engines[engine].SetFaults(emulator.Faults{Slow: 100})
	}
	const tokens = 200 // 30 ms each, so that the requests outlast the 3 s
	ended := make(chan string, 8)
	for i := range 8 {
		go func() {
			prompt := fmt.Sprint("kept ", i)
			response, text := d.complete(one, officerKey, prompt, tokens)
			if text != expected(prompt, tokens) {
				ended <- response.String()
				return
			}
			ended <- ""
		}()
	}
	name := "" // of an engine that has work
	require.Eventually(t, func() bool {
		for _, engine := range []string{"a1", "a2"} {
			if d.engines[engine].Account().Contexts > 0 {
				name = engine
			}
		}
		return name != ""
	}, waitLimit, time.Millisecond)
	leaving := d.engines[name]
	time.Sleep(100 * time.Millisecond)
	mark(d, one, name)
	time.Sleep(3 * time.Second)
	require.Positive(t, leaving.Account().Contexts, "the work that the engine has was cut off")
	each(10, 5, func(i int) {
		prompt := fmt.Sprint("new ", i)
		response, text := d.complete(one, clerkKey, prompt, 2)
		require.Equal(t, expected(prompt, 2), text, "%v", response)
		require.Zero(t, leaving.Ran(response.Header.Get("Cowslip-Request")), "new work on the leaving engine")
	})
	for range 8 {
		require.Empty(t, <-ended)
	}
	d.check(one)
}

// Guards against new calls to a service's server more than 3 s after it was
// marked as leaving by the list or an operator, and against cutting off the call
// that it has.
func TestLeavingServerFinishesItsWork(t *testing.T) {
	t.Parallel()
	marks := map[string]func(d *deployment, one *daemon){
		"list": func(d *deployment, _ *daemon) { d.list.Leave("ledger-1") },
		"operator": func(d *deployment, one *daemon) {
			d.order(one, http.MethodPut, "/v1/drain", operator.Drain{Upstream: "ledger-1", On: true})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.chains()
			leaving := d.ledger("ledger-1")
			one := d.daemon("entry-1")
			d.publish()
			d.ready(one)
			leaving.Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 4 * time.Second}}})
			notes := &told{done: map[string]string{}, seen: map[string]int{}}
			before := leaving.Seen()
			kept := make(chan *reply, 1)
			go func() { kept <- d.post(one, notes, "kept") }()
			require.Eventually(t, func() bool { return leaving.Seen() > before }, waitLimit, time.Millisecond)
			d.ledger("ledger-2")
			mark(d, one)
			time.Sleep(3 * time.Second)
			before = leaving.Seen()
			each(20, 5, func(i int) { require.Equal(t, "done", d.post(one, notes, fmt.Sprint("new-", i)).outcome()) })
			require.Equal(t, before, leaving.Seen(), "new work on the leaving server")
			require.Equal(t, "done", (<-kept).outcome())
			d.checkEffects(notes)
			d.check(one)
		})
	}
}
