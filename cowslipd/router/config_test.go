package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/resolver"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
)

const officersScope = cowslipproxy.ScopeCustomer + "officers"

// propagationLimit is the time within which an accepted change must take effect on all
// daemons (section 1.3 of the design).
const propagationLimit = 2 * time.Second

// rate returns the officers' rate limit in effect on a daemon, or 0 if the daemon
// doesn't answer.
func (entry *daemon) rate() float64 {
	dump, ok := entry.dump()
	if !ok {
		return 0
	}
	for _, customer := range dump.Customers {
		if customer.Name == "officers" {
			return customer.Rate
		}
	}
	return 0
}

// publishConcurrently publishes different rates from several operators on the same base
// and returns the rate that was accepted.
func (d *deployment) publishConcurrently(operators int, round int) float64 {
	var accepted []float64
	state, err := follower.ReadAll(context.Background(), d.log)
	for err != nil {
		time.Sleep(20 * time.Millisecond)
		state, err = follower.ReadAll(context.Background(), d.log)
	}
	bases := state.ActiveConfiguration().Bases
	var group sync.WaitGroup
	var mu sync.Mutex
	for operator := range operators {
		group.Go(func() {
			declared := configuration()
			declared.Bases = bases
			rate := float64(1_000_000 + 100*round + operator)
			declared.Customers[0].Rate = rate
			results, err := (&follower.Publisher{Log: d.log}).Publish(context.Background(), declared)
			for err != nil { // nothing was appended
				time.Sleep(20 * time.Millisecond)
				results, err = (&follower.Publisher{Log: d.log}).Publish(context.Background(), declared)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, result := range results {
				if result.Scope == officersScope && result.Verdict == resolver.VerdictAccepted {
					accepted = append(accepted, rate)
				}
			}
		})
	}
	group.Wait()
	require.Len(d.t, accepted, 1, "exactly one of the concurrent publications on the same base must be accepted")
	return accepted[0]
}

// checkMonotonic reports an error if a daemon's configuration reverts to an older one.
func (d *deployment) checkMonotonic(entry *daemon, stop <-chan struct{}) {
	var offset uint64
	var lastRate float64
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		dump, ok := entry.dump()
		if !ok || !dump.Ready {
			continue
		}
		if dump.Offset < offset {
			d.t.Errorf("%s reverted from offset %d to %d", entry.name, offset, dump.Offset)
		}
		// The rates of later rounds are higher.
		currentRate := entry.rate()
		if currentRate < lastRate {
			d.t.Errorf("%s reverted from rate %v to %v", entry.name, lastRate, currentRate)
		}
		offset, lastRate = dump.Offset, currentRate
	}
}

// awaitRate requires that a rate takes effect on the daemons within propagationLimit.
func (d *deployment) awaitRate(rate float64, daemons ...*daemon) {
	start := time.Now()
	for _, entry := range daemons {
		for entry.rate() != rate {
			require.Less(d.t, time.Since(start), propagationLimit, "%s has rate %v instead of %v", entry.name, entry.rate(), rate)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// requireSameConfiguration requires that the daemons have the same configuration.
func (d *deployment) requireSameConfiguration(daemons ...*daemon) {
	first, ok := daemons[0].dump()
	require.True(d.t, ok)
	for _, entry := range daemons[1:] {
		dump, ok := entry.dump()
		require.True(d.t, ok)
		require.Equal(d.t, first.Models, dump.Models)
		require.Equal(d.t, first.Services, dump.Services)
		require.Equal(d.t, customerSummaries(first.Customers), customerSummaries(dump.Customers), entry.name)
		require.Equal(d.t, first.Offset, dump.Offset, entry.name)
	}
}

// Guards against configurations that differ between daemons, changes that take effect
// late, reverts to an older configuration, and two accepted changes on one base. One
// daemon's connection to the log is paused, the log is unavailable for a time and
// loses answers, and its records are truncated before the paused daemon has read them.
func TestConfigurationConverges(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.publish()
	daemons := []*daemon{d.startProcess("entry-1"), d.startProcess("entry-2"), d.startProcess("entry-3")}
	d.awaitReady(daemons...)
	d.awaitIncarnations(daemons[0], 3)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, entry := range daemons {
		watching.Go(func() { d.checkMonotonic(entry, stop) })
	}
	round := 1
	for ; round <= 4; round++ {
		d.awaitRate(d.publishConcurrently(3, round), daemons...)
	}
	d.log.SetSettings(appender.Settings{LoseEvery: 2, Delay: cowslipproxy.Duration(5 * time.Millisecond)})
	for ; round <= 7; round++ {
		d.awaitRate(d.publishConcurrently(3, round), daemons...)
	}
	daemons[2].logProxy.pause()
	var last float64
	for ; round <= 9; round++ {
		last = d.publishConcurrently(2, round)
		d.awaitRate(last, daemons[:2]...)
	}
	outage := time.AfterFunc(50*time.Millisecond, func() {
		d.log.SetSettings(appender.Settings{Down: true})
		time.Sleep(400 * time.Millisecond)
		d.log.SetSettings(appender.Settings{LoseEvery: 2})
	})
	defer outage.Stop()
	for ; round <= 11; round++ {
		last = d.publishConcurrently(3, round)
	}
	time.Sleep(500 * time.Millisecond)
	d.awaitRate(last, daemons[:2]...)
	batch, err := d.log.Read(t.Context(), cowslipproxy.StreamConfig, 0, 0)
	require.NoError(t, err)
	d.log.Truncate(cowslipproxy.StreamConfig, batch.Next)
	daemons[2].logProxy.resume()
	require.Eventually(t, func() bool { return daemons[2].rate() == last }, waitLimit, 10*time.Millisecond)
	added := d.startProcess("entry-4")
	d.awaitReady(added)
	require.Equal(t, last, added.rate())
	close(stop)
	watching.Wait()
	d.requireSameConfiguration(append(daemons, added)...)
	d.checkInvariants(append(daemons, added)...)
}

// Guards against a daemon losing its configuration during an outage of the log, and
// against a new daemon failing to start during the outage.
func TestConfigurationSurvivesLogOutage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.startEngines()
	d.publish()
	entry := d.startProcess("entry-1")
	d.awaitReady(entry)
	d.log.SetSettings(appender.Settings{Down: true})
	added := d.startProcess("entry-2")
	d.awaitReady(added)
	for i := range 20 {
		prompt := fmt.Sprint("outage ", i)
		response, text := d.complete([]*daemon{entry, added}[i%2], officerKey, prompt, 5)
		require.Equal(t, expectedText(prompt, 5), text, "%v", response)
	}
	d.checkInvariants(entry, added)
}

func customerSummaries(customers []router.CustomerShare) []string {
	var found []string
	for _, customer := range customers {
		found = append(found, fmt.Sprint(customer.Name, " ", customer.Class, " ", customer.Rate))
	}
	return found
}
