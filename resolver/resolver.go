package resolver

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// defaultMaxVerdicts is the default number of verdicts kept for queries by publishers. It
// covers more than a day of changes at the expected rate of 13,000 per day.
const defaultMaxVerdicts = 16384

// Errors returned by Apply for an inconsistent log.
var (
	ErrGap     = errors.New("log returned records with a gap between their offsets")
	ErrRewound = errors.New("log ends before an offset that was already applied")
)

// Outcome is the result of applying a record.
type Outcome struct {
	Offset           uint64
	Kind             Kind // empty if the record is neither a change nor a snapshot part
	ID               string
	Scope            string
	Verdict          Verdict // only for changes
	Changed          bool    // the record is a change and modified the state
	At               uint64  // offset of the snapshot that this record completes
	SnapshotComplete bool    // the record is the last missing part of a snapshot
	SnapshotLoaded   bool    // the state was replaced by the completed snapshot
	Err              error   // reason why the record is invalid or ignored
}

// Resolver applies the records of the configuration stream. Its zero value is ready
// for the first record. It is not safe for concurrent use.
type Resolver struct {
	MaxVerdicts int // number of verdicts to keep; 0 means 16384

	state        state
	next         uint64 // offset of the next record to apply
	hasGap       bool   // records from next up to oldestOffset were truncated before they were read
	oldestOffset uint64 // oldest offset in the log
	scanOffset   uint64 // if hasGap, the next offset to read in search of a snapshot
	caughtUp     bool   // the end of the log was reached
	incomplete   partialSnapshots
	verdicts     map[string]Verdict
	verdictOrder []string // ids in verdicts, the oldest first
	active       cowslipproxy.ActiveConfiguration
	outdated     bool // active must be rebuilt
	changedAt    time.Time
}

// Next returns the next offset to read from the log.
func (r *Resolver) Next() uint64 {
	if r.hasGap {
		return r.scanOffset
	}
	return r.next
}

// Ready reports whether the configuration is up to date: the reader has reached the
// end of the log or installed a snapshot of another daemon, and no record that it
// needs was truncated.
func (r *Resolver) Ready() bool { return r.caughtUp && !r.hasGap }

// HasGap reports whether the log was truncated beyond the applied records and no
// snapshot has closed the gap yet.
func (r *Resolver) HasGap() bool { return r.hasGap }

// OldestOffset returns the oldest offset in the log when it was last read.
func (r *Resolver) OldestOffset() uint64 { return r.oldestOffset }

// Apply applies a batch of entries that was read from offset Next. Call Next again
// before the next read, since loading a snapshot changes it.
func (r *Resolver) Apply(batch cowslipproxy.Batch, now time.Time) ([]Outcome, error) {
	r.init()
	if batch.Next < r.Next() {
		return nil, errors.Wrapf(ErrRewound, "log ends at %d, next offset to read is %d", batch.Next, r.Next())
	}
	r.detectTruncation(batch.First)
	var outcomes []Outcome
	for _, entry := range batch.Entries {
		if entry.Offset < r.Next() {
			continue
		}
		if entry.Offset > r.Next() {
			return outcomes, errors.Wrapf(ErrGap, "got offset %d, want %d", entry.Offset, r.Next())
		}
		outcome := r.applyEntry(entry, now)
		outcomes = append(outcomes, outcome)
		if outcome.SnapshotLoaded {
			return outcomes, nil // records after the offset of the snapshot must be read again
		}
	}
	if len(batch.Entries) == 0 && batch.Next <= r.Next() {
		r.caughtUp = true
	}
	return outcomes, nil
}

func (r *Resolver) init() {
	if r.state.scopes != nil {
		return
	}
	r.state = newState()
	r.verdicts = map[string]Verdict{}
	r.outdated = true
	if r.MaxVerdicts == 0 {
		r.MaxVerdicts = defaultMaxVerdicts
	}
}

// detectTruncation detects whether the log was truncated beyond the applied records.
// The oldest offset in the log is first.
func (r *Resolver) detectTruncation(first uint64) {
	r.oldestOffset = max(r.oldestOffset, first)
	if first > r.next && !r.hasGap {
		r.hasGap, r.caughtUp, r.scanOffset = true, false, first
		r.incomplete = nil // while there was no gap, applyPart discarded the entries of the parts
	}
	if r.hasGap {
		r.scanOffset = max(r.scanOffset, first)
	}
}

func (r *Resolver) applyEntry(entry cowslipproxy.Entry, now time.Time) Outcome {
	if r.hasGap {
		r.scanOffset = entry.Offset + 1
	} else {
		r.next = entry.Offset + 1
	}
	outcome := Outcome{Offset: entry.Offset}
	var header struct {
		Kind  Kind   `json:"kind"`
		ID    string `json:"id"`
		Scope string `json:"scope"`
	}
	if len(entry.Data) > MaxRecordBytes {
		outcome.Err = errors.Errorf("record of %d bytes exceeds the limit of %d", len(entry.Data), MaxRecordBytes)
		return outcome
	}
	if err := json.Unmarshal(entry.Data, &header); err != nil {
		outcome.Err = errors.Wrap(err, "record")
		return outcome
	}
	outcome.Kind, outcome.ID, outcome.Scope = header.Kind, header.ID, header.Scope
	switch header.Kind {
	case KindChange:
		r.applyChange(entry.Data, &outcome, now)
	case KindSnapshot:
		r.applyPart(entry.Data, &outcome, now)
	default:
		outcome.Kind = ""
		outcome.Err = errors.Errorf("kind: %q is not change or snapshot", header.Kind)
	}
	return outcome
}

func (r *Resolver) applyChange(data []byte, outcome *Outcome, now time.Time) {
	if r.hasGap {
		return // decided when it is read again after a snapshot was loaded
	}
	if outcome.ID == "" || len(outcome.ID) > 128 {
		outcome.Err = errors.Errorf("id: length of %d bytes is not between 1 and 128", len(outcome.ID))
		return
	}
	var change Change
	err := decoder.StrictJSON(data, &change)
	change.ID, change.Scope = outcome.ID, outcome.Scope
	previous := r.state.version(change.Scope)
	outcome.Verdict, outcome.Err = r.state.apply(change, err)
	if r.state.version(change.Scope) != previous {
		outcome.Changed = true
		r.outdated, r.changedAt = true, now
	}
	r.storeVerdict(outcome.ID, outcome.Verdict)
}

// storeVerdict stores the first verdict on an id.
func (r *Resolver) storeVerdict(id string, verdict Verdict) {
	if _, ok := r.verdicts[id]; ok {
		return
	}
	if len(r.verdictOrder) >= r.MaxVerdicts {
		delete(r.verdicts, r.verdictOrder[0])
		r.verdictOrder = r.verdictOrder[1:]
	}
	r.verdicts[id] = verdict
	r.verdictOrder = append(r.verdictOrder, id)
}

// Verdict returns the verdict on a change if it is still stored.
func (r *Resolver) Verdict(id string) (Verdict, bool) {
	if verdict, ok := r.verdicts[id]; ok {
		return verdict, true
	}
	verdict, ok := r.state.ids[id]
	return verdict, ok
}

// Version returns the version of a scope, or 0 if the scope never existed.
func (r *Resolver) Version(scope string) uint64 { return r.state.version(scope) }

// Body returns the active body of a scope, or nil.
func (r *Resolver) Body(scope string) json.RawMessage {
	if found, ok := r.state.scopes[scope]; ok {
		return found.Body
	}
	return nil
}

// ActiveConfiguration returns the active configuration. Its bases contain the version of
// each scope, including deleted scopes. Callers must not modify the result.
func (r *Resolver) ActiveConfiguration() cowslipproxy.ActiveConfiguration {
	r.init()
	if r.outdated {
		r.active = cowslipproxy.ActiveConfiguration{Configuration: r.state.configuration()}.Indexed()
		r.outdated = false
	}
	r.active.At = r.changedAt
	if r.next > 0 {
		r.active.Offset = r.next - 1
	}
	return r.active
}
