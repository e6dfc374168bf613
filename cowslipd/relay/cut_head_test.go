package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

const (
	cutEvents  = 5  // events of a complete answer
	cutWorkers = 12 // concurrent callers
	// cutFloor allows a retry of each request in the window of the budget.
	cutFloor = 1_000_000

	headerCut     = "X-Cut"     // bytes of the reply that the server sends
	headerForm    = "X-Form"    // number of the reply's form
	headerResumed = "X-Resumed" // the reply that is cut resumes a broken one
)

// cutForm is a form of replies.
type cutForm struct {
	framing, lineEnd string
	informational    bool // an informational reply precedes it
}

func cutForms() (forms []cutForm) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for _, informational := range []bool{false, true} {
			for _, framing := range []string{"length", "chunks", "none"} {
				forms = append(forms, cutForm{framing, lineEnd, informational})
			}
		}
	}
	return forms
}

// reply returns the head and the body of a reply.
func (f cutForm) reply(id, contentType, body string) (head, framed string) {
	head = replyHead(id, contentType, "")
	switch f.framing {
	case "length":
		head = replyHead(id, contentType, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	case "chunks":
		head = replyHead(id, contentType, "Transfer-Encoding: chunked\r\n")
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	if f.informational {
		head = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n" + head
	}
	return strings.ReplaceAll(head, "\r\n", f.lineEnd), body
}

// cutter is the script of servers that cut one reply to each request.
type cutter struct {
	mu       sync.Mutex
	arrivals map[string]int // by request id
}

// reply returns the cut reply, or an empty string for the regular one.
func (c *cutter) reply(r *http.Request) string {
	length, err := strconv.Atoi(r.Header.Get(headerCut))
	if err != nil {
		return ""
	}
	id := r.Header.Get("X-Request-Id")
	c.mu.Lock()
	c.arrivals[id]++
	arrival := c.arrivals[id]
	c.mu.Unlock()
	isResumed := r.Header.Get(headerResumed) != ""
	switch {
	case isResumed && arrival == 1:
		return brokenStream(id)
	case isResumed && arrival > 2 || !isResumed && arrival > 1:
		return ""
	}
	head, body := wholeReply(r.Header, id, r.URL.Path)
	return (head + body)[:length]
}

// wholeReply returns the reply to a request as it is before it is cut.
func wholeReply(header http.Header, id, path string) (head, body string) {
	number, _ := strconv.Atoi(header.Get(headerForm)) // set by the test
	form := cutForms()[number]
	if !strings.HasPrefix(path, lettersPath) {
		return form.reply(id, "text/plain", worker.ResponseBody(id))
	}
	first := 1
	if header.Get(headerResumed) != "" {
		first = 4 // brokenStream ends within this event
	}
	return form.reply(id, "text/event-stream", streamBody(id, first, cutEvents))
}

// cutCalls returns calls whose replies are cut at each position of their heads, and plain
// ones with a known end also at each position of their bodies.
func cutCalls(path string, forms []cutForm, isResumed bool) (calls []call) {
	const anyID = "0123456789abcdef"
	for number, form := range forms {
		header := http.Header{headerForm: {strconv.Itoa(number)}}
		if isResumed {
			header.Set(headerResumed, "1")
		}
		head, body := wholeReply(header, anyID, path)
		end := len(head)
		if path != lettersPath && form.framing == "none" {
			end--
		} else if path != lettersPath {
			end += len(body) - 1
		}
		for length := 1; length <= end; length++ {
			with := header.Clone()
			with.Set(headerCut, strconv.Itoa(length))
			calls = append(calls, call{path: fmt.Sprintf("%s%d-%d-%v", path, number, length, isResumed), header: with, tokens: cutEvents, wait: 10 * time.Second})
		}
	}
	return calls
}

// sendCut sends calls to all daemons and checks each result.
func (d *deployment) sendCut(calls []call, check func(c call, got result)) {
	var group sync.WaitGroup
	for worker := range cutWorkers {
		group.Go(func() {
			for i := worker; i < len(calls); i += cutWorkers {
				check(calls[i], d.send(d.daemons[i%len(d.daemons)], calls[i]))
			}
		})
	}
	group.Wait()
}

// checkCut checks that callers get the whole reply of another server, or learn that the
// outcome of a request that can't be sent again is unknown.
func (d *deployment) checkCut(forms []cutForm) {
	name := func(c call) string { return fmt.Sprint(c.path, " ", c.header) }
	d.sendCut(cutCalls(feesPath, forms, false), func(c call, got result) {
		require.NoError(d.t, got.err, name(c))
		require.Equal(d.t, http.StatusBadGateway, got.status, name(c))
	})
	for _, count := range d.runCounts() {
		require.Equal(d.t, 1, count)
	}
	d.sendCut(cutCalls(readsPath, forms, false), func(c call, got result) {
		require.NoError(d.t, got.err, name(c))
		require.Equal(d.t, http.StatusOK, got.status, name(c)+got.body)
		require.Equal(d.t, worker.ResponseBody(got.id), got.body, name(c))
	})
	d.t.Logf("%d plain and %d streamed replies of each kind", len(cutCalls(feesPath, forms, false)), len(cutCalls(lettersPath, forms, false)))
	for _, isResumed := range []bool{false, true} {
		d.sendCut(cutCalls(lettersPath, forms, isResumed), func(c call, got result) {
			require.NoError(d.t, got.err, name(c))
			require.Equal(d.t, http.StatusOK, got.status, name(c)+got.body)
			require.Equal(d.t, streamBody(got.id, 1, cutEvents), got.body, name(c))
		})
	}
}

// runCounts returns the number of runs by request id.
func (d *deployment) runCounts() map[string]int {
	counts := map[string]int{}
	for _, run := range d.fleet.Runs() {
		counts[run.RequestID]++
	}
	return counts
}

// Guards against a reply that ends within its head and that callers get as a whole one.
func TestReplyCutWithinHeadIsNotWhole(t *testing.T) {
	for _, daemons := range []int{1, 4} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d daemons, reset %v", daemons, isReset), func(t *testing.T) {
				d := deployWithFloor(t, daemons, cutFloor)
				script := &cutter{arrivals: map[string]int{}}
				for _, server := range append(d.fleet.Servers("ledger"), d.enginesAt(0)...) {
					server.SetRequestScript(script.reply)
					if isReset {
						server.ResetAfterScript()
					}
				}
				forms := cutForms()
				if isReset {
					forms = forms[:3]
				}
				d.checkCut(forms)
			})
		}
	}
}
