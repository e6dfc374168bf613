package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Shared parts that some prompts have after the first part, as descriptions of tools.
const (
	toolPartA = "410e77c3"
	toolPartB = "6b92f00d"
)

const (
	desksTime   = 10 * time.Second       // of sound streams before the pause
	desksPause  = 7 * time.Second        // until the first stream with the part that crashes servers
	trimPause   = 5 * time.Second        // between two streams with that part
	returnTime  = 23 * time.Second       // from the first of them until sound streams come again
	returnLimit = 25 * time.Second       // of sound streams after the pause
	deskPause   = 300 * time.Millisecond // between two sound streams
)

// tools are the shared parts after the first one in the streams with the part that crashes servers, in
// their order; later ones have none. A requester trims its prompt.
var tools = []string{toolPartA + ":30," + toolPartB + ":30,", toolPartA + ":30," + toolPartB + ":30,", toolPartA + ":30," + toolPartB + ":30,", toolPartA + ":30,", ""}

// crashOnPart serves a stream with poisonPart, which crashes each server inside its first event.
func crashOnPart(l *Lab, runs *crashingRuns) func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool {
	return func(s *Server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		if !l.trouble || !hasPart(r, poisonPart) {
			return false
		}
		if status, _ := s.checkPath(parsePath(r.Header.Get(headerPath))); status != 0 {
			return false
		}
		l.recordRun(s, r)
		runs.add()
		request, number := r.Header.Get(headerID), 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &number)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerSignature, "sig."+request)
		event := streamEvent(request, number+1)
		_, _ = io.WriteString(w, event[:len(event)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		s.crash("by request " + request)
		panic(http.ErrAbortHandler)
	}
}

// varyingParts sends sound streams, which pause while streams with the part that crashes servers come,
// with fewer and fewer shared parts.
func varyingParts(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	l.addEngines(16, crashOnPart(l, runs))
	l.startLetters()
	var group sync.WaitGroup
	begin := time.Now()
	sound := 0
	sendSound := func(length time.Duration) {
		for stop := time.Now().Add(length); time.Now().Before(stop); sound++ {
			d, request := l.daemons[sound%len(l.daemons)], letter(fmt.Sprintf("sound-%d", sound), fmt.Sprintf("%s:40,%s%x:820", sharedPart, tools[2+sound%3], 0x1000+sound), letterEvents)
			group.Go(func() { l.send(d, request) })
			time.Sleep(deskPause)
		}
	}
	sendSound(desksTime)
	time.Sleep(desksPause)
	calmEnd := time.Now()
	group.Go(func() {
		for i := 0; time.Since(calmEnd) < returnTime+returnLimit; i++ {
			d := l.daemons[i%len(l.daemons)]
			l.send(d, letter(fmt.Sprintf("crashing-%d", i), fmt.Sprintf("%s:40,%s%s:20,%x:740", sharedPart, tools[min(i, len(tools)-1)], poisonPart, 0x900000+i), letterEvents))
			time.Sleep(trimPause)
		}
	})
	time.Sleep(returnTime)
	sendSound(returnLimit)
	group.Wait()
	return l.soundVerdict(runs, begin, calmEnd)
}
