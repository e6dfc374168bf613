package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const poisonPart = "bad0bad0"

func (s *stage) crashesOnPart(r *http.Request, _ []byte) bool {
	return s.trouble && strings.Contains(r.Header.Get(wire("parts")), poisonPart)
}

func reachedWithPart(a arrival) bool { return strings.Contains(a.parts, poisonPart) }

// longPrompt returns a request whose prompt has 18 parts, of which the 17th is given.
func longPrompt(part string) call {
	var prefix strings.Builder
	for number := range 16 {
		fmt.Fprintf(&prefix, "5c1e07%02x:20,", number)
	}
	return call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s%s:20,%08x:40", prefix.String(), part, rand.Uint32()), tokens: "380,10", deadline: 20 * time.Second}
}

// playParts sends requests whose prompts have 18 parts. One of the later parts of some of them crashes
// each server that begins to write an answer on it.
func playParts(s *stage) (verdict, error) {
	const (
		poisonEach  = 800 * time.Millisecond
		calm        = 6 * time.Second // before the first request with the part
		poisonedFor = 30 * time.Second
	)
	engine := behaviour{service: "model", isEngine: true, events: 5, interval: 20 * time.Millisecond, crashes: s.crashesOnPart}
	if err := s.deploy(repeat(10, engine), s.publishModel, 4); err != nil {
		return couldNot, err
	}
	sound := s.startTraffic(100*time.Millisecond, func() call { return longPrompt("600d600d") })
	time.Sleep(calm)
	var group sync.WaitGroup
	poisons := 0
	for begin := time.Now(); time.Since(begin) < poisonedFor; time.Sleep(poisonEach) {
		poisons++
		group.Go(func() { s.sendAny(longPrompt(poisonPart)) })
	}
	results := sound.finish()
	group.Wait()
	s.record.say("%d requests with the part were sent and reached servers %d times; sound requests served: %d of %d", poisons, len(s.fleet.reached(reachedWithPart)), countServed(results), len(results))
	return s.judgeParts(), nil
}

func (s *stage) judgeParts() verdict {
	const (
		crashes = 5
		allowed = 3 // requests with the part that may reach servers later than the window after the fifth crash
	)
	runs := s.fleet.reached(reachedWithPart)
	if !s.trouble || len(runs) < crashes {
		return held
	}
	fifth := runs[crashes-1].at
	late := map[string]bool{}
	for _, run := range runs[crashes:] {
		if run.at.After(fifth.Add(stabilityWindow)) && !late[run.id] {
			late[run.id] = true
			s.record.add("request %s with the part reached %s %.1f s after the fifth crash", run.id, run.server, run.at.Sub(fifth).Seconds())
		}
	}
	s.record.say("%d requests with the part reached servers later than %v after the fifth crash; %d are allowed", len(late), stabilityWindow, allowed)
	return s.ruling("BUDGET", len(late) > allowed)
}
