package main

import (
	"fmt"
	"io"
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
		s.crash("by request " + r.Header.Get("X-Request-Id"))
		panic(http.ErrAbortHandler)
	}
}

func poisonVerdict(runs *crashingRuns, number int) (bool, string) {
	late, total := runs.after(number)
	return late > 3, fmt.Sprintf("the request crashed servers %d times; %d of these runs began later than %v after crash %d (the rule allows 3)", total, late, stabilityWindow, number)
}

// splitRoute sends a request that crashes its servers again and again on a route that is split
// between two services.
func splitRoute(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	for i, zone := range []string{"oyo-a", "oyo-b", "oyo-c"} {
		for _, service := range []string{"ledger-v1", "ledger-v2"} {
			l.addServer(&Server{name: fmt.Sprintf("%s-%d", service, i+1), service: service, zone: zone, handle: crashOnBody(l, runs)})
		}
	}
	fees := unsafeRoute("fees", "/fees/")
	fees["split"] = []any{map[string]any{"service": "ledger-v1", "weight": 50}, map[string]any{"service": "ledger-v2", "weight": 50}}
	l.configure(7, []route{fees}, plainService("ledger-v1"), plainService("ledger-v2"))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	l.sendAgain(fees, 20, 3*time.Second, nil)
	return poisonVerdict(runs, 3)
}

// sendAgain sends the request with poisonBody a number of times, in turn to all daemons, and an
// ordinary one each time.
func (l *Lab) sendAgain(to route, count int, pause time.Duration, before func()) {
	path := strings.TrimSuffix(to["path_prefix"].(string), "/") + "/2f"
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

// killedSuspects is like splitRoute on a route with one service, and kills all daemons after the
// second crash.
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
		"X-Model": "m0", "X-Token-Usage": fmt.Sprintf("860,%d", events), "X-Prompt-Prefix": parts,
	}}
}

const (
	letterEvents = 40                     // of a sound stream, which takes 0.8 s
	letterPause  = 300 * time.Millisecond // between two sound streams
)

// sendLetters sends sound streams at a steady rate, and after calmTime also some with the part that
// crashes servers.
func (l *Lab) sendLetters(calmTime, length, pause time.Duration) {
	var group sync.WaitGroup
	stop := time.Now().Add(length)
	group.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			d := l.daemons[i%len(l.daemons)]
			group.Go(func() {
				l.send(d, letter(fmt.Sprintf("sound-%d", i), fmt.Sprintf("%s:40,%x:820", sharedPart, 0x1000+i), letterEvents))
			})
			time.Sleep(letterPause)
		}
	})
	group.Go(func() {
		time.Sleep(calmTime)
		for i := 0; time.Now().Before(stop); i++ {
			d := l.daemons[i%len(l.daemons)]
			group.Go(func() {
				l.send(d, letter(fmt.Sprintf("crashing-%d", i), fmt.Sprintf("%s:40,%s:20,%x:800", sharedPart, poisonPart, 0x900000+i), letterEvents))
			})
			time.Sleep(pause)
		}
	})
	group.Wait()
}

// startLetters starts the daemons and the route of streams, and waits until the engines hold layers.
func (l *Lab) startLetters() {
	l.configure(7, []route{streamRoute("letters", "/letters/", "scribe")}, engineService("scribe", 40))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	time.Sleep(6 * time.Second)
}

// sharedPartRefused uses servers whose answers end with their channel. One part of a prompt crashes
// each server that begins to write an answer on it; sound requests share the first part with it.
func sharedPartRefused(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	l.addEngines(16, func(s *Server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		if !l.trouble || !hasPart(r, poisonPart) {
			return false
		}
		if status, _ := s.checkPath(parsePath(r.Header.Get("X-Hop-Count"))); status != 0 {
			return false
		}
		l.recordRun(s, r)
		runs.add()
		number := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &number)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Response-Signature", "sig."+r.Header.Get("X-Request-Id"))
		event := streamEvent(r.Header.Get("X-Request-Id"), number+1)
		_, _ = io.WriteString(w, event[:len(event)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		s.crash("by request " + r.Header.Get("X-Request-Id"))
		panic(http.ErrAbortHandler)
	})
	l.startLetters()
	calm := 12 * time.Second
	begin := time.Now()
	l.sendLetters(calm, 70*time.Second, 3*time.Second)
	return l.soundVerdict(runs, begin, begin.Add(calm))
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

// innerServer uses a part of a prompt that crashes each server which makes a token on it: the last
// one of the path.
func innerServer(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	l.addEngines(16, func(s *Server, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		path := r.Header.Get("X-Hop-Count")
		if status, _ := s.checkPath(parsePath(path)); !l.trouble || !hasPart(r, poisonPart) || status != 0 {
			return false
		}
		runs.add()
		request := r.Header.Get("X-Request-Id")
		go func() {
			for r.Context().Err() == nil {
				time.Sleep(eventPause)
				s.mu.Lock()
				hops := parsePath(s.paths[request])
				s.mu.Unlock()
				if len(hops) > 1 {
					l.serverAt(hops[len(hops)-1].address).crash("by request " + request)
				}
			}
		}()
		return false // the first server reads the prompt and waits for the token
	})
	l.startLetters()
	l.sendLetters(0, 60*time.Second, 4*time.Second)
	return poisonVerdict(runs, 5)
}
