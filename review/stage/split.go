package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const repeatedBody = "a body that crashes servers"

// playSplit sends a request that crashes each server that runs it, again and again to any daemon,
// on a route that is split between two services.
func playSplit(s *stage) (verdict, error) {
	const (
		interval = 1500 * time.Millisecond
		repeats  = 30
		sound    = time.Second / 30 // between two sound requests
		work     = 100 * time.Millisecond
	)
	crashing := func(_ *http.Request, body []byte) bool { return s.trouble && string(body) == repeatedBody }
	servers := append(repeat(3, behaviour{service: "orders-a", work: work, crashes: crashing}), repeat(3, behaviour{service: "orders-b", work: work, crashes: crashing})...)
	if err := s.deploy(servers, s.publishSplit, 3); err != nil {
		return couldNot, err
	}
	others := s.startTraffic(sound, func() call {
		return call{method: http.MethodPost, path: "/confirm/1", body: fmt.Sprintf("order %d", rand.Uint64()), deadline: time.Second}
	})
	statuses := map[int]int{}
	for range repeats {
		statuses[s.sendAny(call{method: http.MethodPost, path: "/confirm/2", body: repeatedBody, deadline: time.Second}).status]++
		time.Sleep(interval)
	}
	results := others.finish()
	s.record.say("the repeated request was sent %d times; statuses %v; sound requests served: %d of %d", repeats, statuses, countServed(results), len(results))
	return s.judgeSplit(), nil
}

func (s *stage) publishSplit() error {
	split := []map[string]any{{"service": "orders-a", "weight": 50}, {"service": "orders-b", "weight": 50}}
	return s.publish([]map[string]any{{
		"name": "confirm", "host": host, wire("prefix"): "/confirm/", "kind": "unsafe", "timeout_ms": 2000, wire("target"): 100,
		"priority": 2, "split": split, "attempts": 2, "public": false,
	}}, []map[string]any{plainService("orders-a"), plainService("orders-b")})
}

func (s *stage) judgeSplit() verdict {
	const (
		crashes = 3
		allowed = 3 // retries that may reach servers later than the window after the third crash
	)
	runs := s.fleet.reached(func(a arrival) bool { return a.body == repeatedBody })
	if !s.trouble || len(runs) < crashes {
		s.record.say("it reached servers %d times", len(runs))
		return held
	}
	third := runs[crashes-1].at
	late := 0
	for _, run := range runs[crashes:] {
		if run.at.After(third.Add(stabilityWindow)) {
			late++
			s.record.add("retry %d reached %s of %s %.1f s after the third crash", late, run.server, run.service, run.at.Sub(third).Seconds())
		}
	}
	s.record.say("%d retries reached servers later than %v after the third crash; %d are allowed", late, stabilityWindow, allowed)
	return s.ruling("BUDGET", late > allowed)
}
