package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// deploy starts servers, writes a configuration, starts daemons and waits until all are in touch.
func (s *stage) deploy(servers []behaviour, publish func() error, daemons int) error {
	for _, b := range servers {
		if err := s.fleet.start(b); err != nil {
			return err
		}
	}
	if err := publish(); err != nil {
		return err
	}
	if err := s.startDaemons(daemons); err != nil {
		return err
	}
	if err := s.fleet.awaitLayers(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * stabilityWindow)
	return nil
}

// repeat returns a behaviour a number of times.
func repeat(count int, b behaviour) (all []behaviour) {
	for range count {
		all = append(all, b)
	}
	return all
}

// sendAny sends a request to any daemon, on a new channel.
func (s *stage) sendAny(c call) result {
	q := newRequester(s.record, s.daemons[rand.IntN(len(s.daemons))].callers)
	defer q.close()
	return q.send(c)
}

// traffic sends requests to all daemons in turn, on kept channels.
type traffic struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	results []result
}

func (s *stage) startTraffic(every time.Duration, next func() call) *traffic {
	t := &traffic{stop: make(chan struct{})}
	var all []*requester
	for _, d := range s.daemons {
		all = append(all, newRequester(s.record, d.callers))
	}
	t.group.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-t.stop:
				return
			case <-time.After(every):
			}
			t.group.Go(func() { t.add(all[number%len(all)].send(next())) })
		}
	})
	return t
}

func (t *traffic) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// finish ends the traffic and returns all results.
func (t *traffic) finish() []result {
	close(t.stop)
	t.group.Wait()
	return t.results
}
