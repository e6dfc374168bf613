package main

import (
	"net/http"
	"time"
)

func init() { cases["slashes"] = runSlashes }

// runSlashes sends requests whose paths begin with one slash and, as the disruption, with two,
// and compares what the server gets with what the client sent.
func runSlashes(p *probe) (broken bool) {
	s := newStore()
	storeAddress, stopStore := s.serve("127.0.0.1")
	p.onStop(stopStore)
	f := &fleet{store: s, work: 15 * time.Millisecond}
	p.onStop(f.start("127.0.0.1", "ledger", "i-1"))
	routes := []route{
		{name: "all", prefix: "/", kind: "unsafe", service: "ledger"},
		{name: "fees", prefix: "/fees/", kind: "unsafe", service: "ledger"},
	}
	s.put(names["op"], "config", configuration(1, routes, []string{"ledger"}, []tenant{{"clerks", []string{"key"}}}))
	p.start(loopbacks(1), []string{storeAddress})
	targets := []string{"/fees/1", "/other/2?x=1", "/other//3"}
	if p.trouble {
		targets = append(targets, "//fees/4", "//other.example/fees/5?x=1")
	}
	changed := 0
	for _, target := range targets {
		id := newID()
		got := callOnce(p.daemons[0].callers, request{id, "POST", target, "key", "post", time.Second})
		p.logf("sent %s: POST %s, Host %s: %v", id, target, host, got)
		for _, r := range f.runsOf(id) {
			isChanged := r.line != "POST "+target || r.host != host
			p.logf("run  %s: %s, Host %s, changed %v", id, r.line, r.host, isChanged)
			if isChanged {
				changed++
			}
		}
		if got.status == 0 || got.status >= http.StatusInternalServerError {
			p.logf("request %s was not served", id)
		}
	}
	p.logf("%d requests ran with a changed path", changed)
	return changed > 0
}
