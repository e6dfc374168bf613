package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playLate ends a server and all daemons together. The server starts again under its id, and the store
// executes a write of its former run late. Some time later the server leaves, as planned.
func playLate(s *stage) (verdict, error) {
	const (
		daemons  = 14
		interval = 1500 * time.Millisecond // between two requests to each daemon
		work     = 2500 * time.Millisecond // of a server on a request
		late     = 5500 * time.Millisecond // of the write
		drain    = 2 * time.Second         // drain_ms
		serves   = 5 * time.Second         // for which the leaving server goes on after its report
	)
	var servers []*server
	for range 2 {
		one, err := s.fleet.startServer(behaviour{service: "orders", work: work})
		if err != nil {
			return couldNot, err
		}
		servers = append(servers, one)
	}
	if err := s.publish([]map[string]any{{
		"name": "confirm", "host": host, wire("prefix"): "/confirm/", "kind": "unsafe", "timeout_ms": 8000, wire("target"): 3000,
		"priority": 2, "service": "orders", "attempts": 2, "public": false,
	}}, []map[string]any{{"name": "orders", "health_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false}}); err != nil {
		return couldNot, err
	}
	if err := s.startDaemons(daemons); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * stabilityWindow)

	leaver := servers[0]
	if s.trouble {
		lost := leaver.nextEntry()
		s.record.add("server %s writes its entry, and gets no answer from the store", leaver.id)
		time.AfterFunc(late, func() {
			s.store.put(wire("servers"), leaver.id, lost)
			s.record.add("the store executes that write")
		})
		var err error
		if leaver, err = leaver.restart(backAfter); err != nil {
			return couldNot, err
		}
		for _, d := range s.daemons {
			d.kill()
		}
		s.record.add("all daemons are killed")
		time.Sleep(300 * time.Millisecond)
		for _, d := range s.daemons {
			if err := d.restart(s.root, s.folder); err != nil {
				return couldNot, err
			}
		}
		for _, d := range s.daemons {
			if err := d.awaitReady(10 * time.Second); err != nil {
				return couldNot, err
			}
		}
		s.record.add("all daemons are ready again")
	}
	time.Sleep(12 * time.Second) // the store and all machines are in touch again

	stop := make(chan struct{})
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var served, sent int
	var group sync.WaitGroup
	for _, d := range s.daemons {
		group.Go(func() {
			q := newRequester(s.record, d.callers)
			defer q.close()
			time.Sleep(rand.N(interval))
			for {
				got := q.send(call{method: http.MethodPost, path: "/confirm/1", body: "an order", deadline: 8 * time.Second})
				mu.Lock()
				sentAt[got.id] = got.at
				sent++
				if got.served() {
					served++
				}
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	acked := leaver.drain()
	time.Sleep(serves)
	leaver.end()
	s.record.add("server %s ends", leaver.id)
	close(stop)
	group.Wait()
	violations := 0
	for _, a := range s.fleet.reached(func(a arrival) bool { return a.server == leaver.id && a.at.After(acked.Add(drain)) }) {
		violations++
		s.record.say("request %s, sent %.2f s after the store accepted that server %s is draining, reached it %.2f s after that", a.id, sentAt[a.id].Sub(acked).Seconds(), leaver.id, a.at.Sub(acked).Seconds())
	}
	s.record.say("%d of %d requests got no whole answer", sent-served, sent)
	if violations > 0 {
		s.record.say("DRAIN broken: %d requests reached a server that the store had as draining for longer than %v", violations, drain)
		return broken, nil
	}
	s.record.say("DRAIN held")
	return held, nil
}

// nextEntry returns the entry that the server writes at a heartbeat.
func (s *server) nextEntry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	data, err := json.Marshal(s.entry())
	if err != nil {
		panic(err) // unreachable: only maps of plain values are encoded
	}
	return data
}

// restart ends the process of the server at once and starts it again, under its id and at its address.
func (s *server) restart(after time.Duration) (*server, error) {
	s.mu.Lock()
	s.isReplaced = true
	s.mu.Unlock()
	s.end()
	s.fleet.record.add("server %s ends", s.id)
	time.Sleep(after)
	again, err := s.fleet.startAt(s.behaviour, s.id, s.listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("server %s doesn't start again: %w", s.id, err)
	}
	return again, nil
}
