package relayer

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// event is one whole event of a stream, with the empty line that ends it.
type event struct {
	data []byte
	id   string
}

// eventReader cuts a stream into whole events, so that no part of an event
// that breaks off reaches the caller.
type eventReader struct {
	from *bufio.Reader
	data []byte
}

// next returns the next whole event. At the stream's regular end it returns
// io.EOF, with the bytes that follow the last event, if any.
func (r *eventReader) next() (event, error) {
	found := event{}
	r.data = r.data[:0]
	for {
		line, err := r.from.ReadSlice('\n')
		r.data = append(r.data, line...)
		if len(r.data) > maxEvent {
			return event{}, errors.Errorf("an event has over %d bytes", maxEvent)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return event{data: r.data}, io.EOF
		}
		if err != nil {
			return event{}, errors.WithStack(err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			found.id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 {
			found.data = r.data
			return found, nil
		}
	}
}
