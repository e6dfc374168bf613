package watcher_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/watcher"
)

// feed records the positions from which it is read.
type feed struct{ positions chan uint64 }

func (f *feed) Read(ctx context.Context, from uint64, _ time.Duration) (cowslipproxy.Changes[int], error) {
	select {
	case f.positions <- from:
	case <-ctx.Done():
	}
	return cowslipproxy.Changes[int]{Next: from + 1}, ctx.Err()
}

// Guards against a complete read of the feed whenever another daemon stops sharing it.
func TestReadsResumeAtThePositionKnownFromOthers(t *testing.T) {
	const standbyCall = 3 // call of Skip that reports that another daemon reads the feed
	var calls, known atomic.Uint64
	reads := &feed{make(chan uint64)}
	w := watcher.Watcher[int]{
		Name: "test", Feed: reads, Position: known.Load,
		Skip: func(time.Time) bool {
			if calls.Add(1) != standbyCall {
				return false
			}
			known.Store(70)
			return true
		},
		IsReader: func() bool { return false }, Apply: func(time.Time, cowslipproxy.Changes[int]) {},
		Clock: time.Now, Logger: slog.New(slog.DiscardHandler),
	}
	go w.Run(t.Context())
	for _, want := range []uint64{0, 1, 70, 71} {
		require.Equal(t, want, <-reads.positions)
	}
}
