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

// told is what callers were told of the sends of one key.
type told struct {
	mu   sync.Mutex
	done map[string]string // body of the answer by key
	seen map[string]int    // sends by outcome and reason
}

// post sends a fee and notes what its caller was told.
func (d *deployment) post(one *daemon, notes *told, key string) *reply {
	response, err := d.call(one, http.MethodPost, "/v1/services/ledger/fees", officerKey, map[string]string{"Idempotency-Key": key, "Cowslip-Deadline": "8s"}, fmt.Sprintf(`{"fee":%q}`, key))
	notes.mu.Lock()
	defer notes.mu.Unlock()
	if err != nil {
		notes.seen["broken"]++
		return nil
	}
	notes.seen[response.outcome()+" "+response.reason()]++
	if response.outcome() != "done" {
		return response
	}
	if old, ok := notes.done[key]; ok && old != string(response.body) {
		d.t.Errorf("key %s was answered with %q and %q", key, old, response.body)
	}
	notes.done[key] = string(response.body)
	return response
}

// checkEffects requires at most one effect for each key, and exactly one where a
// caller was told so.
func (d *deployment) checkEffects(notes *told) {
	effects := map[string]int{}
	for _, effect := range d.account.Effects() {
		effects[effect.Body]++
	}
	for body, count := range effects {
		require.Equal(d.t, 1, count, "%s was posted more than once", body)
	}
	for key := range notes.done {
		require.Equal(d.t, 1, effects[fmt.Sprintf(`{"fee":%q}`, key)], "%s was told done", key)
	}
}

// breakLedgers makes the next calls to the ledgers fail in all ways.
func (d *deployment) breakLedgers() {
	for i, ledger := range d.ledgers {
		ledger.Set(server.Control{Faults: []server.Fault{
			{Kind: server.FaultLost, Path: "/fees", Count: 3 + i},
			{Kind: server.FaultDelay, Path: "/fees", Wait: 30 * time.Millisecond, Count: 10},
			{Kind: server.FaultHalf, Path: "/fees", Count: 3},
			{Kind: server.FaultRefuse, Path: "/fees", Count: 3},
			{Kind: server.FaultCut, Path: "/fees", Count: 3},
			{Kind: server.FaultDelay, Path: "/fees", Wait: 20 * time.Millisecond},
		}})
	}
}

// Guards against a fee that is posted twice, or posted although its caller was
// told that it was not, when each send is repeated through other daemons at the
// same time, the service and the log lose answers, the log is slow and out,
// a daemon is killed between claim and answer, another one's access to the log is
// held and resumes, and the third one is paused whole.
func TestFeesOnceWhileEverythingFails(t *testing.T) {
	t.Parallel()
	const keys, sends = 60, 4
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1")
	d.ledger("ledger-2")
	d.publish()
	daemons := []*daemon{d.process("entry-1"), d.process("entry-2"), d.process("entry-3")}
	d.ready(daemons...)
	incarnations := d.incarnations(daemons[0], 3)
	d.breakLedgers()
	d.log.SetFaults(appender.Faults{LoseEach: 3, Delay: cowslipproxy.Duration(5 * time.Millisecond)})
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(200 * time.Millisecond)
		daemons[1].logLink.hold()
		time.Sleep(100 * time.Millisecond)
		daemons[0].kill()
		time.Sleep(800 * time.Millisecond)
		_ = daemons[2].process.Signal(syscall.SIGSTOP)
		time.Sleep(700 * time.Millisecond)
		_ = daemons[2].process.Signal(syscall.SIGCONT)
		d.log.SetFaults(appender.Faults{Down: true})
		time.Sleep(time.Second)
		daemons[1].logLink.resume()
		time.Sleep(time.Second)
		d.log.SetFaults(appender.Faults{LoseEach: 2, Delay: cowslipproxy.Duration(50 * time.Millisecond)})
	})
	key := func(i int) string {
		if i%3 == 0 {
			return fmt.Sprintf("cow1.%s.fee-number-%08d", incarnations[daemons[i/3%3].at.Callers], i)
		}
		return fmt.Sprint("fee-", i)
	}
	notes := &told{done: map[string]string{}, seen: map[string]int{}}
	each(keys, 20, func(i int) {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		var group sync.WaitGroup
		for range sends {
			one, pause := daemons[random.IntN(3)], time.Duration(random.IntN(600))*time.Millisecond
			group.Go(func() {
				time.Sleep(pause)
				d.post(one, notes, key(i))
			})
		}
		group.Wait()
	})
	faults.Wait()
	d.log.SetFaults(appender.Faults{})
	each(2*keys, 20, func(i int) { d.post(daemons[1+i%2], notes, key(i/2)) })
	t.Log(notes.seen, len(d.account.Effects()))
	require.Greater(t, len(notes.done), keys/4, "%v", notes.seen)
	d.checkEffects(notes)
	d.check(daemons[1:]...)
}

// Guards against a key that is dispatched while its claim is not confirmed, and
// against incarnation keys that need the log, in an outage of the log.
func TestFeesOnceInALongOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.ledger("ledger-1")
	d.publish()
	first, second := d.process("entry-1"), d.process("entry-2")
	d.ready(first, second)
	incarnations := d.incarnations(first, 2)
	d.log.SetFaults(appender.Faults{Down: true})
	notes := &told{done: map[string]string{}, seen: map[string]int{}}
	each(10, 10, func(i int) {
		one := []*daemon{first, second}[i%2]
		require.Equal(t, "log_unavailable", d.post(one, notes, fmt.Sprint("plain-", i)).reason())
	})
	require.Empty(t, d.account.Effects())
	each(10, 10, func(i int) {
		key := fmt.Sprintf("cow1.%s.outage-number-%08d", incarnations[first.at.Callers], i)
		require.Equal(t, "done", d.post(first, notes, key).outcome())
		require.Equal(t, "done", d.post(second, notes, key).outcome())
	})
	require.Len(t, d.account.Effects(), 10)
	first.kill()
	each(10, 10, func(i int) {
		key := fmt.Sprintf("cow1.%s.outage-number-%08d", incarnations[first.at.Callers], i)
		response := d.post(second, notes, key)
		require.Equal(t, []string{"unknown", "owner_gone"}, []string{response.outcome(), response.reason()})
	})
	d.log.SetFaults(appender.Faults{})
	d.checkEffects(notes)
	d.check(second)
}
