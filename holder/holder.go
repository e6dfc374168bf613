// Package holder acquires a lease in the log and renews it.
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
	pollWait        = 2 * time.Second // longest wait of a read for the next record
	appendTimeout   = time.Second
	retryDelay      = time.Second            // delay after a failed read or claim
	standbyInterval = 500 * time.Millisecond // time between calls of Skip while it reports true
)

// Holder follows the stream of a lease and claims, renews and releases the lease.
// The exported fields must be set before the first use.
type Holder struct {
	Log    cowslipproxy.Log
	Stream string
	Skip   func() bool // whether this daemon leaves the lease to others; nil means never
	Leaser *leaser.Leaser
	Clock  func() time.Time
	Logger *slog.Logger

	claimFailedAt time.Time // time of the latest failed claim
}

// Follow reads the lease's stream until the context ends.
func (h *Holder) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if h.Skip != nil && h.Skip() {
			waiter.Wait(ctx, standbyInterval)
			continue
		}
		var batch cowslipproxy.Batch
		var err error
		if batch, err = h.Log.Read(ctx, h.Stream, h.Leaser.Offset(), pollWait); err != nil {
			waiter.Wait(ctx, retryDelay) // while the log is unavailable, the lease expires and no orders are given
			continue
		}
		h.Leaser.ApplyBatch(h.Clock(), batch)
	}
}

// Claim appends a claim of the lease to its stream, if a claim is possible now. As
// the response to the append may be lost, the lease is held once Follow has read
// the record from the stream.
func (h *Holder) Claim(ctx context.Context, now time.Time) {
	if now.Before(h.Leaser.NextClaim(now)) || now.Sub(h.claimFailedAt) < retryDelay {
		return
	}
	record, ok := h.Leaser.Claim(now, uuid.NewString())
	if !ok {
		return
	}
	data, err := json.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err = h.Log.Append(ctx, h.Stream, data)
	}
	if err != nil {
		h.claimFailedAt = now
		reporter.EventLeaseFailed.Log(ctx, h.Logger, slog.Any("error", err))
	}
}

// Holds returns the fencing token if this daemon holds the lease.
func (h *Holder) Holds() (fence uint64, ok bool) { return h.Leaser.Holds(h.Clock()) }

// Release releases the lease on a planned stop, so that a successor can start
// at once.
func (h *Holder) Release() {
	record, held := h.Leaser.Release(h.Clock(), uuid.NewString())
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if data, err := json.Marshal(record); err == nil {
		_, _ = h.Log.Append(ctx, h.Stream, data) // if this fails, the successor waits for the lease to expire
	}
}
