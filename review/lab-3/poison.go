package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stabilityWindow = 3 * time.Second // stability_window_ms
	poisonBody      = `{"fee":"poison"}`
	poisonPart      = "5c1e07a2"
	sharedPart      = "91bd3f06"
)

// crashingRuns counts the runs that crash servers.
type crashingRuns struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashingRuns) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// after returns how many runs began later than stabilityWindow after the given run, which counts
// from 1.
func (c *crashingRuns) after(number int) (late, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if len(c.at) >= number && at.Sub(c.at[number-1]) > stabilityWindow {
			late++
		}
	}
	return late, len(c.at)
}

// crashOnBody serves a request that crashes each server that begins to run it.
func crashOnBody(l *Lab, runs *crashingRuns) func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool {
	return func(s *Server, _ http.ResponseWriter, r *http.Request, body []byte) bool {
		if !l.trouble || string(body) != poisonBody {
			return false
		}
		l.recordRun(s, r)
		runs.add()
		time.Sleep(5 * time.Millisecond)
		s.crash("by request " + r.Header.Get(headerID))
		panic(http.ErrAbortHandler)
	}
}

func poisonVerdict(runs *crashingRuns, number int) (bool, string) {
	late, total := runs.after(number)
	return late > 3, fmt.Sprintf("the request crashed servers %d times; %d of these runs began later than %v after crash %d (the rule allows 3)", total, late, stabilityWindow, number)
}

// sendAgain sends the request with poisonBody a number of times, in turn to all daemons, and an
// ordinary one each time.
func (l *Lab) sendAgain(to route, count int, pause time.Duration, before func()) {
	path := strings.TrimSuffix(to[fieldPrefix].(string), "/") + "/2f"
	for i := range count {
		if before != nil {
			before()
		}
		d := l.daemons[i%len(l.daemons)]
		l.send(d, Request{ID: fmt.Sprintf("ordinary-%d", i), Method: http.MethodPost, Path: path, Body: fmt.Sprintf(`{"fee":%d}`, i)})
		l.send(d, Request{ID: fmt.Sprintf("again-%d", i), Method: http.MethodPost, Path: path, Body: poisonBody})
		time.Sleep(pause)
	}
}

// killedSuspects sends a request that crashes its servers again and again, and kills all daemons after
// the second crash.
func killedSuspects(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	for i, zone := range []string{"oyo-a", "oyo-b", "oyo-c"} {
		l.addServer(&Server{name: fmt.Sprintf("ledger-%d", i+1), service: "ledger", zone: zone, handle: crashOnBody(l, runs)})
	}
	fees := unsafeRoute("fees", "/fees/")
	fees["service"] = "ledger"
	l.configure(7, []route{fees}, plainService("ledger"))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	isKilled := false
	l.sendAgain(fees, 15, 4*time.Second, func() {
		if _, total := runs.after(1); total != 2 || isKilled {
			return
		}
		isKilled = true
		l.restartDaemons()
		time.Sleep(2 * stabilityWindow) // all daemons are in touch again
	})
	return poisonVerdict(runs, 3)
}

// restartDaemons kills all daemons at the same moment and starts them again.
func (l *Lab) restartDaemons() {
	for _, d := range l.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range l.daemons {
		_ = d.cmd.Wait()
		_ = d.output.Close()
		d.write(false)
		d.run()
	}
	for _, d := range l.daemons {
		d.awaitReady()
	}
}

// addEngines starts engines, each of which can hold half of the model.
func (l *Lab) addEngines(count int, handle func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool) {
	zones := []string{"oyo-a", "oyo-b", "oyo-c"}
	for i := range count {
		l.addServer(&Server{name: fmt.Sprintf("scribe-%d", i+1), service: "scribe", zone: zones[i%3], engine: true, kind: "a100s", handle: handle})
	}
}

// letter is a request for a stream of the given number of events.
func letter(id, parts string, events int) Request {
	return Request{ID: id, Method: http.MethodPost, Path: "/letters/2f", Body: "{}", Timeout: 20 * time.Second, Header: map[string]string{
		"X-Model": "m0", headerTokens: fmt.Sprintf("860,%d", events), headerParts: parts,
	}}
}

const letterEvents = 40 // of a sound stream, which takes 0.8 s

// startLetters starts the daemons and the route of streams, and waits until the engines hold layers.
func (l *Lab) startLetters() {
	l.configure(7, []route{streamRoute("letters", "/letters/", "scribe")}, engineService("scribe", 40))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	time.Sleep(6 * time.Second)
}

// soundVerdict compares how often sound requests began to run before the first crash, and from twice
// the stability window after the fifth crash, or the last.
func (l *Lab) soundVerdict(runs *crashingRuns, begin, calmEnd time.Time) (bool, string) {
	from := calmEnd.Add(6 * stabilityWindow) // without a crash
	if crashes := len(runs.at); crashes > 0 {
		from = runs.at[min(crashes, 5)-1].Add(2 * stabilityWindow)
	}
	began := map[string]bool{}
	for _, run := range l.runs {
		began[run.Request] = true
	}
	var sentBefore, begunBefore, sentAfter, begunAfter int
	for id, at := range l.sent {
		if !strings.HasPrefix(id, "sound-") {
			continue
		}
		switch {
		case at.After(begin) && at.Before(calmEnd):
			sentBefore++
			begunBefore += count(began[id])
		case at.After(from):
			sentAfter++
			begunAfter += count(began[id])
		}
	}
	broken := sentBefore >= 20 && sentAfter >= 20 && 2*begunAfter*sentBefore < begunBefore*sentAfter
	return broken, fmt.Sprintf("%d crashes; sound requests with the same first part: %d of %d began to run before the first crash, %d of %d later than %v after crash %d (the rule allows no less than half as many)",
		len(runs.at), begunBefore, sentBefore, begunAfter, sentAfter, 2*stabilityWindow, min(len(runs.at), 5))
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
