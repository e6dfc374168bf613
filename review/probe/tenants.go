package main

import (
	"net/http"
	"time"
)

func init() { cases["tenants"] = runTenants }

// runTenants withdraws the only key of a deployment: by a version without any tenant or,
// without the disruption, by one whose tenant has no key. It then sends requests with the
// withdrawn key, with a key that no version had, and without a key.
func runTenants(p *probe) (broken bool) {
	s := newStore()
	storeAddress, stopStore := s.serve("127.0.0.1")
	p.onStop(stopStore)
	f := &fleet{store: s, work: 15 * time.Millisecond}
	p.onStop(f.start("127.0.0.1", "ledger", "i-1"))
	routes := []route{{name: "fees", prefix: "/fees/", kind: "unsafe", service: "ledger"}}
	publish := func(version int, tenants ...tenant) {
		s.put(names["op"], "config", configuration(version, routes, []string{"ledger"}, tenants))
	}
	publish(1, tenant{"clerks", []string{withdrawnKey}})
	p.start(loopbacks(2), []string{storeAddress, storeAddress})
	time.Sleep(5 * time.Second)
	for _, key := range []string{withdrawnKey, "key-of-nobody", ""} {
		p.post(f, 0, key)
	}
	if p.trouble {
		publish(2)
		p.logf("version 2, which withdraws the last tenant, is acknowledged")
	} else {
		publish(2, tenant{"clerks", []string{}})
		p.logf("version 2, which withdraws the last key of the tenant, is acknowledged")
	}
	time.Sleep(2 * configApply)
	ran := 0
	for i := range p.daemons {
		for _, key := range []string{withdrawnKey, "key-of-nobody", ""} {
			if p.post(f, i, key) {
				ran++
			}
		}
	}
	p.logf("%d requests ran without a key of the configuration, sent later than config_apply_ms after the ack", ran)
	return ran > 0
}

// post sends a request to a daemon and reports whether it ran.
func (p *probe) post(f *fleet, at int, key string) (ran bool) {
	id := newID()
	got := callOnce(p.daemons[at].callers, request{id, http.MethodPost, "/fees/1", key, "post", time.Second})
	runs := f.runsOf(id)
	p.logf("%s: request %s with the key %q: %v; runs %d", p.daemons[at].name, id, key, got, len(runs))
	return len(runs) > 0
}
