// Package holder keeps a lease in the log while this daemon can get it.
package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/leaser"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	longPoll   = 2 * time.Second
	appendTime = time.Second
	retryWait  = time.Second
	skipGap    = 500 * time.Millisecond
)

// Holder follows the lease's stream and claims the lease. Its fields are set
// before the first use.
type Holder struct {
	Log    cowslipproxy.Log
	Stream string
	Skip   func() bool // whether other daemons stand for the lease; nil means never
	Leaser *leaser.Leaser
	Clock  func() time.Time
	Logger *slog.Logger

	failed time.Time // when the newest claim failed
}

// Follow reads the lease's stream until the context ends.
func (h *Holder) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if h.Skip != nil && h.Skip() {
			waiter.Wait(ctx, skipGap)
			continue
		}
		var batch cowslipproxy.Batch
		var err error
		if batch, err = h.Log.Read(ctx, h.Stream, h.Leaser.Offset(), longPoll); err != nil {
			waiter.Wait(ctx, retryWait) // while the log is out the lease runs out and no orders are given
			continue
		}
		h.Leaser.Fold(h.Clock(), batch)
	}
}

// Claim takes or renews the lease when that is possible. Its answer may be
// lost: the lease counts once its record was read.
func (h *Holder) Claim(ctx context.Context, now time.Time) {
	if now.Before(h.Leaser.Next(now)) || now.Sub(h.failed) < retryWait {
		return
	}
	record, ok := h.Leaser.Claim(now, uuid.NewString())
	if !ok {
		return
	}
	data, err := json.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTime)
		defer cancel()
		_, err = h.Log.Append(ctx, h.Stream, data)
	}
	if err != nil {
		h.failed = now
		reporter.EventLeaseFailed.Log(ctx, h.Logger, slog.Any("error", err))
	}
}

// Holds returns the fencing number if this daemon holds the lease.
func (h *Holder) Holds() (fence uint64, ok bool) { return h.Leaser.Holds(h.Clock()) }

// Release lets a successor begin at once after a planned stop.
func (h *Holder) Release() {
	record, held := h.Leaser.Release(h.Clock(), uuid.NewString())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTime)
	defer cancel()
	if data, err := json.Marshal(record); err == nil {
		_, _ = h.Log.Append(ctx, h.Stream, data) // if it is lost, the successor waits the lease out
	}
}
