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

const officers = cowslipproxy.ScopeCustomer + "officers"

// inForce is the time within which an accepted change is in force on all
// daemons (section 1.3 of the design).
const inForce = 2 * time.Second

// rate returns the rate of the officers' limit that is in force on a daemon.
func (one *daemon) rate() float64 {
	dump, ok := one.dump()
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

// race lets operators publish different rates on the same base, and returns the
// rate that was accepted.
func (d *deployment) race(operators int, round int) float64 {
	var accepted []float64
	state, err := follower.ReadAll(context.Background(), d.log)
	for err != nil {
		time.Sleep(20 * time.Millisecond)
		state, err = follower.ReadAll(context.Background(), d.log)
	}
	bases := state.Settled().Bases
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
				if result.Scope == officers && result.Verdict == resolver.VerdictAccepted {
					accepted = append(accepted, rate)
				}
			}
		})
	}
	group.Wait()
	require.Len(d.t, accepted, 1, "of operators that race on one base exactly one wins")
	return accepted[0]
}

// watch requires that a daemon's configuration never goes back.
func (d *deployment) watch(one *daemon, stop <-chan struct{}) {
	var offset uint64
	var last float64
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		dump, ok := one.dump()
		if !ok || !dump.Ready {
			continue
		}
		if dump.Offset < offset {
			d.t.Errorf("%s went back from offset %d to %d", one.name, offset, dump.Offset)
		}
		// The rates of later rounds are higher.
		now := one.rate()
		if now < last {
			d.t.Errorf("%s went back from rate %v to %v", one.name, last, now)
		}
		offset, last = dump.Offset, now
	}
}

// everywhere requires that a rate comes into force on daemons in time.
func (d *deployment) everywhere(rate float64, daemons ...*daemon) {
	began := time.Now()
	for _, one := range daemons {
		for one.rate() != rate {
			require.Less(d.t, time.Since(began), inForce, "%s has rate %v instead of %v", one.name, one.rate(), rate)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// same requires that daemons hold the same configuration.
func (d *deployment) same(daemons ...*daemon) {
	first, ok := daemons[0].dump()
	require.True(d.t, ok)
	for _, one := range daemons[1:] {
		dump, ok := one.dump()
		require.True(d.t, ok)
		require.Equal(d.t, first.Models, dump.Models)
		require.Equal(d.t, first.Services, dump.Services)
		require.Equal(d.t, names(first.Customers), names(dump.Customers), one.name)
		require.Equal(d.t, first.Offset, dump.Offset, one.name)
	}
}

// Guards against daemons that differ, a change that is in force late, an older
// configuration that comes back, and two winners of a race, while a daemon is
// held, the log is out and loses answers, and its records are truncated before
// the held daemon has read them.
func TestConfigIsTheSameEverywhere(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.publish()
	daemons := []*daemon{d.process("entry-1"), d.process("entry-2"), d.process("entry-3")}
	d.ready(daemons...)
	d.incarnations(daemons[0], 3)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, one := range daemons {
		watching.Go(func() { d.watch(one, stop) })
	}
	round := 1
	for ; round <= 4; round++ {
		d.everywhere(d.race(3, round), daemons...)
	}
	d.log.SetFaults(appender.Faults{LoseEach: 2, Delay: cowslipproxy.Duration(5 * time.Millisecond)})
	for ; round <= 7; round++ {
		d.everywhere(d.race(3, round), daemons...)
	}
	daemons[2].logLink.hold()
	var last float64
	for ; round <= 9; round++ {
		last = d.race(2, round)
		d.everywhere(last, daemons[:2]...)
	}
	outage := time.AfterFunc(50*time.Millisecond, func() {
		d.log.SetFaults(appender.Faults{Down: true})
		time.Sleep(400 * time.Millisecond)
		d.log.SetFaults(appender.Faults{LoseEach: 2})
	})
	defer outage.Stop()
	for ; round <= 11; round++ {
		last = d.race(3, round)
	}
	time.Sleep(500 * time.Millisecond)
	d.everywhere(last, daemons[:2]...)
	batch, err := d.log.Read(t.Context(), cowslipproxy.StreamConfig, 0, 0)
	require.NoError(t, err)
	d.log.Truncate(cowslipproxy.StreamConfig, batch.Next)
	daemons[2].logLink.resume()
	require.Eventually(t, func() bool { return daemons[2].rate() == last }, waitLimit, 10*time.Millisecond)
	fresh := d.process("entry-4")
	d.ready(fresh)
	require.Equal(t, last, fresh.rate())
	close(stop)
	watching.Wait()
	d.same(append(daemons, fresh)...)
	d.check(append(daemons, fresh)...)
}

// Guards against a daemon that forgets its configuration in an outage of the
// log, and against a new one that can't start in it.
func TestConfigOutlastsTheLog(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.chains()
	d.publish()
	one := d.process("entry-1")
	d.ready(one)
	d.log.SetFaults(appender.Faults{Down: true})
	fresh := d.process("entry-2")
	d.ready(fresh)
	for i := range 20 {
		prompt := fmt.Sprint("outage ", i)
		response, text := d.complete([]*daemon{one, fresh}[i%2], officerKey, prompt, 5)
		require.Equal(t, expected(prompt, 5), text, "%v", response)
	}
	d.check(one, fresh)
}

func names(customers []router.CustomerShare) []string {
	var found []string
	for _, customer := range customers {
		found = append(found, fmt.Sprint(customer.Name, " ", customer.Class, " ", customer.Rate))
	}
	return found
}
