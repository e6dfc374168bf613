package watcher_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/waiter"
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

// silentFeed fails after a time-out and records when it is read.
type silentFeed struct{ reads chan time.Time }

func (f silentFeed) Read(ctx context.Context, _ uint64, _ time.Duration) (cowslipproxy.Changes[int], error) {
	f.reads <- time.Now()
	waiter.Wait(ctx, time.Second)
	return cowslipproxy.Changes[int]{}, errors.New("time-out")
}

// Guards against a daemon that detects a silent connection and then waits, and against one that repeats each time-out at once.
func TestFirstTimeoutIsRepeatedAtOnce(t *testing.T) {
	feed := silentFeed{make(chan time.Time)}
	w := watcher.Watcher[int]{
		Name: "test", Feed: feed, Position: func() uint64 { return 0 }, Skip: func(time.Time) bool { return false },
		IsReader: func() bool { return true }, Clock: time.Now, Logger: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	first, second, third := <-feed.reads, <-feed.reads, <-feed.reads
	require.Less(t, second.Sub(first), 1300*time.Millisecond)
	require.Greater(t, third.Sub(second), 1600*time.Millisecond)
}
