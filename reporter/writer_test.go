package reporter_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// blockingWriter is a writer that blocks until unblock is closed.
type blockingWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	text    strings.Builder
}

func (s *blockingWriter) Write(data []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// Guards against a daemon that blocks on a slow reader of its log, against lines
// dropped while the queue has room, and against drops that are not reported.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	w := &reporter.Writer{Out: out}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	start := time.Now()
	const lines = 10_000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	close(out.unblock)
	cancel()
	<-done
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Contains(t, out.text.String(), "line 0\nline 1\n")
	var written, dropped int
	for _, line := range strings.Split(strings.TrimSpace(out.text.String()), "\n") {
		if strings.HasPrefix(line, "line ") {
			written++
			continue
		}
		var count int
		_, err := fmt.Sscanf(line[strings.LastIndex(line, ":")+1:], "%d}", &count)
		require.NoError(t, err)
		dropped += count
	}
	require.Equal(t, lines, written+dropped)
}
