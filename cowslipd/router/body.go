package router

import (
	"context"
	"io"
)

// cancelledBody ends an answer's context when the answer is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelledBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
