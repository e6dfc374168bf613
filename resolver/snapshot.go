package resolver

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// maxPartials bounds the incomplete snapshots that a reader holds: daemons seldom
// append snapshots at the same time, and each takes several megabytes at full size.
const maxPartials = 4

// partHead is an upper bound of a part's bytes without its entries.
const partHead = 1 << 10

// ErrStale marks a snapshot that is older than what the reader needs.
var ErrStale = errors.New("snapshot is stale")

type partial struct {
	id    string
	at    uint64
	parts []*Part
	left  int
}

// partials holds incomplete snapshots, the oldest first.
type partials []*partial

// add returns all parts of the snapshot once the last one has come.
func (p *partials) add(part Part) []*Part {
	for i, found := range *p {
		if found.id != part.ID || found.at != part.At || len(found.parts) != part.Parts {
			continue
		}
		if found.parts[part.Part] != nil {
			return nil
		}
		found.parts[part.Part] = &part
		found.left--
		if found.left > 0 {
			return nil
		}
		*p = append((*p)[:i:i], (*p)[i+1:]...)
		return found.parts
	}
	if part.Parts == 1 {
		return []*Part{&part}
	}
	started := &partial{id: part.ID, at: part.At, parts: make([]*Part, part.Parts), left: part.Parts - 1}
	started.parts[part.Part] = &part
	*p = append(*p, started)
	if len(*p) > maxPartials {
		*p = (*p)[1:]
	}
	return nil
}

func (r *Resolver) foldPart(data []byte, outcome *Outcome, now time.Time) {
	var part Part
	if err := decoder.StrictJSON(data, &part); err != nil {
		outcome.Err = err
		return
	}
	if part.At >= outcome.Offset {
		outcome.Err = errors.Errorf("at: found %d, accepted is less than the record's offset %d", part.At, outcome.Offset)
		return
	}
	if !r.lost {
		part.Entries, part.Refused = nil, nil // a reader that has folded the records only needs to know that it is complete
	}
	whole := r.partial.add(part)
	if whole == nil {
		return
	}
	outcome.Whole, outcome.At = true, part.At
	if !r.lost {
		return
	}
	parts := make([]Part, 0, len(whole))
	for _, one := range whole {
		parts = append(parts, *one)
	}
	if outcome.Err = r.load(parts, now); outcome.Err == nil {
		outcome.Loaded = true
	}
}

// Install loads another daemon's snapshot, for a reader that is not ready.
// The reader is then ready, and folds the records after the snapshot's offset.
func (r *Resolver) Install(parts []Part, now time.Time) error {
	r.init()
	if err := checkParts(parts); err != nil {
		return err
	}
	if err := r.load(parts, now); err != nil {
		return err
	}
	r.caught = true
	return nil
}

func checkParts(parts []Part) error {
	if len(parts) == 0 {
		return errors.New("snapshot: found no part")
	}
	for i, part := range parts {
		if err := decoder.Check(&part); err != nil {
			return err
		}
		first := parts[0]
		if part.ID != first.ID || part.At != first.At || part.Parts != len(parts) || part.Part != i {
			return errors.Errorf("snapshot: found part %d of %d at place %d of %d", part.Part, part.Parts, i, len(parts))
		}
	}
	return nil
}

// load replaces the state by a snapshot that is at least as new as the log's start
// and as what was folded, and that takes no version back.
func (r *Resolver) load(parts []Part, now time.Time) error {
	at := parts[0].At
	if at+1 < r.floor || at+1 < r.next {
		return errors.Wrapf(ErrStale, "at %d, log starts at %d, folded through %d", at, r.floor, int64(r.next)-1)
	}
	var entries []Entry
	var refused []Refusal
	for _, part := range parts {
		entries = append(entries, part.Entries...)
		refused = append(refused, part.Refused...)
	}
	var loaded state
	var err error
	if loaded, err = load(entries, refused); err != nil {
		return err
	}
	if err := loaded.checkAfter(r.state); err != nil {
		return err
	}
	r.state, r.next, r.lost, r.partial = loaded, at+1, false, nil
	r.caught = false // the records after the snapshot are still to be folded
	r.outdated, r.changedAt = true, now
	return nil
}

// Snapshot returns the state in parts that fit into one record each, or nothing
// when no record was folded or records are missing.
func (r *Resolver) Snapshot(id string) ([]Part, error) {
	if r.next == 0 || r.lost {
		return nil, nil
	}
	split := splitter{head: Part{Kind: KindSnapshot, ID: id, At: r.next - 1, Entries: []Entry{}}}
	for _, entry := range r.state.entries() {
		var last *Part
		var err error
		if last, err = split.fit(entry); err != nil {
			return nil, err
		}
		last.Entries = append(last.Entries, entry)
	}
	for _, refusal := range r.state.refusals() {
		var last *Part
		var err error
		if last, err = split.fit(refusal); err != nil {
			return nil, err
		}
		last.Refused = append(last.Refused, refusal)
	}
	if len(split.parts) == 0 {
		split.parts = []Part{split.head}
	}
	for i := range split.parts {
		split.parts[i].Part, split.parts[i].Parts = i, len(split.parts)
	}
	return split.parts, nil
}

// splitter distributes the contents of a snapshot over parts.
type splitter struct {
	head  Part
	parts []Part
	size  int
}

// fit returns the part that has space for the value.
func (s *splitter) fit(value any) (*Part, error) {
	var data []byte
	var err error
	if data, err = Encode(value); err != nil {
		return nil, err
	}
	if len(s.parts) == 0 || s.size+len(data)+1 > MaxRecord {
		s.parts = append(s.parts, s.head)
		s.size = partHead
	}
	s.size += len(data) + 1
	return &s.parts[len(s.parts)-1], nil
}
