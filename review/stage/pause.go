package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// playPause has a desk pause while requests with a part that crashes servers come at all machines. They
// share their key and their first part with the requests of the desk, which then goes on.
func playPause(s *stage) (verdict, error) {
	const (
		pause     = 6500 * time.Millisecond // of the desk, before the first request with the part
		perSecond = 5                       // of the desk
		sample    = 6 * time.Second
		after     = 9 * time.Second // for which the desk goes on
	)
	engine := behaviour{service: "model", isEngine: true, events: 5, interval: 20 * time.Millisecond, crashes: s.crashesOnPart}
	if err := s.deploy(repeat(8, engine), s.publishModel, 10); err != nil {
		return couldNot, err
	}
	d := &desk{stage: s, letter: func() call {
		return call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s:40,%08x:40", firstPart, rand.Uint32()), tokens: "80,10", deadline: 20 * time.Second}
	}}
	before := d.work(sample, perSecond)
	s.record.say("the desk pauses")
	time.Sleep(pause)
	stop := make(chan struct{})
	var poison sync.WaitGroup
	var lastPoison time.Time
	poison.Go(func() { lastPoison = s.sendPoison(stop) })
	s.awaitCrashes()
	time.Sleep(2*stabilityWindow + 200*time.Millisecond)
	s.record.say("the desk goes on")
	later := d.work(after, perSecond)
	close(stop)
	poison.Wait()
	d.retries.Wait()
	return s.judgePause(before, later, lastPoison)
}

const (
	firstPart       = "5c1e07a2"
	decisiveCrashes = 5
)

// sendPoison sends requests with the part to any daemons until it is stopped, and returns when it sent
// the last one.
func (s *stage) sendPoison(stop chan struct{}) (last time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		last = time.Now()
		group.Go(func() {
			s.sendAny(call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s:40,%s:30,%08x:40", firstPart, poisonPart, rand.Uint32()), tokens: "110,10", deadline: 20 * time.Second})
		})
		select {
		case <-stop:
			return last
		case <-time.After(400 * time.Millisecond):
		}
	}
}

func (s *stage) crashes() []arrival {
	return s.fleet.reached(func(a arrival) bool { return a.crashed })
}

// awaitCrashes waits for the fifth crash. There may be fewer.
func (s *stage) awaitCrashes() {
	for begin := time.Now(); s.trouble && len(s.crashes()) < decisiveCrashes && time.Since(begin) < 30*time.Second; {
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *stage) judgePause(before, later []result, lastPoison time.Time) (verdict, error) {
	const minimum = 20 // requests of the desk, of each kind
	crashes := s.crashes()
	var from time.Time
	if len(crashes) > 0 {
		from = crashes[min(decisiveCrashes, len(crashes))-1].at.Add(2 * stabilityWindow)
	}
	later = slices.DeleteFunc(later, func(r result) bool { return r.at.Before(from) || r.at.After(lastPoison) })
	servedBefore, servedLater := countServed(before), countServed(later)
	s.record.say("%d crashes; the desk's requests that began at the first attempt: %d of %d before, %d of %d from %v after the fifth crash", len(crashes), servedBefore, len(before), servedLater, len(later), 2*stabilityWindow)
	if len(before) < minimum || len(later) < minimum || s.trouble && len(crashes) == 0 {
		return couldNot, fmt.Errorf("too few requests or crashes")
	}
	return s.ruling("LOST", 2*float64(servedLater)/float64(len(later)) < float64(servedBefore)/float64(len(before))), nil
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
