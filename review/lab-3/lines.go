package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	lineEvents   = 75 // of a stream, which takes 1.5 s
	linesTime    = 40 * time.Second
	linesPause   = 100 * time.Millisecond // between two streams
	crashPause   = 4 * time.Second        // between two crashes
	lineSize     = 4096                   // of the data of an event, with the name of the field
	cutLimit     = 10 * eventPause        // until a server that crashes has cut off its streams
	lateCrash    = 2 * time.Second        // after the first stream
	linesPattern = "abcdefghijklmnopqrstuvwxyz0123456789+/"
)

// lineEvent returns the lines of an event.
func lineEvent(request string, number int) []string {
	data := fmt.Sprintf("data: %s piece %d ", request, number)
	for len(data) < lineSize {
		data += linesPattern[:min(len(linesPattern), lineSize-len(data))]
	}
	return []string{fmt.Sprintf("id: %d\n", number), data + "\n", "\n"}
}

// cutter tells which servers crash, and counts their streams.
type cutter struct {
	mu      sync.Mutex
	running map[*Server]int
	cutting map[*Server]bool
	cuts    map[int]int // by the number of whole lines of the last event
}

func (c *cutter) add(s *Server, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[s] += change
}

func (c *cutter) isCutting(s *Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutting[s]
}

// crashBusiest crashes the server with the most streams, which cuts them off.
func (c *cutter) crashBusiest() {
	c.mu.Lock()
	var busiest *Server
	for s, count := range c.running {
		if s.isUp() && (busiest == nil || count > c.running[busiest]) {
			busiest = s
		}
	}
	if busiest == nil {
		c.mu.Unlock()
		return
	}
	c.cutting[busiest] = true
	c.mu.Unlock()
	time.Sleep(cutLimit)
	busiest.crash("with its streams")
	c.mu.Lock()
	delete(c.cutting, busiest)
	c.mu.Unlock()
}

func (c *cutter) serve(s *Server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
	request, path := r.Header.Get(headerID), r.Header.Get(headerPath)
	if status, _ := s.checkPath(parsePath(path)); status != 0 {
		return false
	}
	if c.isCutting(s) {
		panic(http.ErrAbortHandler)
	}
	s.lab.recordRun(s, r)
	defer s.track(request, path)()
	c.add(s, 1)
	defer c.add(s, -1)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerSignature, "sig."+request)
	for number := after + 1; number <= lineEvents; number++ {
		if !s.awaitToken(r, request) {
			panic(http.ErrAbortHandler)
		}
		lines, isCut := lineEvent(request, number), c.isCutting(s)
		if isCut {
			whole := rand.IntN(len(lines))
			lines = lines[:whole]
			c.mu.Lock()
			c.cuts[whole]++
			c.mu.Unlock()
			s.lab.record("cut request=%s event=%d lines=%d", request, number, whole)
		}
		if _, err := io.WriteString(w, strings.Join(lines, "")); err != nil {
			return true
		}
		_ = http.NewResponseController(w).Flush()
		if isCut {
			panic(http.ErrAbortHandler)
		}
	}
	return true
}

// checkEvents returns the first event of an answer that is not the one expected there, and whether all
// events are there.
func checkEvents(request, body string) (fault string, whole bool) {
	events := strings.Split(body, "\n\n")
	for i, text := range events[:len(events)-1] {
		if text+"\n\n" != strings.Join(lineEvent(request, i+1), "") {
			var heads []string
			for _, line := range strings.Split(text, "\n") {
				heads = append(heads, line[:min(len(line), 40)])
			}
			return fmt.Sprintf("event %d has the lines %q", i+1, heads), false
		}
	}
	return "", len(events) == lineEvents+1 && events[lineEvents] == ""
}

// longLines uses resumable streams with long lines. One engine after another crashes, and cuts off
// its streams in the middle of an event.
func longLines(l *Lab) (bool, string) {
	c := &cutter{running: map[*Server]int{}, cutting: map[*Server]bool{}, cuts: map[int]int{}}
	l.addEngines(12, c.serve)
	l.startLetters()
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, broken, wrong := 0, 0, 0
	begin := time.Now()
	if l.trouble {
		group.Go(func() {
			time.Sleep(lateCrash)
			for time.Since(begin) < linesTime {
				c.crashBusiest()
				time.Sleep(crashPause)
			}
		})
	}
	for i := 0; time.Since(begin) < linesTime; i++ {
		group.Go(func() {
			request := letter(fmt.Sprintf("stream-%d", i), fmt.Sprintf("%s:40,%x:820", sharedPart, 0x1000+i), lineEvents)
			answer := l.send(l.daemons[i%len(l.daemons)], request)
			fault, isWhole := checkEvents(request.ID, answer.Body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case answer.Status == http.StatusOK && fault != "":
				wrong++
				l.record("wrong: answer to %s: %s; the channel ended with %v", request.ID, fault, answer.Err)
			case answer.Status == http.StatusOK && answer.Err == nil && isWhole:
				whole++
			default:
				broken++
			}
		})
		time.Sleep(linesPause)
	}
	group.Wait()
	return wrong > 0, fmt.Sprintf("%d streams whole, %d refused or broken off, %d with an event that joins two of the servers' events (the rule allows none); servers cut off %d streams, %d of them before the empty line of an event",
		whole, broken, wrong, c.cuts[0]+c.cuts[1]+c.cuts[2], c.cuts[2])
}
