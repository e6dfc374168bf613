// Package watcher follows a feed of the platform's store.
package watcher

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	// retryWait is the time between two reads while the store can't be read, and
	// retryMost the same for a daemon that hears from another one as soon as it
	// can be read again. Calls that the store refuses are priced too.
	retryWait = 700 * time.Millisecond
	retryMost = 4 * time.Second
)

// skipGap is the time between two looks whether another daemon still reads.
const skipGap = 200 * time.Millisecond

// Watcher follows one feed. Its exported fields are set before Run.
type Watcher[T any] struct {
	Name   string // of what is followed, for the log
	Feed   cowslipproxy.Feed[T]
	Wait   time.Duration            // for the first change; 0 to return at once
	Gap    time.Duration            // between two reads
	Skip   func(now time.Time) bool // whether another daemon reads for this one
	Reader func() bool              // whether others depend on this daemon's reads
	Fold   func(now time.Time, changes cowslipproxy.Changes[T])
	Failed func() // the feed could not be read; nil for nothing
	Clock  func() time.Time
	Logger *slog.Logger

	next  uint64
	retry time.Duration // wait after the next failure
	lost  time.Time     // since when the feed can't be read
}

// Run follows the feed until the context ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	w.retry = retryWait
	for ctx.Err() == nil {
		if w.Skip(w.Clock()) {
			w.next, w.lost = 0, time.Time{}
			waiter.Wait(ctx, skipGap)
			continue
		}
		gap := w.Gap
		changes, err := w.Feed.Read(ctx, w.next, w.Wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.fail(ctx, err)
			gap = w.retry
			if w.retry = min(2*w.retry, retryMost); w.Reader() {
				w.retry = retryWait
			}
		} else {
			w.retry = retryWait
			w.take(ctx, changes)
		}
		waiter.Wait(ctx, gap)
	}
}

func (w *Watcher[T]) fail(ctx context.Context, err error) {
	if w.lost.IsZero() {
		w.lost = w.Clock()
		reporter.EventFeedLost.Log(ctx, w.Logger, slog.String("feed", w.Name), slog.Any("error", err))
	}
	if w.Failed != nil {
		w.Failed()
	}
}

func (w *Watcher[T]) take(ctx context.Context, changes cowslipproxy.Changes[T]) {
	now := w.Clock()
	if !w.lost.IsZero() {
		reporter.EventFeedBack.Log(ctx, w.Logger, slog.String("feed", w.Name), slog.Duration("lost", now.Sub(w.lost)))
		w.lost = time.Time{}
	}
	w.next = changes.Next
	w.Fold(now, changes)
}
