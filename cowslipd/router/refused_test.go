package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const tenantKey = "tenant-key"

// Guards against running a request that is answered as refused, for each of the refusal
// reasons listed in the test. The step counts of the engines and the effect log of the
// service show what ran.
func TestRefusedRequestsHaveNoEffect(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	for _, name := range []string{"a3", "a4"} {
		d.startEngine(name, 0, 3)
	}
	settings := d.settings("entry-1")
	settings.Queue = 5
	entry := d.startDaemonWith(settings)
	d.publishUnservable()
	d.awaitReady(entry)
	refusals := &refusalCounter{d: d, entry: entry, byReason: map[string]int{}}
	refusals.exceedLimits()
	refusals.causeOutages()
	time.Sleep(500 * time.Millisecond) // until claims that were appended late have been decided
	for _, reason := range []string{"over_limit", "no_chain", "no_upstream", "overloaded", "deadline", "log_unavailable", "quarantined"} {
		require.Positive(t, refusals.byReason[reason], "no request was refused with %s: %v", reason, refusals.byReason)
	}
	d.checkInvariants(entry)
}

// publishUnservable publishes a configuration with a model and a service that have no
// upstreams, and a customer with a low rate limit.
func (d *deployment) publishUnservable() {
	declared := configuration()
	unserved := scribe
	unserved.Name, unserved.Adapters = "ghost", nil
	declared.Models = append(declared.Models, unserved)
	declared.Services = append(declared.Services, cowslipproxy.Service{Name: "desk", Effect: cowslipproxy.EffectOnce, Timeout: cowslipproxy.Duration(time.Second)})
	declared.Customers = append(declared.Customers, cowslipproxy.Customer{Name: "tenants", Keys: keyHashes(tenantKey), Class: cowslipproxy.ClassNormal, Rate: 1, Burst: 20})
	_, err := (&follower.Publisher{Log: d.log}).Publish(d.t.Context(), declared)
	require.NoError(d.t, err)
}

// refusalCounter sends requests and counts the refused ones by reason.
type refusalCounter struct {
	d        *deployment
	entry    *daemon
	byReason map[string]int
}

func (r *refusalCounter) send(path, key string, header map[string]string, body string) {
	response, err := r.d.call(r.entry, http.MethodPost, path, key, header, body)
	require.NoError(r.d.t, err)
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if response.outcome() == "refused" {
		r.byReason[response.reason()]++
	}
}

func completionBody(i, tokens int) string {
	return fmt.Sprintf(`{"model":"scribe","prompt":"refused %d","max_tokens":%d}`, i, tokens)
}

func (r *refusalCounter) exceedLimits() {
	for i := range 4 {
		r.send("/v1/completions", tenantKey, nil, completionBody(i, 15))
	}
	r.send("/v1/completions", officerKey, nil, `{"model":"ghost","prompt":"x","max_tokens":3}`)
	r.send("/v1/services/desk/confirmations", officerKey, nil, `{}`)
	runConcurrently(300, 150, func(i int) {
		r.send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "900ms"}, completionBody(100+i, 400))
	})
	runConcurrently(200, 200, func(i int) {
		r.send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "20s"}, completionBody(1000+i, 20))
	})
	runConcurrently(40, 40, func(i int) {
		r.send("/v1/services/ledger/fees", clerkKey, map[string]string{"Cowslip-Deadline": "1ms"}, fmt.Sprintf(`{"plot":%d}`, i))
	})
	for i := range 10 {
		r.send("/v1/completions", officerKey, map[string]string{"Cowslip-Deadline": "1ns"}, completionBody(500+i, 40))
	}
}

func (r *refusalCounter) causeOutages() {
	d := r.d
	d.log.SetSettings(appender.Settings{Down: true})
	runConcurrently(6, 6, func(i int) {
		r.send("/v1/services/ledger/fees", clerkKey, map[string]string{"Idempotency-Key": fmt.Sprint("out-", i)}, `{}`)
	})
	d.log.SetSettings(appender.Settings{})
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		d.engines[name].SetFaults(emulator.Faults{CrashText: "poison"})
	}
	for range 6 {
		r.send("/v1/completions", clerkKey, nil, `{"model":"scribe","prompt":"poison","max_tokens":3}`)
	}
}
