package forwarder

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// MaxReplay is the size of the largest body that is kept for a retry.
const MaxReplay = 1 << 20

// replay keeps the start of a body while it streams, so that a later attempt can
// send it again.
type replay struct {
	mu      sync.Mutex
	source  io.Reader
	kept    []byte
	total   int64 // bytes read from the source
	reading bool
	err     error // of the source
}

// whole reports whether a new attempt can send the body from its start.
func (r *replay) whole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.reading && r.total == int64(len(r.kept)) && (r.err == nil || errors.Is(r.err, io.EOF))
}

// replayReader reads the body for one attempt.
type replayReader struct {
	replay *replay
	at     int64
	ended  bool
}

// end keeps the reader from reading further: the transport may read on after it
// has returned an error.
func (r *replayReader) end() {
	r.replay.mu.Lock()
	defer r.replay.mu.Unlock()
	r.ended = true
}

// Read implements io.Reader.
func (r *replayReader) Read(data []byte) (int, error) {
	p := r.replay
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return 0, errors.New("the attempt has ended")
	}
	if r.at < int64(len(p.kept)) {
		n := copy(data, p.kept[r.at:])
		r.at += int64(n)
		return n, nil
	}
	if r.at != p.total || p.reading {
		return 0, errors.New("the start of the body is no longer kept")
	}
	if p.err != nil {
		return 0, p.err
	}
	return r.readSource(data)
}

// readSource reads without the lock, since the caller may be slow.
func (r *replayReader) readSource(data []byte) (int, error) {
	p := r.replay
	p.reading = true
	p.mu.Unlock()
	n, err := p.source.Read(data)
	p.mu.Lock()
	p.reading = false
	if p.total+int64(n) <= MaxReplay {
		p.kept = append(p.kept, data[:n]...)
	}
	p.total += int64(n)
	r.at = p.total
	p.err = err
	return n, err
}
