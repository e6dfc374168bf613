package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playParts sends requests whose prompts have 18 parts. One of the later parts of some of them crashes
// each server that begins to write an answer on it.
func playParts(s *stage) (verdict, error) {
	const (
		daemons     = 4
		engines     = 10
		shared      = 16 // parts that all requests share
		poisonPart  = "bad0bad0"
		soundPart   = "600d600d"
		soundEach   = 100 * time.Millisecond
		poisonEach  = 800 * time.Millisecond
		calm        = 6 * time.Second // before the first request with the part
		poisonedFor = 30 * time.Second
		crashes     = 5
		allowed     = 3 // requests with the part that may reach servers later than the window after the fifth crash
	)
	crashing := func(r *http.Request, _ []byte) bool {
		return s.trouble && strings.Contains(r.Header.Get(wire("parts")), poisonPart)
	}
	for range engines {
		if err := s.fleet.start(behaviour{service: "model", isEngine: true, events: 5, interval: 20 * time.Millisecond, crashes: crashing}); err != nil {
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
	time.Sleep(2 * stabilityWindow) // all machines are in touch

	var prefix strings.Builder
	for number := range shared {
		fmt.Fprintf(&prefix, "5c1e07%02x:20,", number)
	}
	letter := func(part string) call {
		return call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s%s:20,%08x:40", prefix.String(), part, rand.Uint32()), tokens: "380,10", deadline: 20 * time.Second}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var served, sent int
	end := time.Now().Add(calm + poisonedFor)
	group.Go(func() {
		var each sync.WaitGroup
		defer each.Wait()
		var all []*requester
		for _, d := range s.daemons {
			all = append(all, newRequester(s.record, d.callers))
		}
		for number := 0; time.Now().Before(end); number++ {
			each.Go(func() {
				got := all[number%len(all)].send(letter(soundPart))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if got.served() {
					served++
				}
			})
			time.Sleep(soundEach)
		}
	})
	time.Sleep(calm)
	poisons := 0
	for time.Now().Before(end) {
		poisons++
		group.Go(func() {
			q := newRequester(s.record, s.daemons[rand.IntN(len(s.daemons))].callers)
			defer q.close()
			q.send(letter(poisonPart))
		})
		time.Sleep(poisonEach)
	}
	group.Wait()

	runs := s.fleet.reached(func(a arrival) bool { return strings.Contains(a.parts, poisonPart) })
	s.record.say("%d requests with the part were sent and reached servers %d times; sound requests served: %d of %d", poisons, len(runs), served, sent)
	if !s.trouble || len(runs) < crashes {
		return held, nil
	}
	fifth := runs[crashes-1].at
	late := map[string]bool{}
	for _, run := range runs[crashes:] {
		if run.at.After(fifth.Add(stabilityWindow)) && !late[run.id] {
			late[run.id] = true
			s.record.add("request %s with the part reached %s %.1f s after the fifth crash", run.id, run.server, run.at.Sub(fifth).Seconds())
		}
	}
	if len(late) > allowed {
		s.record.say("BUDGET broken: %d requests with the part reached servers later than %v after the fifth crash; %d are allowed", len(late), stabilityWindow, allowed)
		return broken, nil
	}
	s.record.say("BUDGET held: %d requests with the part reached servers later than %v after the fifth crash", len(late), stabilityWindow)
	return held, nil
}
