package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// playPause has a desk pause while requests with a part that crashes servers come at all machines. They
// share their key and their first part with the requests of the desk, which then goes on.
func playPause(s *stage) (verdict, error) {
	const (
		firstPart  = "5c1e07a2"
		poisonPart = "bad0bad0"
		daemons    = 10
		engines    = 8
		pause      = 6500 * time.Millisecond // of the desk, before the first request with the part
		interval   = 400 * time.Millisecond  // between two requests with the part
		perSecond  = 5                       // of the desk
		sample     = 6 * time.Second
		after      = 9 * time.Second // for which the desk goes on
		crashes    = 5
		minimum    = 20 // requests of the desk, of each kind
	)
	isPoison := func(parts string) bool { return strings.Contains(parts, poisonPart) }
	crashing := func(r *http.Request, _ []byte) bool { return s.trouble && isPoison(r.Header.Get(wire("parts"))) }
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

	d := &desk{stage: s, letter: func() call {
		return call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s:40,%08x:40", firstPart, rand.Uint32()), tokens: "80,10", deadline: 20 * time.Second}
	}}
	before := d.work(sample, perSecond)
	s.record.say("the desk pauses")
	time.Sleep(pause)

	var poison sync.WaitGroup
	stop := make(chan struct{})
	var poisonMu sync.Mutex
	var lastPoison time.Time
	poison.Go(func() {
		for ; ; time.Sleep(interval) {
			select {
			case <-stop:
				return
			default:
			}
			poisonMu.Lock()
			lastPoison = time.Now()
			poisonMu.Unlock()
			poison.Go(func() {
				q := newRequester(s.record, s.daemons[rand.IntN(len(s.daemons))].callers)
				defer q.close()
				q.send(call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s:40,%s:30,%08x:40", firstPart, poisonPart, rand.Uint32()), tokens: "110,10", deadline: 20 * time.Second})
			})
		}
	})
	crashTimes := func() (times []time.Time) {
		for _, run := range s.fleet.reached(func(a arrival) bool { return a.crashed }) {
			times = append(times, run.at)
		}
		return times
	}
	for begin := time.Now(); s.trouble && len(crashTimes()) < crashes && time.Since(begin) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
	}
	time.Sleep(2*stabilityWindow + 200*time.Millisecond)
	s.record.say("the desk goes on")
	later := d.work(after, perSecond)
	close(stop)
	poison.Wait()
	d.retries.Wait()

	times := crashTimes()
	var from time.Time
	if len(times) > 0 {
		from = times[min(crashes, len(times))-1].Add(2 * stabilityWindow)
	}
	later = slices.DeleteFunc(later, func(r result) bool { return r.at.Before(from) || r.at.After(lastPoison) })
	servedBefore, servedLater := countServed(before), countServed(later)
	s.record.say("%d crashes; the desk's requests that began at the first attempt: %d of %d before, %d of %d from %v after the fifth crash", len(times), servedBefore, len(before), servedLater, len(later), 2*stabilityWindow)
	if len(before) < minimum || len(later) < minimum || s.trouble && len(times) == 0 {
		return couldNot, fmt.Errorf("too few requests or crashes")
	}
	if 2*float64(servedLater)/float64(len(later)) < float64(servedBefore)/float64(len(before)) {
		s.record.say("LOST broken: sound requests began less than half as often")
		return broken, nil
	}
	s.record.say("LOST held")
	return held, nil
}

// desk is a requester with one kept channel.
type desk struct {
	*stage
	letter  func() call
	retries sync.WaitGroup
}

// work sends requests for a while to one daemon and returns the results of their first attempts. A
// request that is refused is sent once more, on a new channel to another daemon, after the Retry-After
// or a third of the time that is left.
func (d *desk) work(length time.Duration, perSecond int) (results []result) {
	at := rand.IntN(len(d.daemons))
	q := newRequester(d.record, d.daemons[at].callers)
	defer q.close()
	var mu sync.Mutex
	var group sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(time.Second / time.Duration(perSecond)) {
		group.Go(func() {
			c := d.letter()
			got := q.send(c)
			mu.Lock()
			results = append(results, got)
			mu.Unlock()
			if got.served() || got.retryAfter == 0 {
				return
			}
			left := c.deadline - time.Since(got.at)
			wait := min(got.retryAfter, left/3)
			d.retries.Go(func() {
				time.Sleep(wait)
				c.deadline = left - wait
				again := newRequester(d.record, d.daemons[(at+1+rand.IntN(len(d.daemons)-1))%len(d.daemons)].callers)
				defer again.close()
				again.send(c)
			})
		})
	}
	group.Wait()
	return results
}

func countServed(results []result) (count int) {
	for _, r := range results {
		if r.served() {
			count++
		}
	}
	return count
}
