// Package leaser determines which daemon holds a lease, from the records of a log
// stream. It does no I/O: the caller reads the stream, and appends the records
// that Claim and Release return.
package leaser

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// DefaultTTL lets a successor place the layers of a failed stage within
// seconds, and leaves time for several renewals when the log is slow.
const DefaultTTL = 9 * time.Second

// Leaser tracks one lease. A record is valid if and only if no other record of
// the same lease lies between its base and its offset. The preceding record of
// the lease is enough to check this, so that all readers agree even if they start
// after the log was truncated.
type Leaser struct {
	Name string        // of the lease
	Self string        // incarnation of this daemon
	TTL  time.Duration // TTL of the claims of this daemon; 0 means DefaultTTL

	mutex         sync.Mutex
	next          uint64 // next offset to read
	gap           uint64 // offset after the last gap if this daemon held the lease there, else 0
	batchApplied  bool
	lastEnd       uint64               // offset after the last record of the lease
	lastClaim     *claim               // last valid claim; nil after a release or a gap in the log
	claimableFrom time.Time            // time from which this daemon may claim a lease that it doesn't hold
	pending       map[string]time.Time // start times of this daemon's claims that were not read back yet, by id
}

// claim is a claim record that was applied, with its offset.
type claim struct {
	Record
	offset uint64
	own    bool      // this daemon wrote the claim and has not released the lease since
	start  time.Time // if own: time at which Claim returned the record
}

// ApplyBatch applies a batch of the stream. It ignores entries that were applied before
// and records that can't be decoded, as every other reader does.
func (l *Leaser) ApplyBatch(now time.Time, batch cowslipproxy.Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if batch.First > l.next {
		l.skipTo(now, batch.First)
	}
	l.batchApplied = true
	for _, entry := range batch.Entries {
		if entry.Offset < l.next {
			continue
		}
		l.next = entry.Offset + 1
		if record, err := Decode(entry.Data); err == nil && record.Name == l.Name {
			l.apply(now, record, entry.Offset)
		}
	}
	l.next = max(l.next, batch.Next)
}

// skipTo moves to the first offset that the log retains, or has again after it was restored
// from an older copy. Any of the lost records may have been a valid claim, unless this
// daemon holds the lease: the others wait until its claim has expired.
func (l *Leaser) skipTo(now time.Time, first uint64) {
	held := l.holds(now)
	l.next, l.lastEnd, l.lastClaim, l.gap = first, first, nil, 0
	if held {
		l.gap, l.claimableFrom = first, now
		return
	}
	l.deferClaims(now, l.ttl())
}

func (l *Leaser) apply(now time.Time, record Record, offset uint64) {
	valid := record.Base >= l.lastEnd && record.Base <= offset
	l.lastEnd = offset + 1
	start, own := l.pending[record.ID]
	own = own && record.Holder == l.Self
	if own {
		delete(l.pending, record.ID)
	}
	if !valid && record.Base < l.gap {
		return // it was written before the gap, at which this daemon held the lease
	}
	if !valid {
		// The first record after a gap may be valid for readers that read the truncated records.
		l.deferClaims(now, time.Duration(record.TTL))
		return
	}
	if record.Kind == KindRelease {
		if l.lastClaim != nil && l.lastClaim.Holder == record.Holder {
			l.lastClaim, l.claimableFrom = nil, now
		}
		return
	}
	l.lastClaim = &claim{Record: record, offset: offset, own: own, start: start}
	l.claimableFrom = time.Time{}
	l.deferClaims(now, time.Duration(record.TTL))
}

// deferClaims prevents claims of this daemon for a whole TTL after it read a
// record. The lease of that record's holder started earlier and so ends earlier.
func (l *Leaser) deferClaims(now time.Time, ttl time.Duration) {
	if claimableFrom := now.Add(ttl); claimableFrom.After(l.claimableFrom) {
		l.claimableFrom = claimableFrom
	}
}

// Claim returns a record to append that acquires or renews the lease. It returns
// false while another daemon may hold the lease, before the first batch, and for an
// id that is in use. The id must be unique. The append may be retried if its response
// was lost.
func (l *Leaser) Claim(now time.Time, id string) (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, used := l.pending[id]; used || !l.batchApplied || (!l.holds(now) && now.Before(l.claimableFrom)) {
		return Record{}, false
	}
	if l.pending == nil {
		l.pending = map[string]time.Time{}
	}
	for id, start := range l.pending {
		if now.Sub(start) > l.ttl() {
			delete(l.pending, id)
		}
	}
	l.pending[id] = now
	return l.record(KindClaim, id), true
}

// Release returns a record to append that lets a successor claim without waiting,
// and reports whether this daemon held the lease. It no longer holds the lease
// after the call.
func (l *Leaser) Release(now time.Time, id string) (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.holds(now)
	l.pending = nil
	if l.lastClaim != nil {
		l.lastClaim.own = false
	}
	return l.record(KindRelease, id), held
}

func (l *Leaser) record(kind Kind, id string) Record {
	return Record{Kind: kind, ID: id, Name: l.Name, Holder: l.Self, Base: l.next, TTL: cowslipproxy.Duration(l.ttl())}
}

// Holds returns the fencing token if this daemon holds the lease. Call it
// immediately before each order, with the time of a monotonic clock.
func (l *Leaser) Holds(now time.Time) (fence uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.holds(now) {
		return 0, false
	}
	return l.lastClaim.offset, true
}

// holds reports whether this daemon holds the lease. The last tenth of the TTL does
// not count, as a margin for clock drift and for the delay between the check and the
// arrival of the order.
func (l *Leaser) holds(now time.Time) bool {
	if l.lastClaim == nil || !l.lastClaim.own {
		return false
	}
	ttl := time.Duration(l.lastClaim.TTL)
	return !now.Before(l.lastClaim.start) && now.Before(l.lastClaim.start.Add(ttl-ttl/10))
}

// Offset returns the offset to read from.
func (l *Leaser) Offset() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.next
}

// NextClaim returns the time of the next claim: after a third of the TTL if this
// daemon holds the lease, which leaves time for a retry, or otherwise when no
// other daemon can hold it.
func (l *Leaser) NextClaim(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.holds(now) {
		return l.lastClaim.start.Add(time.Duration(l.lastClaim.TTL) / 3)
	}
	return l.claimableFrom
}

func (l *Leaser) ttl() time.Duration {
	if l.TTL > 0 {
		return l.TTL
	}
	return DefaultTTL
}
