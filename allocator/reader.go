package allocator

import (
	"io"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

const (
	firstRead = 4 << 10  // bytes; most messages fit
	blockSize = 16 << 10 // bytes
)

// ErrTooLarge is returned for a message that exceeds its own limit.
var ErrTooLarge = errors.New("message exceeds its size limit")

// blocks are reused, because messages without end would otherwise produce garbage faster than
// the collector frees it.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// buffer holds a message that is being read.
type buffer struct {
	first []byte // the message if it fits, otherwise its begin
	rest  []*[blockSize]byte
	used  int // bytes of the last block
}

// free returns the part of the buffer that is read into next. It is empty if the buffer is full.
func (b *buffer) free() []byte {
	if len(b.rest) == 0 {
		return b.first[len(b.first):cap(b.first)]
	}
	return b.rest[len(b.rest)-1][b.used:]
}

// extend adds the bytes that were read into the free part to the message.
func (b *buffer) extend(n int) {
	if len(b.rest) == 0 {
		b.first = b.first[:len(b.first)+n]
		return
	}
	b.used += n
}

func (b *buffer) addBlock() {
	b.rest, b.used = append(b.rest, blocks.Get().(*[blockSize]byte)), 0
}

// size returns the number of bytes of the message.
func (b *buffer) size() int64 { return b.capacity() - int64(len(b.free())) }

// capacity returns the number of bytes that the buffer takes.
func (b *buffer) capacity() int64 { return int64(cap(b.first)) + int64(len(b.rest))*blockSize }

// message returns the message in one piece.
func (b *buffer) message() []byte {
	if len(b.rest) == 0 {
		return b.first
	}
	data := append(make([]byte, 0, b.size()), b.first...)
	for i, block := range b.rest {
		if i == len(b.rest)-1 {
			return append(data, block[:b.used]...)
		}
		data = append(data, block[:]...)
	}
	return data
}

func (b *buffer) release() {
	for _, block := range b.rest {
		blocks.Put(block)
	}
}

// ReadAll reads a message of at most limit bytes into the memory of an allocation.
func (l *Allocation) ReadAll(source io.Reader, limit int64) ([]byte, error) {
	b := &buffer{first: make([]byte, 0, firstRead)}
	defer b.release()
	for {
		if len(b.free()) == 0 {
			if err := l.Resize(b.capacity() + blockSize); err != nil {
				return nil, err
			}
			b.addBlock()
			runtime.Gosched() // many large messages at once must not delay small ones by a time slice each
		}
		n, err := source.Read(b.free())
		b.extend(n)
		if b.size() > limit {
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			return l.join(b)
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the message in one piece, which the allocation holds instead of the buffer.
func (l *Allocation) join(b *buffer) ([]byte, error) {
	if len(b.rest) > 0 { // both exist while data is copied
		if err := l.Resize(b.capacity() + b.size()); err != nil {
			return nil, err
		}
	}
	data := b.message()
	return data, l.Resize(int64(cap(data)))
}
