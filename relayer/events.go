package relayer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// maxEventSize bounds an event of a stream, in bytes.
const maxEventSize = 1 << 20

// event is a server-sent event, including the empty line that ends it.
type event struct {
	data      []byte
	id        string
	isComment bool // has only comment lines, and no data
}

// eventReader splits a stream into complete events, so that no partial event is
// sent to the caller when the stream breaks off.
type eventReader struct {
	source *bufio.Reader
	memory *allocator.Allocation // of data
	data   []byte
}

// next returns the next complete event. At the regular end of the stream it returns
// io.EOF. With any error, the event has the id that was read of it. A stream that ends within an event was broken off, also if its reply has neither
// a length nor chunks.
func (r *eventReader) next() (event, error) {
	current := event{isComment: true}
	r.data = r.data[:0]
	for {
		line, err := r.source.ReadSlice('\n')
		if len(r.data)+len(line) > maxEventSize {
			return event{}, errors.Errorf("event exceeds %d bytes", maxEventSize)
		}
		if err := r.append(line); err != nil {
			return event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.data) > 0 {
			return current, io.ErrUnexpectedEOF
		}
		if err != nil {
			return current, errors.WithStack(err) // io.EOF after the last event
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			current.id = string(bytes.TrimSpace(value))
		}
		if len(text) > 0 && text[0] != ':' {
			current.isComment = false
		}
		if len(text) == 0 {
			current.data = r.data
			return current, nil
		}
	}
}

// append appends to the current event.
func (r *eventReader) append(line []byte) error {
	if len(r.data)+len(line) > cap(r.data) {
		grown := 2 * (cap(r.data) + len(line))
		if err := r.memory.Resize(int64(grown + cap(r.data))); err != nil { // the old and the new buffer
			return err
		}
		r.data = append(make([]byte, 0, grown), r.data...)
	}
	r.data = append(r.data, line...)
	return nil
}

// endsWithinEvent reports whether a stream, given whole, ends within an event.
func endsWithinEvent(stream []byte) bool {
	return len(stream) > 0 && !bytes.HasSuffix(stream, []byte("\n\n")) && !bytes.HasSuffix(stream, []byte("\n\r\n"))
}

// recordDelivery records the time at which an event was sent to the caller.
func (s *streamExchange) recordDelivery(now time.Time) {
	if s.eventsSent == 0 {
		s.serviceThrottler.FirstEvent(now, s.bounds(), s.place)
		s.timeToFirst = now.Sub(s.callerRequest.Arrived)
		reporter.DurationHistogram(s.Metrics, reporter.MetricTimeToFirst).Update(int64(s.timeToFirst))
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.eventsSent++
	s.lastEventAt = now
}

// writeEvent sends one event to the caller, preceded by the header for the first
// one.
func (s *streamExchange) writeEvent(reply upstreamReply, next event) error {
	if s.status == 0 {
		s.copyHeader(reply.Header)
		s.w.Header().Del("Content-Length")
		s.status, s.framed = reply.StatusCode, reply.isFramed()
		if !s.framed {
			cowslipproxy.KeepUnframed(s.w.Header())
		}
		s.w.WriteHeader(s.status)
	}
	if len(next.data) == 0 {
		return nil
	}
	if _, err := s.w.Write(next.data); err != nil {
		return errors.Wrap(err, "write event to caller")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Wrap(err, "flush event to caller")
	}
	s.recordDelivery(s.Clock())
	if next.id != "" {
		s.lastEventID = next.id
	}
	return nil
}
