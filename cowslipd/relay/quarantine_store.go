package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	quarantineTimeout = time.Second // of a call to the store
	// maxExpiredDeletes bounds the expired records that a daemon deletes from the store when
	// it starts. Many daemons may start at once.
	maxExpiredDeletes = 4
)

// storeResult is the result of writing a value to the store.
type storeResult struct {
	key   string
	value []byte
	err   error
}

// setUnstored sets what is to be written to the store after a change. The store holds
// quarantined fingerprints only.
func (q *quarantine) setUnstored(change quarantiner.Change) error {
	switch {
	case change.After == quarantiner.StateQuarantined:
		value, err := json.Marshal(change.Record)
		if err != nil {
			return errors.WithStack(err)
		}
		q.unstored[change.Key()] = value
	case change.Before == quarantiner.StateQuarantined:
		q.unstored[change.Key()] = nil
	}
	return nil
}

// storeQuarantine writes one value to the store, unless a write is in progress. The others
// follow when it has ended.
func (d *Daemon) storeQuarantine(ctx context.Context) {
	q := &d.quarantine
	if q.storing {
		return
	}
	for key, value := range q.unstored {
		q.storing = true
		go func() {
			err := d.putQuarantine(ctx, key, value)
			if err != nil {
				waiter.Wait(ctx, quarantineInterval) // before the next attempt
			}
			q.stored <- storeResult{key, value, err}
		}()
		return
	}
}

func (d *Daemon) putQuarantine(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	return d.Platform.Quarantine.Put(ctx, key, value)
}

func (d *Daemon) handleStored(ctx context.Context, result storeResult) {
	q := &d.quarantine
	q.storing = false
	if result.err != nil {
		reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.String("fingerprint", result.key), slog.Any("error", result.err))
		return
	}
	if latest, ok := q.unstored[result.key]; ok && bytes.Equal(latest, result.value) {
		delete(q.unstored, result.key)
	}
}

// loadQuarantine reads the quarantined fingerprints from the store when the daemon
// starts. Others that run since may have been killed together with this one.
func (d *Daemon) loadQuarantine(ctx context.Context) {
	for {
		records, err := d.readQuarantine(ctx)
		if err == nil {
			d.quarantine.Merge(d.Clock(), records)
			d.deleteExpired(records)
			return
		}
		reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.Any("error", err))
		if !waiter.Wait(ctx, quarantineInterval) {
			return
		}
	}
}

// deleteExpired deletes expired records from the store. The daemons that wrote them have
// restarted since, or they would have done so.
func (d *Daemon) deleteExpired(records []quarantiner.Record) {
	for _, record := range records {
		if d.quarantine.Holds(d.Clock(), record.RequestFingerprint) {
			continue
		}
		select {
		case d.quarantine.expired <- record.RequestFingerprint:
		default: // the next daemons that start delete the others
			return
		}
	}
}

func (d *Daemon) readQuarantine(ctx context.Context) (records []quarantiner.Record, err error) {
	var stored map[string][]byte
	if stored, err = d.Platform.Quarantine.All(ctx); err != nil {
		return nil, err
	}
	for key, data := range stored {
		var record quarantiner.Record
		if err := decoder.JSON(data, &record); err != nil {
			reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.String("fingerprint", key), slog.Any("error", err))
			continue
		}
		records = append(records, record)
	}
	return records, nil
}
