package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playLate ends a server and all daemons together. The server starts again under its id, and the store
// executes a write of its former run late. Some time later the server leaves, as planned.
func playLate(s *stage) (verdict, error) {
	const (
		work   = 2500 * time.Millisecond // of a server on a request
		serves = 5 * time.Second         // for which the leaving server goes on after its report
	)
	orders := behaviour{service: "orders", work: work}
	leaver, err := s.fleet.startServer(orders)
	if err != nil {
		return couldNot, err
	}
	if err := s.deploy(repeat(1, orders), s.publishOrders, 14); err != nil {
		return couldNot, err
	}
	if s.trouble {
		if leaver, err = s.endTogether(leaver); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(12 * time.Second) // the store and all machines are in touch again
	stop := make(chan struct{})
	done := make(chan []result, 1)
	go func() { done <- s.order(stop) }()
	time.Sleep(6 * time.Second)
	acked := leaver.drain()
	time.Sleep(serves)
	leaver.end()
	s.record.add("server %s ends", leaver.id)
	close(stop)
	return s.judgeLate(<-done, leaver.id, acked), nil
}

func (s *stage) publishOrders() error {
	return s.publish([]map[string]any{{
		"name": "confirm", "host": host, wire("prefix"): "/confirm/", "kind": "unsafe", "timeout_ms": 8000, wire("target"): 3000,
		"priority": 2, "service": "orders", "attempts": 2, "public": false,
	}}, []map[string]any{plainService("orders")})
}

// endTogether loses the answer to a write of a server, ends it and all daemons, and starts them again. The
// store executes the write some seconds later.
func (s *stage) endTogether(leaver *server) (*server, error) {
	const late = 5500 * time.Millisecond
	lost := leaver.nextEntry()
	s.record.add("server %s writes its entry, and gets no answer from the store", leaver.id)
	time.AfterFunc(late, func() {
		s.store.put(wire("servers"), leaver.id, lost)
		s.record.add("the store executes that write")
	})
	again, err := leaver.restart(backAfter)
	if err != nil {
		return nil, err
	}
	if err := s.restartDaemons(300 * time.Millisecond); err != nil {
		return nil, err
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return again, nil
}

// order sends requests to each daemon, one after the other, until it is stopped.
func (s *stage) order(stop chan struct{}) []result {
	const interval = 1500 * time.Millisecond // between the end of a request and the next one
	all := &traffic{}
	for _, d := range s.daemons {
		all.group.Go(func() {
			q := newRequester(s.record, d.callers)
			defer q.close()
			time.Sleep(rand.N(interval))
			for {
				all.add(q.send(call{method: http.MethodPost, path: "/confirm/1", body: "an order", deadline: 8 * time.Second}))
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	all.group.Wait()
	return all.results
}

func (s *stage) judgeLate(results []result, leaver string, acked time.Time) verdict {
	const drain = 2 * time.Second // drain_ms
	late := s.fleet.reached(func(a arrival) bool { return a.server == leaver && a.at.After(acked.Add(drain)) })
	for _, a := range late {
		s.record.add("request %s reached server %s %.2f s after the store accepted that it is draining", a.id, leaver, a.at.Sub(acked).Seconds())
	}
	s.record.say("%d requests reached a server that the store had as draining for longer than %v; %d of %d got no whole answer", len(late), drain, len(results)-countServed(results), len(results))
	return s.ruling("DRAIN", len(late) > 0)
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
