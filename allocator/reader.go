package allocator

import (
	"io"

	"github.com/pkg/errors"
)

const firstRead = 4 << 10 // bytes; most messages fit

// ErrTooLarge is returned for a message that exceeds its own limit.
var ErrTooLarge = errors.New("message exceeds its size limit")

// ReadAll reads a message of at most limit bytes into the memory of an allocation. The
// size is the announced one, or -1 if it is unknown.
func (l *Allocation) ReadAll(source io.Reader, size, limit int64) ([]byte, error) {
	data := make([]byte, 0, firstRead)
	for {
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		if data, err = l.grow(data, size, limit); err != nil {
			return nil, err
		}
	}
}

// grow returns a larger buffer with the same data. The announced size is used once the
// message has exceeded its first buffer, and as long as it is within the limit.
func (l *Allocation) grow(data []byte, size, limit int64) ([]byte, error) {
	old := int64(cap(data))
	grown := 2 * old
	if size >= old && size <= limit {
		grown = size + 1 // the end of the message is found with room left
	}
	if err := l.Resize(old + grown); err != nil { // both exist while data is copied
		return nil, err
	}
	return append(make([]byte, 0, grown), data...), l.Resize(grown)
}
