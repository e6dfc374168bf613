package relay_test

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
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

const (
	longStream  = 400 // events of a stream that takes longer than any test of an ending daemon
	streamsPath = "/streams/"
)

// requireVisibleBreak requires that the caller of an answer which began has got all of it or can
// tell that it has not.
func requireVisibleBreak(t *testing.T, got result, whole string) {
	t.Helper()
	if got.status != http.StatusOK || got.body == whole {
		return
	}
	require.True(t, strings.HasPrefix(whole, got.body), got.body)
	require.Error(t, got.err, "%d of %d bytes end as if they were the whole answer", len(got.body), len(whole))
}

// makeUnframed makes all engines stream without a length or chunks.
func (d *deployment) makeUnframed() {
	for _, engine := range d.fleet.Servers("scribe") {
		engine.SetUnframed()
	}
}

// streamUntil sends a long stream to each daemon, calls end while they are in flight, and
// returns what the callers got.
func (d *deployment) streamUntil(end func()) []result {
	results := make([]result, len(d.daemons))
	var group sync.WaitGroup
	for i, node := range d.daemons {
		group.Go(func() {
			results[i] = d.send(node, call{path: lettersPath + "1", tokens: longStream, wait: 10 * time.Second})
		})
	}
	time.Sleep(500 * time.Millisecond)
	end()
	group.Wait()
	return results
}

// requireAllBegan requires that all answers have begun, so that the test shows how they end.
func requireAllBegan(t *testing.T, results []result) {
	for _, got := range results {
		require.Equal(t, http.StatusOK, got.status)
		require.NotEmpty(t, got.body)
		require.NotEqual(t, streamBody(got.id, 1, longStream), got.body)
	}
}

// Guards against answers without length or chunks that the end of the grace time cuts and that look complete.
func TestUnframedStreamCutByStopDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 4, 15} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deployWithGrace(t, daemons, 2*time.Second)
			d.makeUnframed()
			results := d.streamUntil(func() {
				for _, node := range d.daemons {
					node.stop()
				}
			})
			requireAllBegan(t, results)
			for _, got := range results {
				requireVisibleBreak(t, got, streamBody(got.id, 1, longStream))
			}
		})
	}
}

// deployWithGrace deploys daemons whose grace time is shorter than usual.
func deployWithGrace(t *testing.T, daemons int, grace time.Duration) *deployment {
	d := deploy(t, 0)
	for range daemons {
		settings := d.settings()
		settings.Grace = cowslipproxy.Duration(grace)
		d.seeds = append(d.seeds, settings.Peers)
		settings.Seeds = d.seeds
		d.startDaemon(settings)
	}
	for _, node := range d.daemons {
		d.awaitReady(node)
	}
	return d
}

// Guards against answers without length or chunks that end with their daemon's process and look complete.
func TestUnframedStreamOfKilledDaemonDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 4, 15} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 0)
			var kills []func()
			for range daemons {
				_, kill := d.startProcess()
				kills = append(kills, kill)
			}
			for _, node := range d.daemons {
				d.awaitReady(node)
			}
			d.makeUnframed()
			results := d.streamUntil(func() {
				for _, kill := range kills {
					kill()
				}
			})
			requireAllBegan(t, results)
			for _, got := range results {
				requireVisibleBreak(t, got, streamBody(got.id, 1, longStream))
			}
		})
	}
}

// Guards against an answer without a length that ends with its daemon's process while its caller still reads it.
func TestUnframedAnswerOfKilledDaemonDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const size = 7 << 20 // more than the buffers of both sockets hold
	d := deploy(t, 0)
	node, kill := d.startProcess()
	d.awaitReady(node)
	d.keepOne("ledger").SetScript(func(id, _ string) string { return replyHead(id, "text/plain", "") + strings.Repeat("x", size) })
	conn := d.dialRaw(node, fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 00000000000000aa\r\nAuthorization: Bearer %s\r\n"+
		"X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", feesPath, host, apiKey))
	_, err := io.ReadFull(conn, make([]byte, 1024))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	kill()
	rest, err := io.Copy(io.Discard, conn)
	require.Less(t, rest, int64(size))
	require.Error(t, err, "%d of %d bytes end as if they were the whole answer", rest, size)
}

// Guards against a stream that may not be sent again to verify its end and that ends as if it were complete.
func TestUnverifiedEndWithoutRetryBudgetDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 4} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deployWithFloor(t, daemons, 0)
			for _, engine := range d.enginesAt(0) {
				engine.SetScript(func(id, lastEventID string) string {
					if lastEventID != "" {
						return ""
					}
					return unframedStream(id, 1, 3)
				})
			}
			for range 12 {
				for _, node := range d.daemons {
					got := d.send(node, call{path: lettersPath + "1", tokens: scriptedEvents})
					requireVisibleBreak(t, got, streamBody(got.id, 1, scriptedEvents))
				}
			}
		})
	}
}

// Guards against a stream of a server that is not an engine, that ends within an event and looks complete.
func TestBrokenStreamOfPlainServiceDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	configuration := d.configuration()
	routes := configuration["routes"].([]any)
	configuration["routes"] = append(routes, map[string]any{
		"name": "streams", "host": host, "path_prefix": streamsPath, "kind": "streaming", "service": "ledger", "attempts": 1,
		"timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "gap_target_ms": 200, "resumable": true,
	})
	d.publish(configuration)
	d.keepOne("ledger").SetScript(func(id, _ string) string { return brokenStream(id) })
	got := d.send(d.daemons[0], call{path: streamsPath + "1"})
	require.NotEqual(t, http.StatusNotFound, got.status)
	requireVisibleBreak(t, got, streamBody(got.id, 1, scriptedEvents))
}

// Guards against a stream that is known to be broken and looks complete to a caller of HTTP/1.0, who gets no chunks.
func TestBrokenStreamToOldCallerDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]func(id string) string{
		"chunks": func(id string) string {
			body := streamBody(id, 1, 3)
			return replyHead(id, "text/event-stream", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		},
		"no chunks": brokenStream,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1)
			for _, engine := range d.enginesAt(0) {
				engine.SetScript(func(id, lastEventID string) string {
					if lastEventID == "" {
						return first(id)
					}
					return rejection(id, "500 Internal Server Error", "")
				})
			}
			const id = "00000000000000aa"
			got, err := d.sendRaw(d.daemons[0], fmt.Sprintf("POST %s1 HTTP/1.0\r\nHost: %s\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\n"+
				"X-Deadline-Ms: 4000\r\nX-Model: m0\r\nX-Token-Usage: 1,%d\r\nContent-Length: 0\r\n\r\n", lettersPath, host, id, apiKey, scriptedEvents))
			require.Contains(t, got, streamBody(id, 1, 3))
			require.Error(t, err, "a part of the answer ends as if it were complete")
		})
	}
}

// sendRaw sends the bytes of a request on a connection of its own and reads to its end.
func (d *deployment) sendRaw(to *daemon, text string) (string, error) {
	data, err := io.ReadAll(d.dialRaw(to, text))
	return string(data), err
}

// dialRaw sends the bytes of a request on a connection of its own.
func (d *deployment) dialRaw(to *daemon, text string) net.Conn {
	conn, err := net.Dial("tcp", to.settings.Callers.String())
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(d.t, err)
	return conn
}

// Guards against a reply that ends within its head and reaches the caller as an answer.
func TestReplyThatEndsWithinItsHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	ledger := d.keepOne("ledger")
	for _, framing := range []string{"", "Content-Length: 14\r\n", "Transfer-Encoding: chunked\r\n"} {
		whole := replyHead("0000000000000000", "text/plain", framing)
		for length := 1; length < len(whole); length++ {
			ledger.SetScript(func(id, _ string) string { return replyHead(id, "text/plain", framing)[:length] })
			got := d.send(d.daemons[0], call{path: feesPath + "1"})
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status, whole[:length])
		}
	}
}

// Guards against complete streams without length or chunks that count as crashes of their engines.
func TestCompleteUnframedStreamIsNoCrash(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	d.makeUnframed()
	got := d.send(d.daemons[0], call{path: lettersPath + "1", tokens: scriptedEvents})
	require.NoError(t, got.err)
	require.Equal(t, streamBody(got.id, 1, scriptedEvents), got.body)
	require.Zero(t, d.crashesOf(d.daemons[0]))
}

// Guards against complete streams without length or chunks whose requests are refused as harmful.
func TestCompleteUnframedStreamsAreNotQuarantined(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 4} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deployForPoison(t, daemons)
			d.makeUnframed()
			for range 10 {
				for _, node := range d.daemons {
					got := d.send(node, call{path: lettersPath + "1", tokens: scriptedEvents, header: promptHeader(sharedPart)})
					require.Equal(t, http.StatusOK, got.status, got.body)
				}
			}
			for _, node := range d.daemons {
				require.Empty(t, d.quarantined(node))
			}
		})
	}
}

// Guards against an answer that a server cut, has neither a length nor chunks and looks complete, although another server has all of it.
func TestCutAnswerOfOneServerIsRepeated(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 4} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, daemons)
			d.fleet.Servers("ledger")[0].SetScript(func(id, _ string) string { return replyHead(id, "text/plain", "") + "do" })
			for range 4 {
				for _, node := range d.daemons {
					got := d.send(node, call{path: readsPath + "1", method: http.MethodGet})
					require.NoError(t, got.err)
					require.Equal(t, worker.ResponseBody(got.id), got.body)
					require.LessOrEqual(t, len(d.fleet.RunsOf(got.id)), 2)
				}
			}
		})
	}
}

// Guards against an answer that is given up for the worse or later one of another server, which was asked only to confirm it.
func TestSecondAnswerDoesNotReplaceFirst(t *testing.T) {
	t.Parallel()
	for name, second := range map[string]func(id string) string{
		"other status": func(id string) string { return rejection(id, "404 Not Found", "X-Response-Signature: sig\r\n") },
		"late": func(id string) string {
			time.Sleep(3 * time.Second)
			return rejection(id, "404 Not Found", "X-Response-Signature: sig\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1)
			var first sync.Map // servers by the id of the request that they got first
			for _, server := range d.fleet.Servers("ledger") {
				server.SetScript(func(id, _ string) string {
					if _, isSecond := first.LoadOrStore(id, server); isSecond {
						return second(id)
					}
					return replyHead(id, "text/plain", "") + worker.ResponseBody(id)
				})
			}
			for range 4 {
				begin := time.Now()
				got := d.send(d.daemons[0], call{path: readsPath + "1", method: http.MethodGet})
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, worker.ResponseBody(got.id), got.body)
				require.Less(t, time.Since(begin), 2*time.Second)
			}
		})
	}
}
