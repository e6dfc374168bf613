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
	// maxCloseWait bounds the wait for the memory of connections that were closed.
	maxCloseWait = 500 * time.Millisecond
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

// Pool is the memory of the request heads of all listeners of a process, and of messages of other
// daemons that are not complete. Its exported fields are set
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
	closing  int64         // part of used that evicted connections take until they have ended
	released chan struct{} // closed when a connection has ended; nil if none waits
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

// remove ends the accounting of a connection whose descriptor is closed.
func (p *Pool) remove(c *Conn) {
	if _, counted := p.conns[c]; !counted {
		return
	}
	delete(p.conns, c)
	c.listener.open--
	c.listener.signal()
}

// release ends the accounting of the memory of a connection that has ended.
func (p *Pool) release(c *Conn) {
	p.remove(c)
	p.setCost(c, 0)
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

func (p *Pool) setCost(c *Conn, cost int64) {
	p.used += cost - c.cost
	if c.evicted {
		p.closing += cost - c.cost
	}
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
	if c.listener.IsPeer {
		c.since = now
		return p.charge(c, int64(len(data)), now)
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
	return p.charge(c, int64(len(data)+bytes.Count(data, []byte{'\n'})*fieldBytes), now)
}

// charge adds to the memory of a connection, and returns reasonMemory if there is no room.
func (p *Pool) charge(c *Conn, size int64, now time.Time) (reason string) {
	if p.makeRoom(c, c.cost+size, now) {
		if _, counted := p.conns[c]; counted { // its owner may have closed it during the wait
			p.setCost(c, c.cost+size)
		}
		return ""
	}
	if !c.evicted {
		p.evict(c, reasonMemory, now)
	}
	return reasonMemory
}

// makeRoom closes more expensive connections until this one may take the given memory, and waits for
// theirs. It returns false if there are none or their memory is not free in time, and this one's is
// not small. The caller holds the lock, which is free during waits.
func (p *Pool) makeRoom(c *Conn, cost int64, now time.Time) bool {
	var deadline <-chan time.Time
	for cost > smallHead && !c.evicted {
		needed := p.used - c.cost + cost + p.Messages()
		if needed <= p.Limit {
			break
		}
		if needed-p.closing > p.Limit {
			victim := p.mostExpensive(now)
			if victim == nil || victim == c || victim.cost <= cost {
				return false
			}
			p.evict(victim, reasonMemory, now)
			continue
		}
		if deadline == nil {
			deadline = time.After(maxCloseWait)
		}
		if !p.wait(deadline) {
			return false
		}
	}
	return !c.evicted
}

// wait waits until a connection has ended, and reports whether one has before the deadline.
func (p *Pool) wait(deadline <-chan time.Time) bool {
	if p.released == nil {
		p.released = make(chan struct{})
	}
	released := p.released
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-released:
		return true
	case <-deadline:
		return false
	}
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

// evict closes a connection, whose memory is counted until its owner has closed it too. The caller
// holds the lock.
func (p *Pool) evict(c *Conn, reason string, now time.Time) {
	p.remove(c)
	c.evicted = true
	p.closing += c.cost
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
