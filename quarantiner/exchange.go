package quarantiner

import (
	"slices"
	"time"
)

// mostPending bounds one message to a peer.
const mostPending = 64

// SetPeers tells which other daemons are live.
func (q *Quarantiner) SetPeers(incarnations []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.peers = slices.DeleteFunc(slices.Clone(incarnations), func(name string) bool { return name == q.Self })
}

// Pending returns records to send to a peer, the newest first. It stays the same
// until Acked.
func (q *Quarantiner) Pending(now time.Time, peer string) []Record {
	records := q.records(now, func(e *entry) bool { return q.tells(e) && !e.acked[peer] })
	return records[:min(len(records), mostPending)]
}

// Digest returns the newest records, for a peer that has just started.
func (q *Quarantiner) Digest(now time.Time) []Record {
	records := q.Held(now)
	return records[:min(len(records), mostPending)]
}

// Held returns all records, the newest first, for operators.
func (q *Quarantiner) Held(now time.Time) []Record {
	return q.records(now, func(*entry) bool { return true })
}

func (q *Quarantiner) records(now time.Time, wanted func(*entry) bool) []Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var records []Record
	for p, e := range q.entries {
		if q.expired(now, e.Record) {
			delete(q.entries, p)
			continue
		}
		if wanted(e) {
			records = append(records, e.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return b.latest().Compare(a.latest()) })
	return records
}

// Merge takes in records of a peer, late, twice or out of order, and returns
// what is held of the same fingerprints afterwards, as the answer to the peer.
func (q *Quarantiner) Merge(now time.Time, records []Record) []Record {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var held []Record
	for _, record := range records {
		q.merge(now, record)
		if e := q.entries[record.Print]; e != nil {
			held = append(held, e.Record)
		}
	}
	return held
}

func (q *Quarantiner) merge(now time.Time, record Record) {
	if q.expired(now, record) {
		return
	}
	e := q.entry(now, record.Print)
	if e == nil {
		q.add(now, record)
		return
	}
	merged := merge(e.Record, record)
	if e.equal(merged) {
		return
	}
	// The sender tells the others, unless this daemon holds more than was sent,
	// or saw a crash itself: its own callers wait until all daemons know.
	tells := e.changed || !merged.equal(record)
	q.change(e, merged)
	e.changed = tells
}

// Acked takes in a peer's answer to records that it was sent.
func (q *Quarantiner) Acked(now time.Time, peer string, sent, held []Record) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, record := range held {
		q.merge(now, record)
	}
	for _, record := range sent {
		e := q.entries[record.Print]
		if e == nil || !e.equal(record) {
			continue
		}
		if e.acked == nil {
			e.acked = map[string]bool{}
		}
		e.acked[peer] = true
	}
}

// Known reports whether all live daemons hold the record of a fingerprint, as
// far as this daemon has to tell them. A daemon that waits for it before it
// reports a failure to a caller doesn't wait longer than the caller would.
func (q *Quarantiner) Known(now time.Time, p Print) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	e := q.entry(now, p)
	return e == nil || !q.tells(e) || q.known(e)
}

func (q *Quarantiner) known(e *entry) bool {
	for _, peer := range q.peers {
		if !e.acked[peer] {
			return false
		}
	}
	return true
}

func (q *Quarantiner) tells(e *entry) bool { return e.changed || e.owner() == q.Self }
