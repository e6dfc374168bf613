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
	declared := configuration()
	ghost := scribe
	ghost.Name, ghost.Adapters = "ghost", nil
	declared.Models = append(declared.Models, ghost)
	declared.Services = append(declared.Services, cowslipproxy.Service{Name: "desk", Effect: cowslipproxy.EffectOnce, Timeout: cowslipproxy.Duration(time.Second)})
	declared.Customers = append(declared.Customers, cowslipproxy.Customer{Name: "tenants", Keys: hashed(tenantKey), Class: cowslipproxy.ClassNormal, Rate: 1, Burst: 20})
	_, err := (&follower.Publisher{Log: d.log}).Publish(t.Context(), declared)
	require.NoError(t, err)
	d.ready(one)
	seen := map[string]int{}
	send := func(path, key string, header map[string]string, body string) *reply {
		response, err := d.call(one, http.MethodPost, path, key, header, body)
		require.NoError(t, err)
		d.mu.Lock()
		defer d.mu.Unlock()
		if response.outcome() == "refused" {
			seen[response.reason()]++
		}
		return response
	}
	prompt := func(i, tokens int) string {
		return fmt.Sprintf(`{"model":"scribe","prompt":"refused %d","max_tokens":%d}`, i, tokens)
	}
	for i := range 4 {
		send("/v1/completions", tenantKey, nil, prompt(i, 15))
	}
	send("/v1/completions", officerKey, nil, `{"model":"ghost","prompt":"x","max_tokens":3}`)
	send("/v1/services/desk/confirmations", officerKey, nil, `{}`)
	each(300, 150, func(i int) {
		send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "900ms"}, prompt(100+i, 400))
	})
	each(200, 200, func(i int) {
		send("/v1/completions", clerkKey, map[string]string{"Cowslip-Deadline": "20s"}, prompt(1000+i, 20))
	})
	each(40, 40, func(i int) {
		send("/v1/services/ledger/fees", clerkKey, map[string]string{"Cowslip-Deadline": "1ms"}, fmt.Sprintf(`{"plot":%d}`, i))
	})
	for i := range 10 {
		send("/v1/completions", officerKey, map[string]string{"Cowslip-Deadline": "1ns"}, prompt(500+i, 40))
	}
	d.log.SetFaults(appender.Faults{Down: true})
	each(6, 6, func(i int) {
		send("/v1/services/ledger/fees", clerkKey, map[string]string{"Idempotency-Key": fmt.Sprint("out-", i)}, `{}`)
	})
	d.log.SetFaults(appender.Faults{})
	for _, name := range []string{"a1", "a2", "a3", "a4"} {
		d.engines[name].SetFaults(emulator.Faults{Crash: "poison"})
	}
	for range 6 {
		send("/v1/completions", clerkKey, nil, `{"model":"scribe","prompt":"poison","max_tokens":3}`)
	}
	time.Sleep(500 * time.Millisecond) // so that claims whose appends were late are decided
	for _, reason := range []string{"over_limit", "no_chain", "no_upstream", "overloaded", "deadline", "log_unavailable", "quarantined"} {
		require.Positive(t, seen[reason], "no request was refused with %s: %v", reason, seen)
	}
	d.check(one)
}
