package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// streamRate is the number of streams a second from all requesters, half of that of the sheet.
const streamRate = 30

// channel is a kept channel of a requester.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a request on the channel and reads its answer.
func (c *channel) exchange(request Request) (answer Answer) {
	_ = c.conn.SetDeadline(time.Now().Add(request.Timeout + time.Second))
	if _, err := io.WriteString(c.conn, request.text()); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

const (
	loadTime    = 30 * time.Second
	configApply = 2 * time.Second // config_apply_ms
)

// streams counts the ends of streams.
type streams struct {
	mu       sync.Mutex
	whole    int
	lost     int // channels that ended without a complete answer
	hangups  int // those of them whose request was sent up to configApply after a SIGHUP of its daemon
	failures int
}

func (s *streams) add(answer Answer, sinceHangup time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case answer.Status == http.StatusOK && answer.Err == nil:
		s.whole++
	case answer.Status == http.StatusOK:
		s.lost++
		if sinceHangup >= 0 && sinceHangup <= configApply {
			s.hangups++
		}
	default:
		s.failures++
	}
}

// unframedLoad uses sound engines whose streams have neither a length nor chunks and end with their
// channel. Requesters send a stream on a channel that they kept from an earlier request. The daemons
// get SIGHUP once, also without the disruption.
func unframedLoad(l *Lab) (bool, string) {
	l.addEngines(12, func(_ *Server, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		if l.trouble {
			w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		}
		return false
	})
	l.addServer(&Server{name: "ledger-1", service: "ledger", zone: "oyo-a"})
	reads := idempotentRoute("reads", "/reads/")
	reads["service"] = "ledger"
	l.configure(7, []route{streamRoute("letters", "/letters/", "scribe"), reads}, engineService("scribe", 40), plainService("ledger"))
	l.addDaemons(3, "oyo-a", "oyo-b", "oyo-c")
	time.Sleep(6 * time.Second) // the engines load their layers
	var group sync.WaitGroup
	var ends streams
	var hangup time.Time
	begin := time.Now()
	for i := 0; time.Since(begin) < loadTime; i++ {
		if hangup.IsZero() && time.Since(begin) > loadTime/2 {
			hangup = time.Now()
			for _, d := range l.daemons {
				d.signal(syscall.SIGHUP)
			}
		}
		sinceHangup := -time.Second
		if !hangup.IsZero() {
			sinceHangup = time.Since(hangup)
		}
		group.Go(func() { ends.add(l.readThenStream(i), sinceHangup) })
		time.Sleep(time.Second / streamRate)
	}
	group.Wait()
	return ends.lost > 3, fmt.Sprintf("%d streams complete; %d kept channels closed without a complete answer (the rule allows 3), %d of them for requests sent up to %v after a SIGHUP; %d requests refused or failed",
		ends.whole, ends.lost, ends.hangups, configApply, ends.failures)
}

func (l *Lab) readThenStream(number int) Answer {
	d := l.daemons[number%len(l.daemons)]
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	c := &channel{conn, bufio.NewReader(conn)}
	first := Request{ID: fmt.Sprintf("read-%d", number), Method: http.MethodGet, Path: "/reads/2f", Timeout: time.Second}
	if answer := c.exchange(first); answer.Status != http.StatusOK || answer.Err != nil {
		return Answer{Err: fmt.Errorf("read: status %d, %v", answer.Status, answer.Err)}
	}
	request := letter(fmt.Sprintf("stream-%d", number), fmt.Sprintf("%s:40,%x:820", sharedPart, 0x1000+number), letterEvents)
	answer := c.exchange(request)
	pieces := countPieces(answer.Body)
	l.record("answer request=%s daemon=%s status=%d pieces=%d error=%v", request.ID, d.name, answer.Status, pieces, answer.Err)
	return answer
}

func countPieces(body string) (count int) {
	for i := range len(body) - 1 {
		if body[i] == '\n' && body[i+1] == '\n' {
			count++
		}
	}
	return count
}
