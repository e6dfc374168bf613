package resolver

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// remembered is the default number of verdicts that are kept for publishers that
// ask: more than one day of changes at the expected 13,000 a day.
const remembered = 16384

// Errors of Fold about the log itself.
var (
	ErrHole     = errors.New("log answered with a hole between its records")
	ErrWentBack = errors.New("log ends before an offset that was already folded")
)

// Outcome tells what Fold did with one record.
type Outcome struct {
	Offset  uint64
	Kind    Kind // empty for a record that is neither change nor snapshot
	ID      string
	Scope   string
	Verdict Verdict // of a change
	Changed bool    // the change came into force with this record
	At      uint64  // of the snapshot that this record completes
	Whole   bool    // the record completes a snapshot
	Loaded  bool    // the snapshot was loaded
	Err     error   // why a record is invalid or ignored
}

// Resolver folds the records of the configuration stream. Its zero value stands
// before the first record. It is not safe for concurrent use.
type Resolver struct {
	Remember int // verdicts to keep; 0 means 16384

	state     state
	next      uint64 // first offset that is not folded
	lost      bool   // records between next and floor were lost
	floor     uint64 // oldest offset that the log retains
	scan      uint64 // while lost: next offset to search for a snapshot
	caught    bool   // the end of the log was reached
	partial   partials
	verdicts  map[string]Verdict
	order     []string // ids in verdicts, the oldest first
	settled   cowslipproxy.Settled
	outdated  bool // settled must be built again
	changedAt time.Time
}

// Next returns the offset to read from.
func (r *Resolver) Next() uint64 {
	if r.lost {
		return r.scan
	}
	return r.next
}

// Ready reports whether the configuration is the one in force: the reader has
// reached the end of the log, or holds another daemon's snapshot, and no record
// that it needs was truncated.
func (r *Resolver) Ready() bool { return r.caught && !r.lost }

// Lost reports whether the log was truncated beyond the folded records and no
// snapshot has filled the gap yet.
func (r *Resolver) Lost() bool { return r.lost }

// Floor returns the oldest offset that the log retained when it was last read.
func (r *Resolver) Floor() uint64 { return r.floor }

// Fold folds a batch that was read from Next on. After it, read from Next again.
func (r *Resolver) Fold(batch cowslipproxy.Batch, now time.Time) ([]Outcome, error) {
	r.init()
	if batch.Next < r.Next() {
		return nil, errors.Wrapf(ErrWentBack, "found end %d, read through %d", batch.Next, r.Next())
	}
	r.truncate(batch.First)
	var outcomes []Outcome
	for _, entry := range batch.Entries {
		if entry.Offset < r.Next() {
			continue
		}
		if entry.Offset > r.Next() {
			return outcomes, errors.Wrapf(ErrHole, "found offset %d, accepted is %d", entry.Offset, r.Next())
		}
		outcome := r.foldEntry(entry, now)
		outcomes = append(outcomes, outcome)
		if outcome.Loaded {
			return outcomes, nil // the records after the snapshot's offset are read again
		}
	}
	if len(batch.Entries) == 0 && batch.Next <= r.Next() {
		r.caught = true
	}
	return outcomes, nil
}

func (r *Resolver) init() {
	if r.state.items != nil {
		return
	}
	r.state = newState()
	r.verdicts = map[string]Verdict{}
	r.outdated = true
	if r.Remember == 0 {
		r.Remember = remembered
	}
}

func (r *Resolver) truncate(first uint64) {
	r.floor = max(r.floor, first)
	if first > r.next && !r.lost {
		r.lost, r.caught, r.scan = true, false, first
		r.partial = nil // parts that were collected so far came without their entries
	}
	if r.lost {
		r.scan = max(r.scan, first)
	}
}

func (r *Resolver) foldEntry(entry cowslipproxy.Entry, now time.Time) Outcome {
	if r.lost {
		r.scan = entry.Offset + 1
	} else {
		r.next = entry.Offset + 1
	}
	outcome := Outcome{Offset: entry.Offset}
	var head struct {
		Kind  Kind   `json:"kind"`
		ID    string `json:"id"`
		Scope string `json:"scope"`
	}
	if len(entry.Data) > MaxRecord {
		outcome.Err = errors.Errorf("found a record of %d bytes, accepted is at most %d", len(entry.Data), MaxRecord)
		return outcome
	}
	if err := json.Unmarshal(entry.Data, &head); err != nil {
		outcome.Err = errors.Wrap(err, "record")
		return outcome
	}
	outcome.Kind, outcome.ID, outcome.Scope = head.Kind, head.ID, head.Scope
	switch head.Kind {
	case KindChange:
		r.foldChange(entry.Data, &outcome, now)
	case KindSnapshot:
		r.foldPart(entry.Data, &outcome, now)
	default:
		outcome.Kind = ""
		outcome.Err = errors.Errorf("kind: found %q, accepted are change and snapshot", head.Kind)
	}
	return outcome
}

func (r *Resolver) foldChange(data []byte, outcome *Outcome, now time.Time) {
	if r.lost {
		return // judged when it is read again after a snapshot was loaded
	}
	if outcome.ID == "" || len(outcome.ID) > 128 {
		outcome.Err = errors.Errorf("id: found %d bytes, accepted are 1 to 128", len(outcome.ID))
		return
	}
	var change Change
	err := decoder.StrictJSON(data, &change)
	change.ID, change.Scope = outcome.ID, outcome.Scope
	before := r.state.version(change.Scope)
	outcome.Verdict, outcome.Err = r.state.apply(change, err)
	if r.state.version(change.Scope) != before {
		outcome.Changed = true
		r.outdated, r.changedAt = true, now
	}
	r.remember(outcome.ID, outcome.Verdict)
}

// remember keeps the first verdict of an id.
func (r *Resolver) remember(id string, verdict Verdict) {
	if _, ok := r.verdicts[id]; ok {
		return
	}
	if len(r.order) >= r.Remember {
		delete(r.verdicts, r.order[0])
		r.order = r.order[1:]
	}
	r.verdicts[id] = verdict
	r.order = append(r.order, id)
}

// Verdict returns the verdict on a change if it is still remembered.
func (r *Resolver) Verdict(id string) (Verdict, bool) {
	if verdict, ok := r.verdicts[id]; ok {
		return verdict, true
	}
	verdict, ok := r.state.ids[id]
	return verdict, ok
}

// Version returns the version of a scope, 0 when it never existed.
func (r *Resolver) Version(scope string) uint64 { return r.state.version(scope) }

// Body returns the body of a scope that is in force, or nil.
func (r *Resolver) Body(scope string) json.RawMessage {
	if found, ok := r.state.items[scope]; ok {
		return found.Body
	}
	return nil
}

// Settled returns the configuration in force. Its bases are the versions by scope,
// deleted scopes included. Callers don't change what it holds.
func (r *Resolver) Settled() cowslipproxy.Settled {
	r.init()
	if r.outdated {
		r.settled = cowslipproxy.Settled{Configuration: r.state.configuration()}.Indexed()
		r.outdated = false
	}
	r.settled.At = r.changedAt
	if r.next > 0 {
		r.settled.Offset = r.next - 1
	}
	return r.settled
}
