package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playSplit sends a request that crashes each server that runs it, again and again to any daemon,
// on a route that is split between two services.
func playSplit(s *stage) (verdict, error) {
	const (
		poison    = "a body that crashes servers"
		interval  = 1500 * time.Millisecond
		repeats   = 30
		allowed   = 3 // retries that may reach servers later than the window after the third crash
		crashes   = 3
		perSecond = 30 // sound requests
		work      = 100 * time.Millisecond
	)
	crashing := func(r *http.Request, body []byte) bool { return s.trouble && string(body) == poison }
	for range 3 {
		for _, service := range []string{"orders-a", "orders-b"} {
			if err := s.fleet.start(behaviour{service: service, work: work, crashes: crashing}); err != nil {
				return couldNot, err
			}
		}
	}
	split := []map[string]any{{"service": "orders-a", "weight": 50}, {"service": "orders-b", "weight": 50}}
	services := []map[string]any{}
	for _, name := range []string{"orders-a", "orders-b"} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false})
	}
	if err := s.publish([]map[string]any{{
		"name": "confirm", "host": host, wire("prefix"): "/confirm/", "kind": "unsafe", "timeout_ms": 2000, wire("target"): 100,
		"priority": 2, "split": split, "attempts": 2, "public": false,
	}}, services); err != nil {
		return couldNot, err
	}
	if err := s.startDaemons(3); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * stabilityWindow) // all machines are in touch
	soundDone := make(chan struct{})
	stop := make(chan struct{})
	var mu sync.Mutex
	var sound, served int
	go func() {
		defer close(soundDone)
		var group sync.WaitGroup
		defer group.Wait()
		var all []*requester
		for _, d := range s.daemons {
			all = append(all, newRequester(s.record, d.callers))
		}
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			group.Go(func() {
				got := all[number%len(all)].send(call{method: http.MethodPost, path: "/confirm/1", body: fmt.Sprintf("order %d", number), deadline: time.Second})
				mu.Lock()
				defer mu.Unlock()
				sound++
				if got.served() {
					served++
				}
			})
		}
	}()
	statuses := map[int]int{}
	for range repeats {
		q := newRequester(s.record, s.daemons[rand.IntN(len(s.daemons))].callers)
		statuses[q.send(call{method: http.MethodPost, path: "/confirm/2", body: poison, deadline: time.Second}).status]++
		q.close()
		time.Sleep(interval)
	}
	close(stop)
	<-soundDone
	runs := s.fleet.reached(func(a arrival) bool { return a.body == poison })
	s.record.say("the repeated request was sent %d times and reached servers %d times; statuses %v; sound requests served: %d of %d", repeats, len(runs), statuses, served, sound)
	if !s.trouble || len(runs) < crashes {
		return held, nil
	}
	third := runs[crashes-1].at
	late := 0
	for _, run := range runs[crashes:] {
		if run.at.After(third.Add(stabilityWindow)) {
			late++
			s.record.say("retry %d reached %s of %s %.1f s after the third crash", late, run.server, run.service, run.at.Sub(third).Seconds())
		}
	}
	if late > allowed {
		s.record.say("BUDGET broken: %d retries reached servers later than %v after the third crash; %d are allowed", late, stabilityWindow, allowed)
		return broken, nil
	}
	s.record.say("BUDGET held: %d retries reached servers later than %v after the third crash", late, stabilityWindow)
	return held, nil
}
