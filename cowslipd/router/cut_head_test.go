package router_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

const (
	cutHeader = "X-Cut" // bytes of the reply that the server sends
	cutBody   = "whole answer"
)

// cutReplies returns replies of all forms, and the length of what a server may not end in.
func cutReplies() (replies []string, ends []int) {
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for framing, body := range map[string]string{
			fmt.Sprintf("Content-Length: %d\r\n", len(cutBody)): cutBody,
			"Transfer-Encoding: chunked\r\n":                    fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(cutBody), cutBody),
			"":                                                  cutBody,
		} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"} {
				head := strings.ReplaceAll(before+"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+framing+"Connection: close\r\n\r\n", "\r\n", lineEnd)
				end := len(head) + len(body) - 1
				if framing == "" {
					end = len(head) - 1
				}
				replies, ends = append(replies, head+body), append(ends, end)
			}
		}
	}
	return replies, ends
}

// cuttingServer is a server of a plain service that cuts its first reply to a request.
type cuttingServer struct {
	server.Server
	replies []string
	isReset bool
	mu      *sync.Mutex
	runs    map[string]int // by path
}

// ServeHTTP implements http.Handler.
func (s *cuttingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	form, length, ok := strings.Cut(r.Header.Get(cutHeader), ",")
	if !ok {
		s.Server.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the caller disconnected
	s.mu.Lock()
	s.runs[r.URL.Path]++
	isFirst := s.runs[r.URL.Path] == 1
	s.mu.Unlock()
	if !isFirst {
		_, _ = io.WriteString(w, cutBody)
		return
	}
	number, _ := strconv.Atoi(form) // set by the test
	end, _ := strconv.Atoi(length)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, s.replies[number][:end])
	if tcp, ok := conn.(*net.TCPConn); ok && s.isReset {
		time.Sleep(5 * time.Millisecond) // a reset discards what the caller has not read
		_ = tcp.SetLinger(0)
	}
}

// Guards against a reply that ends within its head and that callers get as a whole one.
func TestServiceReplyCutWithinHeadIsNotWhole(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", isReset), func(t *testing.T) {
			d := newDeployment(t)
			d.startEngines()
			replies, ends := cutReplies()
			mu, runs := &sync.Mutex{}, map[string]int{}
			for i := range 2 {
				s := &cuttingServer{replies: replies, isReset: isReset, mu: mu, runs: runs}
				d.list.Put(cowslipproxy.VM{Name: fmt.Sprint("ledger-", i), Role: cowslipproxy.VMService, Service: "ledger", Address: d.serve(s), Centre: "oyo-a", State: cowslipproxy.VMLive})
			}
			entry := d.startDaemon("entry-1")
			d.publish()
			d.awaitReady(entry)
			for number, end := range ends {
				runConcurrently(end, 8, func(i int) {
					cut := map[string]string{cutHeader: fmt.Sprint(number, ",", i+1)}
					d.checkCutCalls(entry, cut, fmt.Sprint(number, "-", i+1))
				})
			}
			repeated := 0
			for path, count := range runs {
				if strings.HasPrefix(path, "/fees") {
					require.Equal(t, 1, count, path)
				} else if count > 1 {
					repeated++
				}
			}
			require.Positive(t, repeated)
		})
	}
}

// checkCutCalls sends a call that may run once and one that may be repeated, if the retry
// budget allows it. The outcome is unknown, or the answer is broken off or whole.
func (d *deployment) checkCutCalls(entry *daemon, cut map[string]string, id string) {
	if got, err := d.call(entry, http.MethodPost, "/v1/services/ledger/fees/"+id, officerKey, cut, "fee"); err == nil {
		require.Equal(d.t, "unknown", got.outcome(), id)
		require.Equal(d.t, http.StatusBadGateway, got.StatusCode, id)
	}
	got, err := d.call(entry, http.MethodGet, "/v1/services/ledger/reads/"+id, officerKey, cut, "")
	if err == nil && got.outcome() != "unknown" {
		require.Equal(d.t, http.StatusOK, got.StatusCode, id)
		require.Equal(d.t, cutBody, string(got.body), id)
	}
}
