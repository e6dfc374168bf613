package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// failingService uses servers that answer a part of the requests which they ran with a failure of
// their own.
func failingService(l *Lab) (bool, string) {
	ran := map[string]bool{}
	for i, zone := range []string{"oyo-a", "oyo-b", "oyo-c"} {
		l.addServer(&Server{name: fmt.Sprintf("ledger-%d", i+1), service: "ledger", zone: zone, handle: func(s *Server, w http.ResponseWriter, r *http.Request, body []byte) bool {
			request := r.Header.Get("X-Request-Id")
			var status int
			if _, err := fmt.Sscanf(string(body), "%d", &status); err != nil || !l.trouble {
				return false
			}
			l.recordRun(s, r)
			l.mu.Lock()
			ran[request] = true
			l.mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("X-Response-Signature", "sig."+request)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "the fee was posted, and its receipt failed\n")
			return true
		}})
	}
	fees := unsafeRoute("fees", "/fees/")
	fees["service"] = "ledger"
	l.configure(7, []route{fees}, plainService("ledger"))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	var broken []string
	for i, status := range []int{500, 502, 503, 504, 429, 408, 503, 429} {
		id := fmt.Sprintf("fee-%d", i)
		answer := l.send(l.daemons[i%len(l.daemons)], Request{ID: id, Method: http.MethodPost, Path: "/fees/2f", Body: fmt.Sprint(status)})
		if ran[id] && (answer.Status == 429 || answer.Status == 503 || answer.Status == 408 || answer.Status == 421) {
			broken = append(broken, fmt.Sprint(answer.Status))
		}
	}
	return len(broken) > 0, fmt.Sprintf("%d requests that had run were answered with a promise that they had not: %s", len(broken), strings.Join(broken, " "))
}
