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
	// minRetryDelay and maxRetryDelay bound the delay between reads while the
	// store cannot be read. A daemon on whose reads others depend always uses the
	// minimum. Others back off, because the store bills the requests that it refuses
	// too, and because another daemon informs them when it can be read again.
	minRetryDelay = 700 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// standbyInterval is the time between checks whether another daemon still reads
// the feed for this one.
const standbyInterval = 200 * time.Millisecond

// Watcher follows one feed. The exported fields must be set before Run.
type Watcher[T any] struct {
	Name      string // name of the feed, for the log
	Feed      cowslipproxy.Feed[T]
	Wait      func() time.Duration     // longest time that a read waits for a change; nil to return at once
	Interval  time.Duration            // delay between reads
	Skip      func(now time.Time) bool // whether another daemon reads the feed for this one
	Position  func() uint64            // position up to which the feed is known after Skip reported true; 0 for the complete feed
	IsReader  func() bool              // whether other daemons depend on this one's reads
	Apply     func(now time.Time, changes cowslipproxy.Changes[T])
	OnFailure func() // called after a failed read; may be nil
	Clock     func() time.Time
	Logger    *slog.Logger

	position   uint64        // where the next read starts; 0 for the complete feed
	standby    bool          // another daemon read the feed since the last read
	retryDelay time.Duration // delay after the next failure
	lostSince  time.Time     // when the feed was lost; zero if it can be read
}

// Run follows the feed until the context ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	w.retryDelay, w.standby = minRetryDelay, true
	for ctx.Err() == nil {
		if w.Skip(w.Clock()) {
			w.standby, w.lostSince = true, time.Time{}
			waiter.Wait(ctx, standbyInterval)
			continue
		}
		if w.standby {
			w.position, w.standby = w.Position(), false
		}
		delay, start := w.Interval, w.Clock()
		changes, err := w.Feed.Read(ctx, w.position, w.wait())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay = w.delayAfterFailure(w.Clock().Sub(start))
			w.handleError(ctx, err)
			if w.retryDelay = min(2*w.retryDelay, maxRetryDelay); w.IsReader() {
				w.retryDelay = minRetryDelay
			}
		} else {
			w.retryDelay = minRetryDelay
			w.handleChanges(ctx, changes)
		}
		waiter.Wait(ctx, delay)
	}
}

// wait returns how long the next read waits for a change. After an outage it does not wait,
// because the store may have been restored, which only its reply shows.
func (w *Watcher[T]) wait() time.Duration {
	if w.Wait == nil || !w.lostSince.IsZero() {
		return 0
	}
	return w.Wait()
}

// delayAfterFailure returns the delay after a failed read. The first read of an outage that took
// longer is repeated at once, because its connection may have been silent while new ones work.
func (w *Watcher[T]) delayAfterFailure(took time.Duration) time.Duration {
	if w.lostSince.IsZero() {
		return max(0, w.retryDelay-took)
	}
	return w.retryDelay
}

func (w *Watcher[T]) handleError(ctx context.Context, err error) {
	if w.lostSince.IsZero() {
		w.lostSince = w.Clock()
		reporter.EventFeedLost.Log(ctx, w.Logger, slog.String("feed", w.Name), slog.Any("error", err))
	}
	if w.OnFailure != nil {
		w.OnFailure()
	}
}

func (w *Watcher[T]) handleChanges(ctx context.Context, changes cowslipproxy.Changes[T]) {
	now := w.Clock()
	if !w.lostSince.IsZero() {
		reporter.EventFeedRestored.Log(ctx, w.Logger, slog.String("feed", w.Name), slog.Duration("lost", now.Sub(w.lostSince)))
		w.lostSince = time.Time{}
	}
	if changes.Restored {
		reporter.EventStoreRestored.Log(ctx, w.Logger, slog.String("feed", w.Name), slog.Uint64("from", w.position), slog.Uint64("position", changes.Next))
	}
	w.position = changes.Next
	w.Apply(now, changes)
}
