package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playUnframed sends the streams of the site at its rate to engines whose answers come with neither a
// length nor chunks, and sends one of the daemons a SIGHUP.
func playUnframed(s *stage) (verdict, error) {
	const (
		daemons = 4
		engines = 7
		events  = 20
		every   = time.Second / 62 // between two requests of all requesters together
		calm    = 10 * time.Second
		after   = 10 * time.Second
		apply   = 2 * time.Second // config_apply_ms
	)
	for range engines {
		if err := s.fleet.start(behaviour{service: "model", isEngine: true, events: events, interval: 20 * time.Millisecond, isUnframed: s.trouble}); err != nil {
			return couldNot, err
		}
	}
	if err := s.publishModel(); err != nil {
		return couldNot, err
	}
	if err := s.startDaemons(daemons); err != nil {
		return couldNot, err
	}
	if err := s.fleet.awaitLayers(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * stabilityWindow)

	var mu sync.Mutex
	var results []result
	at := map[string]int{} // daemon by request
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		var all []*requester
		for _, d := range s.daemons {
			all = append(all, newRequester(s.record, d.callers))
		}
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			group.Go(func() {
				got := all[number%len(all)].send(call{
					method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("5c1e07a2:40,%08x:40", rand.Uint32()), tokens: "80,40", deadline: 20 * time.Second,
				})
				mu.Lock()
				defer mu.Unlock()
				results = append(results, got)
				at[got.id] = number % len(all)
			})
		}
	})
	time.Sleep(calm)
	if err := s.daemons[0].process.Process.Signal(syscall.SIGHUP); err != nil {
		return couldNot, err
	}
	hangup := time.Now()
	s.record.add("%s gets a SIGHUP", s.daemons[0].name)
	time.Sleep(after)
	close(stop)
	group.Wait()

	last := fmt.Sprintf("id: %d\n", events)
	reached := map[string]bool{}
	for _, a := range s.fleet.reached(func(arrival) bool { return true }) {
		reached[a.id] = true
	}
	statuses := map[string]int{}
	cut, around := 0, 0
	for _, r := range results {
		kind := fmt.Sprintf("%d", r.status)
		if r.status == http.StatusOK && !r.complete {
			kind = "200, reset"
			if strings.Contains(r.body, last) {
				kind = "200, reset after the last event"
			}
		}
		statuses[kind]++
		if at[r.id] != 0 || r.at.Before(hangup) || r.at.After(hangup.Add(apply)) || !reached[r.id] {
			continue
		}
		around++
		if !r.complete {
			cut++
		}
	}
	s.record.say("answers: %v", statuses)
	if around == 0 {
		return couldNot, fmt.Errorf("no request around the SIGHUP")
	}
	s.record.say("of %d requests that the daemon got within %v after its SIGHUP and passed on, %d got no complete answer", around, apply, cut)
	if cut > 0 {
		s.record.say("LOST broken")
		return broken, nil
	}
	s.record.say("LOST held")
	return held, nil
}
