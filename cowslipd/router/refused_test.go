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

// Guards against work for a request whose caller was told that it did not run,
// for each reason that a caller can meet. The engines' and the service's own
// accounts decide.
func TestRefusedRequestsLeaveNoTrace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1")
	for _, name := range []string{"a3", "a4"} {
		d.engine(name, 0, 3)
	}
	settings := d.settings("entry-1")
	settings.Queue = 5
	one := d.start(settings)
	d.publishRefusals()
	d.ready(one)
	counts := &refusals{d: d, one: one, seen: map[string]int{}}
	counts.limits()
	counts.outages()
	time.Sleep(500 * time.Millisecond) // so that claims whose appends were late are decided
	for _, reason := range []string{"over_limit", "no_chain", "no_upstream", "overloaded", "deadline", "log_unavailable", "quarantined"} {
		require.Positive(t, counts.seen[reason], "no request was refused with %s: %v", reason, counts.seen)
	}
	d.check(one)
}

// publishRefusals declares a model and a service without upstreams and a
// customer with a low limit.
func (d *deployment) publishRefusals() {
	declared := configuration()
	ghost := scribe
	ghost.Name, ghost.Adapters = "ghost", nil
	declared.Models = append(declared.Models, ghost)
	declared.Services = append(declared.Services, cowslipproxy.Service{Name: "desk", Effect: cowslipproxy.EffectOnce, Timeout: cowslipproxy.Duration(time.Second)})
	declared.Customers = append(declared.Customers, cowslipproxy.Customer{Name: "tenants", Keys: hashed(tenantKey), Class: cowslipproxy.ClassNormal, Rate: 1, Burst: 20})
	_, err := (&follower.Publisher{Log: d.log}).Publish(d.t.Context(), declared)
	require.NoError(d.t, err)
}

// refusals sends requests and counts the reasons of those that were refused.
type refusals struct {
	d    *deployment
	one  *daemon
	seen map[string]int
}

func (r *refusals) send(path, key string, header map[string]string, body string) {
	response, err := r.d.call(r.one, http.MethodPost, path, key, header, body)
	require.NoError(r.d.t, err)
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if response.outcome() == "refused" {
		r.seen[response.reason()]++
	}
}

func prompt(i, tokens int) string {
	return fmt.Sprintf(`{"model":"scribe","prompt":"refused %d","max_tokens":%d}`, i, tokens)
}

func (r *refusals) limits() {
	for i := range 4 {
		r.send("/v1/completions", tenantKey, nil, prompt(i, 15))
	}
	r.send("/v1/completions", officerKey, nil, `{"model":"ghost","prompt":"x","max_tokens":3}`)
	r.send("/v1/services/desk/confirmations", officerKey, nil, `{}`)
	each(300, 150, func(i int) {
		r.send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "900ms"}, prompt(100+i, 400))
	})
	each(200, 200, func(i int) {
		r.send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "20s"}, prompt(1000+i, 20))
	})
	each(40, 40, func(i int) {
		r.send("/v1/services/ledger/fees", clerkKey, map[string]string{"Cowslip-Deadline": "1ms"}, fmt.Sprintf(`{"plot":%d}`, i))
	})
	for i := range 10 {
		r.send("/v1/completions", officerKey, map[string]string{"Cowslip-Deadline": "1ns"}, prompt(500+i, 40))
	}
}

func (r *refusals) outages() {
	d := r.d
	d.log.SetFaults(appender.Faults{Down: true})
	each(6, 6, func(i int) {
		r.send("/v1/services/ledger/fees", clerkKey, map[string]string{"Idempotency-Key": fmt.Sprint("out-", i)}, `{}`)
	})
	d.log.SetFaults(appender.Faults{})
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		d.engines[name].SetFaults(emulator.Faults{Crash: "poison"})
	}
	for range 6 {
		r.send("/v1/completions", clerkKey, nil, `{"model":"scribe","prompt":"poison","max_tokens":3}`)
	}
}
