package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, in the platform's terms.
const (
	configApply     = 2 * time.Second // config_apply_ms
	stabilityWindow = 3 * time.Second // stability_window_ms
)

const (
	silentDaemons = 3
	freezeTime    = 4 * time.Second
	withdrawnKey  = "key-withdrawn"
)

func init() { cases["silent"] = runSilent }

// runSilent makes the open connections between the daemons and the store silent, freezes the
// daemon that reads the store for the others, withdraws a key, and counts the requests with
// that key that run at the other daemons although these must know the new version.
func runSilent(p *probe) (broken bool) {
	s := newStore()
	storeAddress, stopStore := s.serve("127.0.0.1")
	p.onStop(stopStore)
	f := &fleet{store: s, work: 15 * time.Millisecond}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		p.onStop(f.start("127.0.0.1", "ledger", id))
	}
	routes := []route{{name: "fees", prefix: "/fees/", kind: "unsafe", service: "ledger"}}
	publish := func(version int, keys ...string) {
		s.put(names["op"], "config", configuration(version, routes, []string{"ledger"}, []tenant{{"clerks", keys}}))
	}
	publish(1, "key-kept", withdrawnKey)
	ips := loopbacks(silentDaemons)
	var proxies []*proxy
	var stores []string
	for range ips {
		between := startProxy("127.0.0.1", storeAddress)
		p.onStop(between.stop)
		proxies = append(proxies, between)
		stores = append(stores, between.address())
	}
	p.start(ips, stores)
	time.Sleep(10 * time.Second) // traffic starts, when the daemons know each other
	reader := findReader(proxies)
	silent := time.Now()
	if p.trouble {
		p.freezeAndSilence(reader, proxies)
	}
	time.Sleep(500 * time.Millisecond)
	publish(2, "key-kept")
	acked := time.Now()
	p.logf("version 2, which withdraws a key, is acknowledged")
	due := acked.Add(configApply)
	if inTouch := silent.Add(stabilityWindow); inTouch.After(due) {
		due = inTouch
	}
	var group sync.WaitGroup
	var late atomic.Int64
	for i, d := range p.daemons {
		if i == reader {
			continue // it is not in touch
		}
		group.Go(func() {
			for time.Since(acked) < 10*time.Second {
				sent := time.Now()
				ran := p.postWithdrawn(f, d, sent.Sub(acked), sent.Sub(silent))
				if ran && sent.After(due) {
					late.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	p.logf("%d requests with the withdrawn key ran that were sent to daemons in touch later than config_apply_ms after the ack", late.Load())
	return late.Load() > 0
}

// postWithdrawn sends a request with the withdrawn key, some time after the ack and after the
// connections became silent, and reports whether it ran.
func (p *probe) postWithdrawn(f *fleet, d *daemon, afterAck, afterSilence time.Duration) (ran bool) {
	id := newID()
	got := callOnce(d.callers, request{id, "POST", "/fees/1", withdrawnKey, "post", time.Second})
	runs := f.runsOf(id)
	p.logf("%s: request %s with the withdrawn key, sent %.3f s after the ack and %.3f s after the connections became silent: %v; runs %d",
		d.name, id, afterAck.Seconds(), afterSilence.Seconds(), got, len(runs))
	return len(runs) > 0
}

// freezeAndSilence freezes a daemon and makes the open connections to the store silent.
func (p *probe) freezeAndSilence(reader int, proxies []*proxy) {
	process := p.daemons[reader].command.Process
	check(process.Signal(syscall.SIGSTOP))
	p.logf("%s, which reads the store for the others, is frozen for %v", p.daemons[reader].name, freezeTime)
	time.AfterFunc(freezeTime, func() { _ = process.Signal(syscall.SIGCONT) })
	for i, between := range proxies {
		p.logf("%d open connections between %s and the store are silent from now on; new ones work", between.silence(), p.daemons[i].name)
	}
}

// findReader returns the index of the daemon that calls the store most.
func findReader(proxies []*proxy) (reader int) {
	before := make([]int, len(proxies))
	for i, between := range proxies {
		before[i] = between.count()
	}
	time.Sleep(2 * time.Second)
	most := -1
	for i, between := range proxies {
		if calls := between.count() - before[i]; calls > most {
			reader, most = i, calls
		}
	}
	return reader
}
