// Package evictor bounds the connections of clients and the memory that their requests take in a
// process, and closes connections when a bound is reached. It starts no goroutine.
package evictor

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	// fieldBytes is the memory of a decoded header field beside its text: its map entry, which
	// doubles while the map grows, its slice and its strings.
	fieldBytes = 256
	// smallHead is the memory of a head that is always accepted. Such heads are bounded by the
	// number of connections.
	smallHead = 16 << 10
	// headSlack is the number of bytes that net/http may read beyond the end of a head.
	headSlack = 4 << 10
	// logInterval bounds the number of log lines, since clients connect again at once.
	logInterval = 10 * time.Second
)

// Reasons to close a connection.
const (
	reasonHead   = "head"   // the request head exceeds its limit
	reasonMemory = "memory" // its memory was needed
	reasonCount  = "count"  // its descriptor was needed
)

// ConnBytes is the memory of a connection without a request head, in bytes: goroutine stacks and
// buffers. It is bounded by the number of connections and not counted by Pool.
const ConnBytes = 16 << 10

// Pool is the memory of the request heads of all listeners of a process. Its exported fields are set
// before its first use. It is safe for concurrent use.
type Pool struct {
	Limit     int64        // bytes, of heads and messages together
	Messages  func() int64 // memory of the messages that are allocated elsewhere
	HeadLimit func() int64 // largest request head, in bytes
	Clock     func() time.Time
	Logger    *slog.Logger
	Metrics   metrics.Registry

	mu       sync.Mutex
	used     int64
	conns    map[*Conn]struct{}
	loggedAt time.Time
	unlogged map[string]int // closed connections since the last log line, by address and reason
}

// Used returns the memory of the heads, in bytes, and the number of connections.
func (p *Pool) Used() (size int64, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, len(p.conns)
}

func (p *Pool) add(c *Conn) {
	if p.conns == nil {
		p.conns = map[*Conn]struct{}{}
	}
	p.conns[c] = struct{}{}
	c.listener.open++
}

// remove ends the accounting of a connection, and reports whether it was counted.
func (p *Pool) remove(c *Conn) bool {
	if _, counted := p.conns[c]; !counted {
		return false
	}
	delete(p.conns, c)
	c.listener.open--
	c.listener.signal()
	p.setCost(c, 0)
	return true
}

func (p *Pool) setCost(c *Conn, cost int64) {
	p.used += cost - c.cost
	c.cost = cost
}

// receive accounts for data that a connection received, and reports why it must be closed, if so.
func (p *Pool) receive(c *Conn, data []byte) (reason string) {
	now := p.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, counted := p.conns[c]; !counted {
		return reasonMemory // closed for another connection, which was logged
	}
	if c.phase == phaseIdle {
		c.enter(phaseHead, now)
	}
	if c.phase != phaseHead {
		return ""
	}
	c.headBytes += int64(len(data))
	if c.headBytes > p.HeadLimit()+headSlack {
		p.record(c, reasonHead, now)
		return reasonHead
	}
	p.setCost(c, c.cost+int64(len(data)+bytes.Count(data, []byte{'\n'})*fieldBytes))
	if !p.makeRoom(c, now) {
		p.remove(c)
		p.record(c, reasonMemory, now)
		return reasonMemory
	}
	return ""
}

// makeRoom closes more expensive connections until the limit is kept. It returns false if there is
// none left and this one's head is not small.
func (p *Pool) makeRoom(c *Conn, now time.Time) bool {
	others := p.Messages()
	for p.used+others > p.Limit {
		victim := p.mostExpensive(now)
		if victim == nil || victim == c || victim.cost <= c.cost {
			return c.cost <= smallHead
		}
		p.evict(victim, reasonMemory, now)
	}
	return true
}

// mostExpensive returns the closable connection that takes the most memory, the oldest of equal
// ones, or nil if there is none.
func (p *Pool) mostExpensive(now time.Time) (found *Conn) {
	for c := range p.conns {
		if c.isClosable(now) && (found == nil || c.cost > found.cost || c.cost == found.cost && c.since.Before(found.since)) {
			found = c
		}
	}
	return found
}

// evict closes a connection. The caller holds the lock.
func (p *Pool) evict(c *Conn, reason string, now time.Time) {
	p.remove(c)
	p.record(c, reason, now)
	_ = c.Conn.Close() // an error means that it is closed
}

// record counts and logs a closed connection. The caller holds the lock.
func (p *Pool) record(c *Conn, reason string, now time.Time) {
	address := c.listener.Name
	reporter.Count(p.Metrics, reporter.Labelled(reporter.MetricClientsClosed, "address", address, "reason", reason))
	if p.unlogged == nil {
		p.unlogged = map[string]int{}
	}
	p.unlogged[address+" "+reason]++
	if !p.loggedAt.IsZero() && now.Sub(p.loggedAt) < logInterval {
		return
	}
	p.loggedAt = now
	reporter.EventClientsClosed.Log(context.Background(), p.Logger, slog.Any("closed", p.unlogged), slog.String("last", c.RemoteAddr().String()),
		slog.Int64("memory", p.used), slog.Int64("limit", p.Limit), slog.Int("connections", len(p.conns)))
	p.unlogged = nil
}
