package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["terms"] = runTerms }

const (
	termCallers = 12
	// termGap is the time between the two signals. It is within the time in which the process
	// still accepts requests.
	termGap = time.Second
)

// runTerms stops a daemon under load with SIGTERM, and sends the signal once more while it
// completes its requests. It counts the requests that were passed on to a server and got no
// complete answer.
func runTerms(p *probe) (broken bool) {
	s := newStore()
	storeAddress, stopStore := s.serve("127.0.0.1")
	p.onStop(stopStore)
	f := &fleet{store: s}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		p.onStop(f.startEngine("127.0.0.1", engineService, id))
	}
	routes := []route{{name: "letters", prefix: "/letters/", kind: "streaming", service: engineService}}
	s.put(names["op"], "config", configuration(1, routes, []string{engineService}, []tenant{{"clerks", []string{"key"}}}))
	p.start(loopbacks(2), []string{storeAddress, storeAddress})
	stopped, other := p.daemons[0], p.daemons[1]
	time.Sleep(10 * time.Second) // traffic starts, when the daemons know each other
	var group sync.WaitGroup
	var mu sync.Mutex
	cut, done := 0, 0
	end := time.Now().Add(16 * time.Second)
	for range termCallers {
		group.Go(func() {
			c := &caller{p: p, fleet: f, directories: []string{other.directory, stopped.directory}}
			for time.Now().Before(end) {
				isCut, isDone := c.post()
				mu.Lock()
				if isCut {
					cut++
				}
				if isDone {
					done++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	p.logf("SIGTERM to %s", stopped.name)
	check(stopped.command.Process.Signal(syscall.SIGTERM))
	begin := time.Now()
	time.Sleep(termGap)
	if p.trouble {
		p.logf("SIGTERM to %s once more", stopped.name)
		check(stopped.command.Process.Signal(syscall.SIGTERM))
	}
	select {
	case <-stopped.done:
		p.logf("%s ended %.3f s after the first SIGTERM", stopped.name, time.Since(begin).Seconds())
	case <-time.After(graceSeconds*time.Second - time.Since(begin)):
		p.logf("SIGKILL to %s at the end of grace_s", stopped.name)
		stopped.kill()
	}
	group.Wait()
	p.logf("%d requests were answered by their server; %d requests ran and their channel ended without a complete answer", done, cut)
	return cut > 0
}

// caller sends requests one after the other. It keeps its connection until it is told to close
// it, and an address answer for its lifetime.
type caller struct {
	p           *probe
	fleet       *fleet
	directories []string

	addresses []string
	until     time.Time // end of the lifetime
	address   string
	client    *client
}

// post sends one request. It reports whether the request ran and its channel ended without a
// complete answer, and whether it was answered with success.
func (c *caller) post() (isCut, isDone bool) {
	if c.client == nil && !c.connect() {
		time.Sleep(50 * time.Millisecond)
		return false, false
	}
	id, sent := newID(), time.Now()
	got := c.client.call(request{id, "POST", "/letters/1", "key", "post", 20 * time.Second})
	runs := c.fleet.runsOf(id)
	if got.err != nil || got.status != http.StatusOK {
		c.p.logf("request %s to %s, sent at %.3f: %v; runs %d", id, c.address, sent.Sub(c.p.begin).Seconds(), got, len(runs))
	}
	if got.err != nil || got.close {
		_ = c.client.conn.Close() // an error has no effect
		c.client = nil
	}
	return got.err != nil && len(runs) > 0, got.status == http.StatusOK
}

// connect opens a connection to one of the addresses that the directory names.
func (c *caller) connect() bool {
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return false
	}
	c.address = c.addresses[rand.IntN(len(c.addresses))]
	var err error
	if c.client, err = dial(c.address); err != nil {
		c.client, c.addresses, c.until = nil, without(c.addresses, c.address), time.Now()
		return false
	}
	return true
}

func without(addresses []string, address string) (rest []string) {
	for _, a := range addresses {
		if a != address {
			rest = append(rest, a)
		}
	}
	return rest
}

func (c *caller) resolve() {
	for _, directory := range c.directories {
		asker := http.Client{Timeout: time.Second}
		response, err := asker.Get("http://" + directory + names["resolve"] + "?name=" + host + "&region=oyo&zone=" + zone)
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
			Lifetime  float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&found)
		response.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			c.addresses, c.until = found.Addresses, time.Now().Add(time.Duration(found.Lifetime*float64(time.Second)))
			return
		}
	}
}
