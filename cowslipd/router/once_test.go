package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// responseLog records the responses to requests with an idempotency key.
type responseLog struct {
	mu       sync.Mutex
	answered map[string]string // body of the answer with outcome done, by key
	counts   map[string]int    // number of responses by outcome and reason
}

// postFee posts a fee and records the response. It returns nil if the connection broke.
func (d *deployment) postFee(entry *daemon, responses *responseLog, key string) *reply {
	response, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees", officerKey, map[string]string{"Idempotency-Key": key, "Cowslip-Deadline": "8s"}, fmt.Sprintf(`{"fee":%q}`, key))
	responses.mu.Lock()
	defer responses.mu.Unlock()
	if err != nil {
		responses.counts["broken"]++
		return nil
	}
	responses.counts[response.outcome()+" "+response.reason()]++
	if response.outcome() != "done" {
		return response
	}
	if old, ok := responses.answered[key]; ok && old != string(response.body) {
		d.t.Errorf("key %s was answered with %q and %q", key, old, response.body)
	}
	responses.answered[key] = string(response.body)
	return response
}

// checkEffects requires at most one effect for each key, and exactly one for each key
// that was answered with outcome done.
func (d *deployment) checkEffects(responses *responseLog) {
	effects := map[string]int{}
	for _, effect := range d.effectLog.Effects() {
		effects[effect.Body]++
	}
	for body, count := range effects {
		require.Equal(d.t, 1, count, "%s was posted more than once", body)
	}
	for key := range responses.answered {
		require.Equal(d.t, 1, effects[fmt.Sprintf(`{"fee":%q}`, key)], "%s was answered with outcome done", key)
	}
}

// injectLedgerFaults makes the next calls to the ledgers fail in several ways.
func (d *deployment) injectLedgerFaults() {
	for i, ledger := range d.ledgers {
		ledger.Set(server.Control{Faults: []server.Fault{
			{Kind: server.FaultLost, Path: "/fees", Count: 3 + i},
			{Kind: server.FaultDelay, Path: "/fees", Wait: 30 * time.Millisecond, Count: 10},
			{Kind: server.FaultTruncate, Path: "/fees", Count: 3},
			{Kind: server.FaultRefuse, Path: "/fees", Count: 3},
			{Kind: server.FaultClose, Path: "/fees", Count: 3},
			{Kind: server.FaultDelay, Path: "/fees", Wait: 20 * time.Millisecond},
		}})
	}
}

// Guards against a fee that is posted twice, or posted although its request was
// refused. Each request is repeated concurrently through other daemons, the service
// and the log lose answers, and the log is slow and then unavailable. The first daemon
// is killed between claim and answer, the second daemon's connection to the log is
// paused and resumed, and the third daemon's process is stopped and continued.
func TestFeesArePostedAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	const keys, attempts = 60, 4
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	d.startLedger("ledger-2")
	d.publish()
	daemons := []*daemon{d.startProcess("entry-1"), d.startProcess("entry-2"), d.startProcess("entry-3")}
	d.awaitReady(daemons...)
	incarnations := d.awaitIncarnations(daemons[0], 3)
	d.injectLedgerFaults()
	d.log.SetSettings(appender.Settings{LoseEvery: 3, Delay: cowslipproxy.Duration(5 * time.Millisecond)})
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(200 * time.Millisecond)
		daemons[1].logProxy.pause()
		time.Sleep(100 * time.Millisecond)
		daemons[0].kill()
		time.Sleep(800 * time.Millisecond)
		_ = daemons[2].process.Signal(syscall.SIGSTOP)
		time.Sleep(700 * time.Millisecond)
		_ = daemons[2].process.Signal(syscall.SIGCONT)
		d.log.SetSettings(appender.Settings{Down: true})
		time.Sleep(time.Second)
		daemons[1].logProxy.resume()
		time.Sleep(time.Second)
		d.log.SetSettings(appender.Settings{LoseEvery: 2, Delay: cowslipproxy.Duration(50 * time.Millisecond)})
	})
	key := func(i int) string {
		if i%3 == 0 {
			return fmt.Sprintf("cow1.%s.fee-number-%08d", incarnations[daemons[i/3%3].listen.Callers], i)
		}
		return fmt.Sprint("fee-", i)
	}
	responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
	runConcurrently(keys, 20, func(i int) {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		var group sync.WaitGroup
		for range attempts {
			entry, delay := daemons[random.IntN(3)], time.Duration(random.IntN(600))*time.Millisecond
			group.Go(func() {
				time.Sleep(delay)
				d.postFee(entry, responses, key(i))
			})
		}
		group.Wait()
	})
	faults.Wait()
	d.log.SetSettings(appender.Settings{})
	runConcurrently(2*keys, 20, func(i int) { d.postFee(daemons[1+i%2], responses, key(i/2)) })
	t.Log(responses.counts, len(d.effectLog.Effects()))
	require.Greater(t, len(responses.answered), keys/4, "%v", responses.counts)
	d.checkEffects(responses)
	d.checkInvariants(daemons[1:]...)
}

// Guards against a request being dispatched before its claim is in the log, and against
// incarnation keys that depend on the log, during an outage of the log.
func TestFeesArePostedAtMostOnceDuringLogOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	d.publish()
	first, second := d.startProcess("entry-1"), d.startProcess("entry-2")
	d.awaitReady(first, second)
	incarnations := d.awaitIncarnations(first, 2)
	d.log.SetSettings(appender.Settings{Down: true})
	responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
	runConcurrently(10, 10, func(i int) {
		entry := []*daemon{first, second}[i%2]
		require.Equal(t, "log_unavailable", d.postFee(entry, responses, fmt.Sprint("plain-", i)).reason())
	})
	require.Empty(t, d.effectLog.Effects())
	runConcurrently(10, 10, func(i int) {
		key := fmt.Sprintf("cow1.%s.outage-number-%08d", incarnations[first.listen.Callers], i)
		require.Equal(t, "done", d.postFee(first, responses, key).outcome())
		require.Equal(t, "done", d.postFee(second, responses, key).outcome())
	})
	require.Len(t, d.effectLog.Effects(), 10)
	first.kill()
	runConcurrently(10, 10, func(i int) {
		key := fmt.Sprintf("cow1.%s.outage-number-%08d", incarnations[first.listen.Callers], i)
		response := d.postFee(second, responses, key)
		require.Equal(t, []string{"unknown", "owner_gone"}, []string{response.outcome(), response.reason()})
	})
	d.log.SetSettings(appender.Settings{})
	d.checkEffects(responses)
	d.checkInvariants(second)
}
