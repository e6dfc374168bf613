package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	poisonPath   = "/reads/poison"
	answerSize   = 800
	sentAtCrash  = 400 // bytes of an answer that a server has sent when the request crashes it
	readsPerLoop = 4
)

func wholeAnswer(path string) string {
	return path + strings.Repeat(".", answerSize-len(path)-1) + "\n"
}

// cutAnswers uses servers whose answers have neither a length nor chunks and end with their channel.
// One idempotent request crashes each server that begins to run it, in the middle of its answer.
func cutAnswers(l *Lab) (bool, string) {
	runs := &crashingRuns{}
	handle := func(s *Server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		l.recordRun(s, r)
		request, whole := r.Header.Get(headerID), wholeAnswer(r.URL.Path)
		w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		w.Header().Set(headerSignature, "sig."+request)
		time.Sleep(15 * time.Millisecond)
		if !l.trouble || r.URL.Path != poisonPath {
			_, _ = w.Write([]byte(whole))
			return true
		}
		runs.add()
		_, _ = w.Write([]byte(whole[:sentAtCrash]))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		s.crash("by request " + request)
		panic(http.ErrAbortHandler)
	}
	for i, zone := range []string{"oyo-a", "oyo-b", "oyo-c", "oyo-a", "oyo-b", "oyo-c"} {
		l.addServer(&Server{name: fmt.Sprintf("ledger-%d", i+1), service: "ledger", zone: zone, handle: handle})
	}
	reads := idempotentRoute("reads", "/reads/")
	reads["service"] = "ledger"
	l.configure(7, []route{reads}, plainService("ledger"))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	cut, whole := 0, 0
	for i := range 15 {
		d := l.daemons[i%len(l.daemons)]
		paths := []string{poisonPath}
		for n := range readsPerLoop {
			paths = append(paths, fmt.Sprintf("/reads/%d-%d", i, n))
		}
		for n, path := range paths {
			answer := l.send(d, Request{ID: fmt.Sprintf("read-%d-%d", i, n), Method: http.MethodGet, Path: path})
			switch {
			case answer.Status != http.StatusOK || answer.Err != nil:
			case answer.Body == wholeAnswer(path):
				whole++
			default:
				cut++
				l.record("cut: request read-%d-%d got a success with %d of %d bytes", i, n, len(answer.Body), answerSize)
			}
		}
		time.Sleep(4 * time.Second)
	}
	late, total := runs.after(3)
	return late > 3, fmt.Sprintf("the request crashed servers %d times; %d of these runs began later than %v after crash 3 (the rule allows 3); %d answers were whole, %d successes had a part of the server's body", total, late, stabilityWindow, whole, cut)
}
