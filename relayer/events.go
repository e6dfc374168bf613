package relayer

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/allocator"
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
