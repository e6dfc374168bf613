package relay

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

const (
	// quarantineThreshold is the number of upstreams that a request or a part of prompts
	// must crash to be quarantined. Two crashes are often a coincidence, because a request
	// that was in flight at a crash is sent to another upstream at once.
	quarantineThreshold = 3
	// maxFingerprints bounds the fingerprints that are tracked, to about 6 MB. Twenty requests with 300
	// parts each may be in flight at a crash.
	maxFingerprints = 16384
	// quarantineInterval is the longest time between two updates of the quarantine.
	quarantineInterval = time.Second
)

// quarantine holds the fingerprints of requests that crash upstreams, as all daemons
// know them. Changes are published by gossip. The store holds the quarantined ones, which
// daemons read when they start.
type quarantine struct {
	*quarantiner.Quarantiner
	changed   chan struct{}
	published publications
	local     map[quarantiner.RequestFingerprint]bool // fingerprints whose records this daemon has changed, and whether it has stored the record
	unstored  map[string][]byte                       // values to write to the store, by key; an empty one deletes the record
	storing   bool                                    // a write is in progress
	stored    chan storeResult
	expired   chan quarantiner.RequestFingerprint // of records in the store that had expired when this daemon started
	restored  chan struct{}                       // the store was restored from an older copy
	copies    chan []quarantiner.Record           // what such a copy holds
}

func (q *quarantine) build(self cowslipproxy.Owner) {
	q.changed, q.stored, q.expired = make(chan struct{}, 1), make(chan storeResult, 1), make(chan quarantiner.RequestFingerprint, maxExpiredDeletes)
	q.restored, q.copies = make(chan struct{}, 1), make(chan []quarantiner.Record, 1)
	q.published.build()
	q.local, q.unstored = map[quarantiner.RequestFingerprint]bool{}, map[string][]byte{}
	q.Quarantiner = &quarantiner.Quarantiner{Self: self.Key(), Threshold: quarantineThreshold, MaxEntries: maxFingerprints, Concurrent: true, OnChange: func() {
		select {
		case q.changed <- struct{}{}:
		default: // an update is already pending
		}
	}}
}

// exchangeQuarantine publishes changes of the quarantine, clears suspects that this
// daemon knows to be sound, and writes quarantined fingerprints to the store.
func (d *Daemon) exchangeQuarantine(ctx context.Context) {
	timer := time.NewTimer(quarantineInterval)
	defer timer.Stop()
	expiry := time.NewTicker(quarantineInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			d.withdrawExpired(ctx, d.Clock())
		case <-d.quarantine.changed:
		case <-timer.C:
		case result := <-d.quarantine.stored:
			d.handleStored(ctx, result)
		case fp := <-d.quarantine.expired:
			if !d.quarantine.Holds(d.Clock(), fp) {
				d.quarantine.unstored[fp.Key()] = nil
			}
		case <-d.quarantine.restored:
			go d.readCopy(ctx)
		case records := <-d.quarantine.copies:
			d.repairCopy(ctx, d.Clock(), records)
		}
		wait := quarantineInterval
		now := d.Clock()
		if next := d.quarantine.Object(now); !next.IsZero() {
			wait = min(wait, next.Sub(now))
		}
		changes := d.quarantine.TakeChanges(now)
		d.setUnstored(ctx, changes)
		for _, change := range quarantiner.GroupChanges(changes) {
			d.handleChange(ctx, now, change)
		}
		d.storeQuarantine(ctx)
		timer.Reset(wait)
	}
}

// handleChange logs a change of the quarantine, and publishes it if this daemon made it.
func (d *Daemon) handleChange(ctx context.Context, now time.Time, change quarantiner.GroupChange) {
	var crashes, fingerprints []string
	for _, crash := range change.Crashes {
		crashes = append(crashes, crash.Upstream+" seen by "+crash.Source+" "+now.Sub(crash.Time).Round(time.Millisecond).String()+" ago")
	}
	members := change.Members()
	for _, member := range members {
		fingerprints = append(fingerprints, member.Key())
	}
	reporter.EventQuarantineChanged.Log(ctx, d.Logger, slog.Any("fingerprints", fingerprints), slog.String("customer", change.Customer), slog.Bool("part", change.Part),
		slog.String("before", string(change.Before)), slog.String("after", string(change.After)), slog.Uint64("version", change.Version), slog.Any("crashes", crashes),
		slog.Int("tried", change.Tried), slog.Int("trials", change.Trials), slog.Bool("local", change.Local))
	if !change.Local {
		return
	}
	data, err := gossiper.Encode(change.Group)
	if err == nil {
		err = d.gossiper.PublishSuspect(change.Group.Key(), data)
	}
	if err != nil {
		reporter.EventExchangeFailed.Log(ctx, d.Logger, slog.Any("error", err))
		return
	}
	for _, key := range d.quarantine.published.add(change.Group.Key(), members) {
		d.withdraw(ctx, key)
	}
}

// setUnstored sets what is to be written to the store after changes that this daemon made.
func (d *Daemon) setUnstored(ctx context.Context, changes []quarantiner.Change) {
	for _, change := range changes {
		if !change.Local {
			continue
		}
		d.quarantine.local[change.RequestFingerprint] = change.After == quarantiner.StateQuarantined
		if err := d.quarantine.setUnstored(change); err != nil {
			reporter.EventQuarantineNotStored.Log(ctx, d.Logger, slog.String("fingerprint", change.Key()), slog.Any("error", err))
		}
	}
}

// withdrawExpired withdraws the published records that have expired, and deletes the stored
// ones from the store.
func (d *Daemon) withdrawExpired(ctx context.Context, now time.Time) {
	q := &d.quarantine
	for fp, isStored := range q.local {
		if q.Holds(now, fp) {
			continue
		}
		delete(q.local, fp)
		if isStored {
			q.unstored[fp.Key()] = nil
		}
		if key := q.published.remove(fp); key != "" {
			d.withdraw(ctx, key)
		}
	}
}

func (d *Daemon) withdraw(ctx context.Context, key string) {
	if err := d.gossiper.Withdraw(gossiper.KindPoison, key, gossiper.ReachAll); err != nil {
		reporter.EventExchangeFailed.Log(ctx, d.Logger, slog.Any("error", err))
	}
}

// quarantineEntry is a fingerprint in the dump.
type quarantineEntry struct {
	quarantiner.Record
	Fingerprint string            `json:"fingerprint"` // as in the path /v1/quarantine/{fingerprint}
	State       quarantiner.State `json:"state"`
}

func (q *quarantine) dump(now time.Time) (entries []quarantineEntry) {
	for _, record := range q.Records(now) {
		entries = append(entries, quarantineEntry{record, record.Key(), q.State(now, record.RequestFingerprint)})
	}
	return entries
}

func (q *quarantine) setGauges(now time.Time, registry metrics.Registry) {
	states := map[quarantiner.State]int64{}
	for _, record := range q.Records(now) {
		states[q.State(now, record.RequestFingerprint)]++
	}
	reporter.SetGauge(registry, reporter.MetricSuspects, states[quarantiner.StateSuspect])
	reporter.SetGauge(registry, reporter.MetricQuarantined, states[quarantiner.StateQuarantined])
}

// serveLift ends the quarantine of a fingerprint on all daemons.
func (d *Daemon) serveLift(w http.ResponseWriter, r *http.Request) {
	now := d.Clock()
	key := mux.Vars(r)["fingerprint"]
	records := d.quarantine.Records(now)
	i := slices.IndexFunc(records, func(record quarantiner.Record) bool { return record.Key() == key })
	if i < 0 || !d.quarantine.Lift(now, records[i].RequestFingerprint) {
		http.Error(w, "no such fingerprint is suspect or quarantined", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
