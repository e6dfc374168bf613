package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playRecover crashes three engines, one after the other, whose answers come with neither a length nor
// chunks. The final fault follows: all daemons are killed and start again.
func playRecover(s *stage) (verdict, error) {
	const (
		crashes    = 3
		crashEach  = 3 * time.Second
		every      = 80 * time.Millisecond // between two requests of all requesters together
		calm       = 12 * time.Second
		down       = 600 * time.Millisecond
		measureFor = 15 * time.Second
	)
	engine := behaviour{service: "model", isEngine: true, events: 16, interval: 50 * time.Millisecond, isUnframed: true}
	if err := s.deploy(repeat(7, engine), s.publishModel, 4); err != nil {
		return couldNot, err
	}
	desk := s.startTraffic(every, func() call {
		return call{method: http.MethodPost, path: "/letters/1", parts: fmt.Sprintf("5c1e07a2:40,%08x:40", rand.Uint32()), tokens: "80,32", deadline: 20 * time.Second}
	})
	time.Sleep(calm)
	for range crashes {
		if s.trouble {
			s.fleet.crashBusiest()
		}
		time.Sleep(crashEach)
	}
	fault := time.Now()
	if s.trouble {
		if err := s.restartDaemons(down); err != nil {
			return couldNot, err
		}
	}
	back := time.Now()
	time.Sleep(recoverIn + measureFor)
	return s.judgeRecover(desk.finish(), fault, back)
}

const recoverIn = 12 * time.Second // recover_s

func (s *stage) judgeRecover(results []result, fault, back time.Time) (verdict, error) {
	var before, later []result
	statuses := map[int]int{}
	for _, r := range results {
		switch {
		case r.at.Before(fault):
			before = append(before, r)
		case r.at.After(back.Add(recoverIn)):
			later = append(later, r)
			statuses[r.status]++
		}
	}
	servedBefore, servedLater := countServed(before), countServed(later)
	s.record.say("served %d of %d requests before the final fault, %d of %d sent later than %v after the daemons were back; statuses of these %v", servedBefore, len(before), servedLater, len(later), recoverIn, statuses)
	if len(before) == 0 || len(later) == 0 || 4*servedBefore < len(before) {
		return couldNot, fmt.Errorf("too few requests, or less than a quarter was served before the final fault")
	}
	return s.ruling("RECOVER", 4*servedLater < len(later)), nil
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
