package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leaving"] = runLeaving }

const (
	leavingDaemons = 12
	leavingCallers = 32 // of each daemon
	leavingServers = 8
	leavingCount   = 2   // servers that leave at the same time
	otherServers   = 300 // of a service that gets no requests
	// commitInterval is the time between two commits of a server. An answer waits for the commit
	// of its request. Servers commit at full multiples of this time.
	commitInterval = 15 * time.Millisecond

	drain         = 2 * time.Second // drain_ms
	stayTime      = drain + 300*time.Millisecond
	settleTime    = 400 * time.Millisecond
	leavingLength = 95 * time.Second
)

// leaver is a server that says in its entry and in all its answers when it leaves.
type leaver struct {
	id      string
	leaving atomic.Bool
	ended   chan struct{}
	stop    func()

	mu   sync.Mutex
	runs []string // ids of the requests that it ran after it began to leave
}

func (f *fleet) startLeaver(id string) *leaver {
	l := &leaver{id: id, ended: make(chan struct{})}
	var address string
	address, l.stop = serveHTTP("127.0.0.1", http.HandlerFunc(l.serve))
	go f.beat(l.ended, id, func() map[string]any {
		state := "ready"
		if l.leaving.Load() {
			state = "draining"
		}
		return map[string]any{"service": "ledger", "address": address, "slots": serverSlots, "state": state}
	})
	return l
}

func (l *leaver) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(names["instance"]) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request, isLeaving := r.Header.Get(names["id"]), l.leaving.Load()
	if isLeaving {
		l.mu.Lock()
		l.runs = append(l.runs, request)
		l.mu.Unlock()
	}
	now := time.Now()
	time.Sleep(now.Truncate(commitInterval).Add(commitInterval).Sub(now))
	isLeaving = l.leaving.Load()
	w.Header().Set(names["id"], request)
	w.Header().Set(names["signature"], l.id)
	if isLeaving {
		w.Header().Set(leavingHeader, "1")
	}
	_, _ = fmt.Fprintf(w, "done %s", request) // fails only if the daemon disconnected
}

const leavingHeader = "Server-Leaving"

// passedOn holds what the callers of a daemon saw.
type passedOn struct {
	mu    sync.Mutex
	sent  map[string]time.Time // by request
	first map[string]time.Time // when an answer of a server said that it leaves, by its signature
}

func (o *passedOn) send(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[id] = now
}

func (o *passedOn) receive(got answer, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.first[got.server]; got.leaving && !ok {
		o.first[got.server] = now
	}
}

// late returns the requests to a server that were sent later than drain_ms after the daemon had
// passed on an answer that says that the server leaves.
func (o *passedOn) late(l *leaver) (ids []string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	first, ok := o.first[l.id]
	if !ok {
		return nil, 0
	}
	for _, id := range l.runs {
		if sent, ours := o.sent[id]; ours && sent.Sub(first) > drain {
			ids, after = append(ids, id), max(after, sent.Sub(first))
		}
	}
	return ids, after
}

// leavingCase is the state of runLeaving.
type leavingCase struct {
	*probe
	fleet            *fleet
	started          int // number of servers so far
	servers          []*leaver
	seen             map[*daemon]*passedOn
	answered, failed atomic.Int64
}

func (c *leavingCase) start() {
	c.started++
	c.servers = append(c.servers, c.fleet.startLeaver(fmt.Sprintf("i-%d", c.started)))
}

// runLeaving lets a quarter of the servers leave at the same time, again and again, and counts
// the requests that a daemon sends to a leaving server later than drain_ms after it has passed
// on an answer that says so. Without the disruption, no server leaves.
func runLeaving(p *probe) (broken bool) {
	c := &leavingCase{probe: p, seen: map[*daemon]*passedOn{}}
	c.deploy()
	time.Sleep(4 * time.Second) // until the daemons know each other
	ended := make(chan struct{})
	var group sync.WaitGroup
	for _, d := range p.daemons {
		o := &passedOn{sent: map[string]time.Time{}, first: map[string]time.Time{}}
		c.seen[d] = o
		for range leavingCallers {
			group.Go(func() { c.keepPosting(d, o, ended) })
		}
	}
	late, rounds := 0, 0
	for begin := time.Now(); time.Since(begin) < leavingLength; rounds++ {
		late += c.round(rounds)
	}
	close(ended)
	group.Wait()
	p.logf("%d rounds with %d daemons; %d requests were answered with success, %d were not; %d requests reached a leaving server too late",
		rounds, leavingDaemons, c.answered.Load(), c.failed.Load(), late)
	return late > 0
}

// deploy starts the store, the servers and the daemons.
func (c *leavingCase) deploy() {
	s := newStore()
	storeAddress, stopStore := s.serve("127.0.0.1")
	c.onStop(stopStore)
	c.fleet = &fleet{store: s}
	for range leavingServers {
		c.start()
	}
	for i := range otherServers {
		c.onStop(c.fleet.start("127.0.0.1", "archive", fmt.Sprintf("a-%d", i)))
	}
	routes := []route{
		{name: "archive", prefix: "/archive/", kind: "idempotent", service: "archive"},
		{name: "fees", prefix: "/fees/", kind: "unsafe", service: "ledger"},
	}
	s.put(names["op"], "config", configuration(1, routes, []string{"archive", "ledger"}, []tenant{{"clerks", []string{"key"}}}))
	var stores []string
	for range leavingDaemons {
		stores = append(stores, storeAddress)
	}
	c.probe.start(loopbacks(leavingDaemons), stores)
}

// round lets servers leave and others take their place, and returns the number of requests that
// reached a leaving server too late.
func (c *leavingCase) round(number int) (late int) {
	time.Sleep(settleTime)
	leaving := c.servers[:leavingCount]
	if c.trouble {
		for _, l := range leaving {
			l.leaving.Store(true)
		}
	}
	time.Sleep(stayTime)
	for _, l := range leaving {
		late += c.countLate(number, l)
	}
	if !c.trouble {
		return late
	}
	c.servers = append([]*leaver(nil), c.servers[leavingCount:]...)
	for _, l := range leaving {
		close(l.ended)
		c.fleet.store.put(names["servers"], l.id, nil)
		time.AfterFunc(stayTime, l.stop)
		c.start()
	}
	return late
}

// countLate returns the number of requests that reached a leaving server too late.
func (c *leavingCase) countLate(round int, l *leaver) (late int) {
	for d, o := range c.seen {
		ids, after := o.late(l)
		if len(ids) == 0 {
			continue
		}
		late += len(ids)
		c.logf("round %d: %s sent %d requests to the leaving server %s later than drain_ms after it had passed on an answer that says so, the last one %.3f s after; the first of them is %s",
			round, d.name, len(ids), l.id, after.Seconds(), ids[0])
	}
	return late
}

// keepPosting sends requests to a daemon, one after the other on one connection.
func (c *leavingCase) keepPosting(d *daemon, o *passedOn, ended <-chan struct{}) {
	var channel *client
	for {
		select {
		case <-ended:
			return
		default:
		}
		if channel == nil {
			var err error
			if channel, err = dial(d.callers); err != nil {
				channel = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := newID()
		o.send(id, time.Now())
		got := channel.call(request{id, http.MethodPost, "/fees/1", "key", "post", time.Second})
		o.receive(got, time.Now())
		if got.status == http.StatusOK {
			c.answered.Add(1)
		} else {
			c.failed.Add(1)
		}
		if got.err != nil || got.close {
			_ = channel.conn.Close() // an error has no effect
			channel = nil
		}
	}
}
