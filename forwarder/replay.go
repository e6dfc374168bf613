package forwarder

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// MaxReplay is the maximum size of a body that is buffered for retries, in bytes.
const MaxReplay = 1 << 20

// replay buffers the start of a body while it is streamed, so that a later attempt
// can send it again.
type replay struct {
	mu        sync.Mutex
	source    io.Reader
	buffered  []byte
	bytesRead int64 // from the source
	reading   bool
	err       error // of the source
}

// canReplay reports whether a new attempt can send the body from its start.
func (r *replay) canReplay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.reading && r.bytesRead == int64(len(r.buffered)) && (r.err == nil || errors.Is(r.err, io.EOF))
}

// replayReader reads the body for one attempt.
type replayReader struct {
	replay  *replay
	offset  int64
	stopped bool
}

// stop makes further reads fail: the transport may continue to read after it has
// returned an error.
func (r *replayReader) stop() {
	r.replay.mu.Lock()
	defer r.replay.mu.Unlock()
	r.stopped = true
}

// Read implements io.Reader.
func (r *replayReader) Read(data []byte) (int, error) {
	body := r.replay
	body.mu.Lock()
	defer body.mu.Unlock()
	if r.stopped {
		return 0, errors.New("the attempt has ended")
	}
	if r.offset < int64(len(body.buffered)) {
		n := copy(data, body.buffered[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	if r.offset != body.bytesRead || body.reading {
		return 0, errors.New("the body can't be replayed: its start is no longer buffered")
	}
	if body.err != nil {
		return 0, body.err
	}
	return r.readSource(data)
}

// readSource reads from the source. It releases the lock during the read, since the
// caller may send the body slowly.
func (r *replayReader) readSource(data []byte) (int, error) {
	body := r.replay
	body.reading = true
	body.mu.Unlock()
	n, err := body.source.Read(data)
	body.mu.Lock()
	body.reading = false
	if body.bytesRead+int64(n) <= MaxReplay {
		body.buffered = append(body.buffered, data[:n]...)
	}
	body.bytesRead += int64(n)
	r.offset = body.bytesRead
	body.err = err
	return n, err
}
