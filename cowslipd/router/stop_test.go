package router_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

// addressCache caches a caller's address response.
type addressCache struct {
	known   []*daemon // daemons to query for addresses
	current *daemon
	expires time.Time
}

// pick returns the daemon to use. It queries addresses again when the response has expired.
func (c *addressCache) pick(d *deployment) *daemon {
	if c.current != nil && time.Now().Before(c.expires) {
		return c.current
	}
	candidates := c.known
	if c.current != nil {
		candidates = append([]*daemon{c.current}, candidates...)
	}
	for _, entry := range candidates {
		response, err := d.call(entry, http.MethodGet, "/v1/addresses", "", nil, "")
		if err != nil {
			continue
		}
		var answer cowslipproxy.Addresses
		if json.Unmarshal(response.body, &answer) != nil || len(answer.Addresses) == 0 {
			continue
		}
		d.mu.Lock()
		for _, known := range d.daemons {
			if known.listen.Callers == answer.Addresses[0].Address {
				c.current = known
			}
		}
		c.known = append([]*daemon(nil), d.daemons...)
		d.mu.Unlock()
		c.expires = time.Now().Add(time.Duration(answer.Lifetime))
		return c.current
	}
	return nil
}

func (d *deployment) awaitPhase(entry *daemon, phase string) {
	require.Eventually(d.t, func() bool {
		dump, ok := entry.dump()
		return ok && dump.Phase == phase
	}, waitLimit, 10*time.Millisecond, "%s is not %s", entry.name, phase)
}

func (d *deployment) awaitExit(entry *daemon) {
	select {
	case err := <-entry.exited:
		require.NoError(d.t, err)
	case <-time.After(waitLimit):
		require.Fail(d.t, entry.name+" did not exit")
	}
}

// sendRequests sends requests to the daemons that the address responses name, and reports
// an error for each request that fails.
func (d *deployment) sendRequests(cache *addressCache, number int, responses *responseLog, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		entry := cache.pick(d)
		if entry == nil {
			d.t.Error("no daemon answers address queries")
			return
		}
		if i%3 == 0 {
			if response := d.postFee(entry, responses, fmt.Sprintf("caller-%d-%d", number, i)); response == nil || response.outcome() != "done" {
				d.t.Errorf("fee through %s: %v", entry.name, response)
			}
			continue
		}
		prompt := fmt.Sprint("caller ", number, " letter ", i)
		if response, text := d.complete(entry, officerKey, prompt, 20); text != expectedText(prompt, 20) {
			d.t.Errorf("completion through %s: %v", entry.name, response)
		}
	}
}

// Guards against requests that are interrupted or refused while all daemons are
// replaced one after another under load, for callers that use the current address
// responses.
func TestRollingReplacementInterruptsNoRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	old := []*daemon{d.startProcess("entry-1"), d.startProcess("entry-2")}
	d.publish()
	d.awaitReady(old...)
	d.awaitIncarnations(old[0], 2)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
	for c := range 6 {
		callers.Go(func() { d.sendRequests(&addressCache{known: old}, c, responses, stop) })
	}
	var added []*daemon
	for i, entry := range old {
		next := d.startProcess(fmt.Sprint("entry-", 3+i))
		d.awaitReady(next)
		added = append(added, next)
		entry.stop()
		d.awaitExit(entry)
		d.list.Remove(entry.name)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	callers.Wait()
	require.Greater(t, len(responses.answered), 20)
	d.checkEffects(responses)
	d.checkInvariants(added...)
}

// postUntil posts fees one after another until stop is closed, and returns their keys.
func (d *deployment) postUntil(entry *daemon, responses *responseLog, format string, stop <-chan struct{}) []string {
	var sent []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return sent
		case <-time.After(25 * time.Millisecond):
		}
		sent = append(sent, fmt.Sprintf(format, i))
		d.postFee(entry, responses, sent[i])
	}
}

// Guards against forwarded requests that are interrupted when the listener for other
// daemons closes, and against outcomes that are lost because the log is slow when the
// daemon exits.
func TestStopDrainsForwardedRequestsAndOutcomes(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	first, second := d.startProcess("entry-1"), d.startProcess("entry-2")
	d.publish()
	d.awaitReady(first, second)
	incarnation := d.awaitIncarnations(second, 2)[first.listen.Callers]
	d.ledgers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 15 * time.Millisecond}}})
	d.log.SetSettings(appender.Settings{Delay: cowslipproxy.Duration(100 * time.Millisecond)})
	responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var sent [2][]string
	senders.Go(func() { sent[0] = d.postUntil(second, responses, "cow1."+incarnation+".forwarded-%08d", stop) })
	senders.Go(func() { sent[1] = d.postUntil(first, responses, "plain-%d", stop) })
	first.stop()
	d.awaitExit(first)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	senders.Wait()
	d.log.SetSettings(appender.Settings{})
	effects := map[string]bool{}
	for _, effect := range d.effectLog.Effects() {
		effects[effect.Body] = true
	}
	// The stop takes 7 s (announcement, lifetime of address responses, grace period). At
	// least one request per second with each form of key shows that requests ran in all
	// phases.
	byForm := map[string]int{}
	for key := range responses.answered {
		byForm[key[:5]]++
	}
	require.Greater(t, byForm["plain"], 7)
	require.Greater(t, byForm["cow1."], 7)
	for _, key := range append(sent[0], sent[1]...) {
		if _, answered := responses.answered[key]; !answered {
			require.False(t, effects[fmt.Sprintf(`{"fee":%q}`, key)], "%s ran and was interrupted", key)
		}
	}
	for key := range responses.answered {
		if key[:5] == "plain" {
			require.Equal(t, "done", d.postFee(second, responses, key).outcome(), "the outcome of %s is lost", key)
		}
	}
	d.checkEffects(responses)
	d.checkInvariants(second)
}

// Guards against interrupting requests that wait for admission when a stop begins, and
// against a daemon that accepts new requests after the address responses that name it
// have expired, instead of refusing them.
func TestStopRefusesRequestsWhileFinishing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.startLedger("ledger-1")
	entry := d.startDaemon("entry-1")
	d.publish()
	d.awaitReady(entry)
	d.ledgers[0].Set(server.Control{Faults: []server.Fault{{Kind: server.FaultDelay, Path: "/fees", Wait: 4500 * time.Millisecond}}})
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		d.completeAll("waiting", 150, 150, 30, func(int) *daemon { return entry })
	}()
	require.Eventually(t, func() bool { dump, ok := entry.dump(); return ok && dump.Inflight > 100 }, waitLimit, time.Millisecond)
	entry.stop()
	d.awaitPhase(entry, "draining")
	responses := &responseLog{answered: map[string]string{}, counts: map[string]int{}}
	inFlight := make(chan *reply, 1)
	go func() { inFlight <- d.postFee(entry, responses, "kept") }()
	d.awaitPhase(entry, "finishing")
	response, _ := d.complete(entry, officerKey, "too late", 3)
	require.NotNil(t, response)
	require.Equal(t, []string{"refused", "stopping"}, []string{response.outcome(), response.reason()})
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	<-waiting
	require.Equal(t, "done", (<-inFlight).outcome())
	d.checkInvariants()
	d.awaitExit(entry)
}
