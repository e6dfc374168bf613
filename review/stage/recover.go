package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// playRecover crashes three engines, one after the other, whose answers come with neither a length nor
// chunks. The final fault follows: all daemons are killed and start again.
func playRecover(s *stage) (verdict, error) {
	const (
		firstPart  = "5c1e07a2"
		daemons    = 4
		engines    = 7
		crashes    = 3
		crashEach  = 3 * time.Second
		every      = 80 * time.Millisecond // between two requests of all requesters together
		calm       = 12 * time.Second
		down       = 600 * time.Millisecond
		recoverIn  = 12 * time.Second // recover_s
		measureFor = 15 * time.Second
	)
	for range engines {
		if err := s.fleet.start(behaviour{service: "model", isEngine: true, events: 16, interval: 50 * time.Millisecond, isUnframed: true}); err != nil {
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
					method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("%s:40,%08x:40", firstPart, rand.Uint32()), tokens: "80,32", deadline: 20 * time.Second,
				})
				mu.Lock()
				defer mu.Unlock()
				results = append(results, got)
			})
		}
	})
	time.Sleep(calm)
	for range crashes {
		if s.trouble {
			s.fleet.crashBusiest()
		}
		time.Sleep(crashEach)
	}
	fault := time.Now()
	back := fault
	if s.trouble {
		for _, d := range s.daemons {
			d.kill()
		}
		s.record.add("the final fault: all daemons are killed")
		time.Sleep(down)
		for _, d := range s.daemons {
			if err := d.restart(s.root, s.folder); err != nil {
				return couldNot, err
			}
		}
		back = time.Now()
		s.record.add("all daemons are started again")
	}
	time.Sleep(recoverIn + measureFor)
	end := time.Now()
	close(stop)
	group.Wait()

	within := func(from, to time.Time) (sent []result) {
		return slices.DeleteFunc(slices.Clone(results), func(r result) bool { return r.at.Before(from) || !r.at.Before(to) })
	}
	before, later := within(time.Time{}, fault), within(back.Add(recoverIn), end)
	servedBefore, servedLater := countServed(before), countServed(later)
	statuses := map[int]int{}
	for _, r := range later {
		statuses[r.status]++
	}
	s.record.say("served %d of %d requests before the final fault, %d of %d sent later than %v after the daemons were back; statuses of these %v", servedBefore, len(before), servedLater, len(later), recoverIn, statuses)
	if len(before) == 0 || len(later) == 0 || 4*servedBefore < len(before) {
		return couldNot, fmt.Errorf("too few requests, or less than a quarter was served before the final fault")
	}
	if 4*servedLater < len(later) {
		s.record.say("RECOVER broken: less than a quarter is served")
		return broken, nil
	}
	s.record.say("RECOVER held")
	return held, nil
}

// crashBusiest crashes the server that runs the most requests.
func (f *fleet) crashBusiest() {
	f.mu.Lock()
	var busiest *server
	most := int64(-1)
	for s := range f.servers {
		if running := s.running.Load(); running > most {
			busiest, most = s, running
		}
	}
	f.mu.Unlock()
	f.record.add("server %s runs %d requests", busiest.id, most)
	busiest.crash()
}
