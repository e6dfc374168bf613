//go:build linux && !race

package relay_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	clientMemory      = 64         // memory setting of the process and bound of its resident set, in megabytes
	clientDescriptors = 500        // limit of the process
	descriptorBound   = int64(450) // the rest must stay free for connections to upstreams and the store
	clientCount       = 600        // on one address at once; each connects again after its connection was closed
	clientTime        = 3 * time.Second
)

// client is a form of input that ignores the limits: a begin that is sent once, parts that are
// repeated until the connection closes, and the pause after each part.
type client struct {
	begin  string
	part   string
	pause  time.Duration
	unread bool   // the client reads no answers
	only   string // the address to which the input belongs; empty for all
}

const (
	requestLine = "GET /others/1 HTTP/1.1\r\nHost: " + host + "\r\n"
	authorized  = requestLine + "Authorization: Bearer " + apiKey + "\r\n"
	chunked     = "POST /others/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + apiKey + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	metricsLine = "GET /metrics HTTP/1.1\r\nHost: " + host + "\r\n\r\n"
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return string(binary.BigEndian.AppendUint32(append(head, flags), stream)) + payload
}

// preface begins an HTTP/2 connection.
var preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "")

// incompleteCalls returns calls of another daemon, most of whose messages is missing.
func incompleteCalls(count int) string {
	field := func(prefix, value string) string { return prefix + string(rune(len(value))) + value }
	head := "\x83\x86" + field("\x04", "/cowslip.Peers/Share") + field("\x01", "a") + field("\x0f\x10", "application/grpc+cbor") + field("\x00\x02te", "trailers")
	var text strings.Builder
	for i := range count {
		stream := uint32(2*i + 1)
		text.WriteString(frame(1, 4, stream, head) + frame(0, 0, stream, "\x00\x00\x03\x00\x00"))
		for range 7 {
			text.WriteString(frame(0, 0, stream, strings.Repeat("a", 16<<10)))
		}
	}
	return text.String()
}

// shortFields returns distinct short fields of about the given total size.
func shortFields(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

var clients = map[string]client{
	"head over the limit":     {begin: requestLine + "X-Filler: " + strings.Repeat("a", 1<<20)},
	"endless long field":      {begin: requestLine + "X-Filler: " + strings.Repeat("a", 60_000), part: "a", pause: time.Second},
	"endless short fields":    {begin: requestLine + shortFields(60_000), part: "a", pause: time.Second},
	"empty lines":             {part: strings.Repeat("\r\n", 1000), pause: 10 * time.Millisecond},
	"byte a second":           {part: "G", pause: time.Second},
	"chunk extension":         {begin: chunked + "1;", part: strings.Repeat("a", 1000), pause: 10 * time.Millisecond},
	"chunk extension, slow":   {begin: chunked + "1;", part: "a", pause: time.Second},
	"trailers":                {begin: chunked + "0\r\n", part: shortFields(1000), pause: 10 * time.Millisecond},
	"trailers, slow":          {begin: chunked + "0\r\n", part: "a", pause: time.Second},
	"pipelined":               {part: strings.Repeat(authorized+"\r\n", 20), pause: 10 * time.Millisecond},
	"pipelined metrics":       {only: "metrics", part: strings.Repeat(metricsLine, 20), pause: 10 * time.Millisecond},
	"pipelined, not read":     {part: strings.Repeat(authorized+"\r\n", 20), pause: 10 * time.Millisecond, unread: true},
	"metrics, not read":       {only: "metrics", part: strings.Repeat(metricsLine, 20), pause: 10 * time.Millisecond, unread: true},
	"silent":                  {},
	"expect without body":     {begin: "POST /others/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + apiKey + "\r\nExpect: 100-continue\r\nContent-Length: 60000\r\n\r\n"},
	"HTTP/2 preface":          {only: "peers", begin: preface},
	"HTTP/2 endless head":     {only: "peers", begin: preface + frame(1, 0, 1, ""), part: frame(9, 0, 1, strings.Repeat("\x88", 1024))},
	"HTTP/2 incomplete calls": {only: "peers", begin: preface + incompleteCalls(20)},
	"HTTP/2 endless settings": {only: "peers", begin: preface, part: strings.Repeat(frame(4, 0, 0, ""), 100), unread: true},
}

// run connects again and again until ctx is done.
func (c client) run(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			c.send(ctx, conn)
			stop()
			conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (c client) send(ctx context.Context, conn net.Conn) {
	closed := make(chan struct{})
	if !c.unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn) // ends when the connection closes
		}()
	}
	if _, err := io.WriteString(conn, c.begin); err != nil {
		return
	}
	for c.part != "" {
		if _, err := io.WriteString(conn, c.part); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-time.After(c.pause):
		}
	}
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// Guards against clients that exhaust the memory or the descriptors of the process, so that it
// ends or no longer answers others.
func TestProcessOutlivesClientsThatIgnoreLimits(t *testing.T) {
	program := buildProgram(t)
	for _, address := range []string{"callers", "metrics", "peers"} {
		for name, c := range clients {
			if c.only != "" && c.only != address {
				continue
			}
			t.Run(address+"/"+name, func(t *testing.T) {
				d := newFleet(t)
				d.serveOther()
				node, pid := d.startLimited(program, clientMemory, fmt.Sprint(clientDescriptors))
				require.Eventually(t, func() bool { return d.send(node, call{path: otherPath}).status == http.StatusOK }, waitLimit, 20*time.Millisecond)
				d.checkClients(t, node, pid, map[string]netip.AddrPort{
					"callers": node.settings.Callers, "peers": node.settings.Peers,
					"metrics": netip.AddrPortFrom(node.settings.Callers.Addr(), node.settings.Metrics),
				}[address], c)
			})
		}
	}
}

// checkClients lets clients connect to an address, and sends an ordinary request while they are
// connected.
func (d *deployment) checkClients(t *testing.T, node *daemon, pid int, address netip.AddrPort, c client) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	memory, descriptors := peakOf(func() int64 { return residentMemory(pid) }), peakOf(func() int64 { return openDescriptors(pid) })
	var group sync.WaitGroup
	for range clientCount {
		group.Go(func() { c.run(ctx, address) })
	}
	time.Sleep(clientTime)
	var last result
	for deadline := time.Now().Add(waitLimit); last.status != http.StatusOK && time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		last = d.send(node, call{path: otherPath, ctx: ctx})
		cancel()
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	group.Wait()
	peak, open := memory(), descriptors()
	t.Logf("memory %d MB, %d descriptors, answer %d %v", peak>>20, open, last.status, last.err)
	require.NotZero(t, residentMemory(pid), "the process has ended")
	require.Less(t, peak, int64(clientMemory<<20))
	require.Less(t, open, descriptorBound)
	require.Equal(t, http.StatusOK, last.status)
}
