package quarantiner

import (
	"slices"
	"time"
)

// maxMessageRecords is the maximum number of records in a message to a peer.
const maxMessageRecords = 64

// SetPeers sets the incarnations of the live daemons. It ignores this daemon's own.
func (q *Quarantiner) SetPeers(incarnations []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.peers = slices.DeleteFunc(slices.Clone(incarnations), func(name string) bool { return name == q.Self })
}

// Pending returns the records to send to a peer, the newest first. It returns them
// again until HandleAck is called or the records change.
func (q *Quarantiner) Pending(now time.Time, peer string) []Record {
	records := q.records(now, func(e *entry) bool { return q.propagates(e) && !e.acked[peer] })
	return records[:min(len(records), maxMessageRecords)]
}

// Newest returns the newest records, for a peer that has just started.
func (q *Quarantiner) Newest(now time.Time) []Record {
	records := q.Records(now)
	return records[:min(len(records), maxMessageRecords)]
}

// Records returns all records, the newest first, for operators.
func (q *Quarantiner) Records(now time.Time) []Record {
	return q.records(now, func(*entry) bool { return true })
}

func (q *Quarantiner) records(now time.Time, filter func(*entry) bool) []Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var records []Record
	for fp, e := range q.entries {
		if q.expired(now, e.Record) {
			delete(q.entries, fp)
			continue
		}
		if filter(e) {
			records = append(records, e.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return b.lastEvent().Compare(a.lastEvent()) })
	return records
}

// Merge merges records from a peer, which may be delayed, duplicated or out of
// order. It returns the resulting records of the same fingerprints, as the reply to
// the peer.
func (q *Quarantiner) Merge(now time.Time, records []Record) []Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var current []Record
	for _, record := range records {
		q.merge(now, record)
		if e := q.entries[record.RequestFingerprint]; e != nil {
			current = append(current, e.Record)
		}
	}
	return current
}

func (q *Quarantiner) merge(now time.Time, record Record) {
	if q.expired(now, record) {
		return
	}
	e := q.entry(now, record.RequestFingerprint)
	if e == nil {
		q.handleMerged(now, q.add(now, record), Record{})
		return
	}
	merged := merge(e.Record, record)
	if e.Equal(merged) {
		return
	}
	defer q.handleMerged(now, e, e.Record)
	// The sender propagates its record to all daemons. This daemon does so too if
	// the merged record differs from the one sent, or if it saw a crash itself,
	// since its own callers wait until all daemons have the record.
	propagates := e.dirty || !merged.Equal(record)
	q.update(e, merged)
	e.dirty = propagates
}

// HandleAck handles the reply of a peer to records that were sent to it.
func (q *Quarantiner) HandleAck(now time.Time, peer string, sent, current []Record) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, record := range current {
		q.merge(now, record)
	}
	for _, record := range sent {
		e := q.entries[record.RequestFingerprint]
		if e == nil || !e.Equal(record) {
			continue
		}
		if e.acked == nil {
			e.acked = map[string]bool{}
		}
		e.acked[peer] = true
	}
}

// Replicated reports whether all live daemons have acknowledged the record of a
// fingerprint, or another daemon is responsible for propagating it. A daemon waits
// for this before it reports a failure to a caller, but not beyond the caller's
// deadline.
func (q *Quarantiner) Replicated(now time.Time, fp RequestFingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, fp)
	return e == nil || !q.propagates(e) || q.replicated(e)
}

func (q *Quarantiner) replicated(e *entry) bool {
	for _, peer := range q.peers {
		if !e.acked[peer] {
			return false
		}
	}
	return true
}

func (q *Quarantiner) propagates(e *entry) bool { return e.dirty || e.owner() == q.Self }
