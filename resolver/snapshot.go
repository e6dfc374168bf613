package resolver

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// maxPartialSnapshots limits the incomplete snapshots that a reader keeps. Daemons rarely
// append snapshots at the same time, and one takes several megabytes at full size.
const maxPartialSnapshots = 4

// maxPartHeaderBytes is an upper bound of the size of a part without its entries.
const maxPartHeaderBytes = 1 << 10

// ErrStale is returned for a snapshot that is older than the reader's state or the
// start of the log.
var ErrStale = errors.New("snapshot is stale")

type partialSnapshot struct {
	id      string
	at      uint64
	parts   []*Part
	missing int
}

// partialSnapshots holds incomplete snapshots, the oldest first.
type partialSnapshots []*partialSnapshot

// add stores a part. It returns all parts of the snapshot once it is complete.
func (p *partialSnapshots) add(part Part) []*Part {
	for i, found := range *p {
		if found.id != part.ID || found.at != part.At || len(found.parts) != part.Parts {
			continue
		}
		if found.parts[part.Part] != nil {
			return nil
		}
		found.parts[part.Part] = &part
		found.missing--
		if found.missing > 0 {
			return nil
		}
		*p = append((*p)[:i:i], (*p)[i+1:]...)
		return found.parts
	}
	if part.Parts == 1 {
		return []*Part{&part}
	}
	created := &partialSnapshot{id: part.ID, at: part.At, parts: make([]*Part, part.Parts), missing: part.Parts - 1}
	created.parts[part.Part] = &part
	*p = append(*p, created)
	if len(*p) > maxPartialSnapshots {
		*p = (*p)[1:]
	}
	return nil
}

func (r *Resolver) applyPart(data []byte, outcome *Outcome, now time.Time) {
	var part Part
	if err := decoder.StrictJSON(data, &part); err != nil {
		outcome.Err = err
		return
	}
	if part.At >= outcome.Offset {
		outcome.Err = errors.Errorf("at: offset %d is not less than the offset %d of the record", part.At, outcome.Offset)
		return
	}
	if !r.hasGap {
		part.Entries, part.Rejected = nil, nil // a reader without a gap only needs to know when the snapshot is complete
	}
	complete := r.incomplete.add(part)
	if complete == nil {
		return
	}
	outcome.SnapshotComplete, outcome.At = true, part.At
	if !r.hasGap {
		return
	}
	parts := make([]Part, 0, len(complete))
	for _, p := range complete {
		parts = append(parts, *p)
	}
	if outcome.Err = r.loadSnapshot(parts, now); outcome.Err == nil {
		outcome.SnapshotLoaded = true
	}
}

// Install loads a snapshot of another daemon into a reader that is not ready. The
// reader is then ready and continues with the records after the snapshot's offset.
func (r *Resolver) Install(parts []Part, now time.Time) error {
	r.init()
	if err := checkParts(parts); err != nil {
		return err
	}
	if err := r.loadSnapshot(parts, now); err != nil {
		return err
	}
	r.caughtUp = true
	return nil
}

func checkParts(parts []Part) error {
	if len(parts) == 0 {
		return errors.New("snapshot: no parts")
	}
	for i, part := range parts {
		if err := decoder.Check(&part); err != nil {
			return err
		}
		first := parts[0]
		if part.ID != first.ID || part.At != first.At || part.Parts != len(parts) || part.Part != i {
			return errors.Errorf("snapshot: part %d of %d at position %d of %d is misplaced or belongs to another snapshot", part.Part, part.Parts, i, len(parts))
		}
	}
	return nil
}

// loadSnapshot replaces the state by a snapshot. The snapshot must not be older than the
// start of the log and the applied records, and must not decrease a version.
func (r *Resolver) loadSnapshot(parts []Part, now time.Time) error {
	at := parts[0].At
	if at+1 < r.oldestOffset || at+1 < r.next {
		return errors.Wrapf(ErrStale, "snapshot is at %d, log starts at %d, records are applied through %d", at, r.oldestOffset, int64(r.next)-1)
	}
	var entries []Entry
	var rejected []Rejection
	for _, part := range parts {
		entries = append(entries, part.Entries...)
		rejected = append(rejected, part.Rejected...)
	}
	var loaded state
	var err error
	if loaded, err = buildState(entries, rejected); err != nil {
		return err
	}
	if err := loaded.checkNoDecrease(r.state); err != nil {
		return err
	}
	r.state, r.next, r.hasGap, r.incomplete = loaded, at+1, false, nil
	r.caughtUp = false // the records after the snapshot must still be applied
	r.outdated, r.changedAt = true, now
	return nil
}

// Snapshot returns the state as parts that each fit into one record. It returns nil
// if no record was applied or records are missing.
func (r *Resolver) Snapshot(id string) ([]Part, error) {
	if r.next == 0 || r.hasGap {
		return nil, nil
	}
	split := splitter{header: Part{Kind: KindSnapshot, ID: id, At: r.next - 1, Entries: []Entry{}}}
	for _, entry := range r.state.entries() {
		var last *Part
		var err error
		if last, err = split.partFor(entry); err != nil {
			return nil, err
		}
		last.Entries = append(last.Entries, entry)
	}
	for _, rejection := range r.state.rejections() {
		var last *Part
		var err error
		if last, err = split.partFor(rejection); err != nil {
			return nil, err
		}
		last.Rejected = append(last.Rejected, rejection)
	}
	if len(split.parts) == 0 {
		split.parts = []Part{split.header}
	}
	for i := range split.parts {
		split.parts[i].Part, split.parts[i].Parts = i, len(split.parts)
	}
	return split.parts, nil
}

// splitter divides the contents of a snapshot into parts.
type splitter struct {
	header Part
	parts  []Part
	size   int // upper bound of the size of the last part, in bytes
}

// partFor returns the last part, or a new one if the value doesn't fit into the last.
func (s *splitter) partFor(value any) (*Part, error) {
	var data []byte
	var err error
	if data, err = Encode(value); err != nil {
		return nil, err
	}
	if len(s.parts) == 0 || s.size+len(data)+1 > MaxRecordBytes {
		s.parts = append(s.parts, s.header)
		s.size = maxPartHeaderBytes
	}
	s.size += len(data) + 1
	return &s.parts[len(s.parts)-1], nil
}
