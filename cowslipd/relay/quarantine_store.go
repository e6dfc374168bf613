package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
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
	// maxRepairDelay is the longest delay before a daemon repairs the records of a restored
	// store. A daemon that starts meanwhile learns them from the others by gossip.
	maxRepairDelay = 2 * time.Second
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
	if records, ok := d.awaitQuarantine(ctx); ok {
		d.quarantine.Merge(d.Clock(), records)
		d.deleteExpired(records)
	}
}

// awaitQuarantine reads the records of the store. It tries again until ctx ends.
func (d *Daemon) awaitQuarantine(ctx context.Context) ([]quarantiner.Record, bool) {
	for {
		records, err := d.readQuarantine(ctx)
		if err == nil {
			return records, true
		}
		reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.Any("error", err))
		if !waiter.Wait(ctx, quarantineInterval) {
			return nil, false
		}
	}
}

// recordRestored records that the store was restored from an older copy.
func (q *quarantine) recordRestored() {
	select {
	case q.restored <- struct{}{}:
	default: // the copy is yet to be read
	}
}

// readCopy reads what a restored store holds. The delay lets one of the daemons that read
// the store repair it before the others look.
func (d *Daemon) readCopy(ctx context.Context) {
	if !waiter.Wait(ctx, rand.N(maxRepairDelay)) {
		return
	}
	if records, ok := d.awaitQuarantine(ctx); ok {
		select {
		case d.quarantine.copies <- records:
		case <-ctx.Done():
		}
	}
}

// repairCopy writes the quarantined fingerprints to a restored store that it lacks, and
// deletes those that are not quarantined any more. Daemons that start later would not know
// the former, and refuse the latter.
func (d *Daemon) repairCopy(ctx context.Context, now time.Time, records []quarantiner.Record) {
	q := &d.quarantine
	q.Merge(now, records) // of a lifted fingerprint, this daemon has the higher version
	stored := map[quarantiner.RequestFingerprint]uint64{}
	for _, record := range records {
		stored[record.RequestFingerprint] = record.Version
		if q.State(now, record.RequestFingerprint) != quarantiner.StateQuarantined {
			q.unstored[record.Key()] = nil
		}
	}
	for _, record := range q.Records(now) {
		version, ok := stored[record.RequestFingerprint]
		if q.State(now, record.RequestFingerprint) != quarantiner.StateQuarantined || ok && version >= record.Version {
			continue
		}
		value, err := json.Marshal(record)
		if err != nil {
			reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.String("fingerprint", record.Key()), slog.Any("error", err))
			continue
		}
		q.unstored[record.Key()] = value
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
