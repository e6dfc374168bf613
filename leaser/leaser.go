// Package leaser decides which daemon holds a lease, from the records of a log
// stream. It sends nothing: the caller appends the records that it returns and
// hands it what it reads.
package leaser

import (
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// DefaultLength is short enough for a successor to place a lost stage's layers
// within seconds, and long enough for a few renewals when the log is slow.
const DefaultLength = 9 * time.Second

// Leaser follows one lease. A record counts if and only if no other record of
// its lease lies between its base and its offset. Each reader can tell that from
// the record before it, so that readers agree even if they start in a log whose
// older records are gone.
type Leaser struct {
	Name   string        // of the lease
	Self   string        // incarnation of this daemon
	Length time.Duration // of this daemon's claims

	mutex   sync.Mutex
	next    uint64 // next offset to read
	begun   bool
	last    uint64 // offset after the last record of the lease
	holder  *held  // nil when no lease is known to be in force
	free    time.Time
	pending map[string]time.Time // when each own claim was made, by id
}

// held is the lease in force.
type held struct {
	Record
	offset uint64
	own    bool
	start  time.Time // of an own claim: before its append
}

// Fold takes in what was read of the stream. Entries that were read before are
// ignored, and records that can't be decoded don't count for any reader.
func (l *Leaser) Fold(now time.Time, batch cowslipproxy.Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if batch.First > l.next {
		l.skip(now, batch.First)
	}
	l.begun = true
	for _, entry := range batch.Entries {
		if entry.Offset < l.next {
			continue
		}
		l.next = entry.Offset + 1
		if record, err := Decode(entry.Data); err == nil && record.Name == l.Name {
			l.fold(now, record, entry.Offset)
		}
	}
	l.next = max(l.next, batch.Next)
}

// skip accounts for records that the log no longer holds. Any of them may have
// been a claim.
func (l *Leaser) skip(now time.Time, first uint64) {
	l.next, l.last, l.holder = first, first, nil
	l.wait(now, l.length())
}

func (l *Leaser) fold(now time.Time, record Record, offset uint64) {
	counts := record.Base >= l.last && record.Base <= offset
	l.last = offset + 1
	start, own := l.pending[record.ID]
	own = own && record.Holder == l.Self
	if own {
		delete(l.pending, record.ID)
	}
	if !counts {
		// The first record after a gap may count for those who read more.
		l.wait(now, time.Duration(record.Length))
		return
	}
	if record.Kind == KindRelease {
		if l.holder != nil && l.holder.Holder == record.Holder {
			l.holder, l.free = nil, now
		}
		return
	}
	l.holder = &held{Record: record, offset: offset, own: own, start: start}
	l.free = time.Time{}
	l.wait(now, time.Duration(record.Length))
}

// wait keeps this daemon from a claim for the whole length from when it read a
// record: the holder's own time began earlier.
func (l *Leaser) wait(now time.Time, length time.Duration) {
	if free := now.Add(length); free.After(l.free) {
		l.free = free
	}
}

// Claim returns a record to append, which takes or renews the lease, or false
// while another daemon may hold it. The id must be new. The append may be
// repeated when its answer was lost.
func (l *Leaser) Claim(now time.Time, id string) (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, used := l.pending[id]; used || !l.begun || (!l.holds(now) && now.Before(l.free)) {
		return Record{}, false
	}
	if l.pending == nil {
		l.pending = map[string]time.Time{}
	}
	for id, start := range l.pending {
		if now.Sub(start) > l.length() {
			delete(l.pending, id)
		}
	}
	l.pending[id] = now
	return l.record(KindClaim, id), true
}

// Release returns a record to append, which lets a successor claim at once. This
// daemon doesn't hold the lease from then on.
func (l *Leaser) Release(now time.Time, id string) (Record, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.holds(now)
	l.pending = nil
	if l.holder != nil {
		l.holder.own = false
	}
	return l.record(KindRelease, id), held
}

func (l *Leaser) record(kind Kind, id string) Record {
	return Record{Kind: kind, ID: id, Name: l.Name, Holder: l.Self, Base: l.next, Length: cowslipproxy.Duration(l.length())}
}

// Holds returns the fencing number if this daemon holds the lease. It is asked
// right before each order, with the time of a monotonic clock.
func (l *Leaser) Holds(now time.Time) (fence uint64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.holds(now) {
		return 0, false
	}
	return l.holder.offset, true
}

// holds leaves a tenth of the lease for clocks that run at different rates and
// for the time between the check and the order's arrival.
func (l *Leaser) holds(now time.Time) bool {
	if l.holder == nil || !l.holder.own {
		return false
	}
	length := time.Duration(l.holder.Length)
	return !now.Before(l.holder.start) && now.Before(l.holder.start.Add(length-length/10))
}

// Offset returns the offset to read from.
func (l *Leaser) Offset() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.next
}

// Next returns when to claim next: a third into an own lease, which leaves time
// for a second try, or once another daemon's lease can't be in force.
func (l *Leaser) Next(now time.Time) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.holds(now) {
		return l.holder.start.Add(time.Duration(l.holder.Length) / 3)
	}
	return l.free
}

func (l *Leaser) length() time.Duration {
	if l.Length > 0 {
		return l.Length
	}
	return DefaultLength
}
