package allocator

import (
	"io"

	"github.com/pkg/errors"
)

const firstRead = 4 << 10 // bytes; most messages fit

// ErrTooLarge is returned for a message that exceeds its own limit.
var ErrTooLarge = errors.New("message exceeds its size limit")

// ReadAll reads a message of at most limit bytes into the memory of an allocation.
func (l *Allocation) ReadAll(source io.Reader, limit int64) ([]byte, error) {
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
		if err := l.Resize(3 * int64(cap(data))); err != nil { // the old and the new buffer
			return nil, err
		}
		data = append(make([]byte, 0, 2*cap(data)), data...)
		if err := l.Resize(int64(cap(data))); err != nil {
			return nil, err
		}
	}
}
