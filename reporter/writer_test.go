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

// slow is an output that blocks until it is opened.
type slow struct {
	mu   sync.Mutex
	open chan struct{}
	text strings.Builder
}

func (s *slow) Write(data []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(data)
}

// Guards against a daemon that waits for its log's reader, against lines that
// are lost while there is room, and against losses that nobody is told of.
func TestWriterNeverBlocks(t *testing.T) {
	out := &slow{open: make(chan struct{})}
	w := &reporter.Writer{Out: out}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	begin := time.Now()
	const lines = 10_000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(begin), time.Second)
	close(out.open)
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
