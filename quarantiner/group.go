package quarantiner

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxGroupParts bounds a message to about 7 KB, with 16 crashes in the record.
const maxGroupParts = 512

// Group is a message with a record and further parts of prompts that have the same one. A crash
// concerns all parts of a prompt, which may be hundreds.
type Group struct {
	Record
	Parts []uint64 `json:"parts,omitempty"` // contents of the other fingerprints, which are of parts of prompts
}

// Check returns an error for the first invalid field.
func (g Group) Check() error {
	if err := g.Record.Check(); err != nil {
		return err
	}
	if len(g.Parts) > maxGroupParts {
		return errors.Errorf("parts: %d exceed the limit of %d", len(g.Parts), maxGroupParts)
	}
	return nil
}

// Records returns the records of all fingerprints.
func (g Group) Records() []Record {
	records := []Record{g.Record}
	for _, content := range g.Parts {
		record := g.Record
		record.RequestFingerprint = RequestFingerprint{Content: content, Part: true}
		records = append(records, record)
	}
	return records
}

// Members returns all fingerprints.
func (g Group) Members() (members []RequestFingerprint) {
	for _, record := range g.Records() {
		members = append(members, record.RequestFingerprint)
	}
	return members
}

// Key returns a short identifier of the members. That of a single one is the key of its fingerprint.
func (g Group) Key() string {
	if len(g.Parts) == 0 {
		return g.Record.Key()
	}
	digest := xxhash.New()
	for _, member := range g.Members() {
		_, _ = digest.WriteString(member.Key() + " ") // never fails, by the documentation of xxhash
	}
	return "group-" + strconv.FormatUint(digest.Sum64(), 16)
}

// GroupChange is a change of several fingerprints from the same state to the same record.
type GroupChange struct {
	Group
	Before, After State
	Local         bool // this daemon changed the records and must publish them
}

// GroupChanges groups changes, in the order of their first members.
func GroupChanges(changes []Change) (groups []GroupChange) {
	latest := map[string]int{} // index of the group that takes the next member, by what its members have in common
	for _, change := range changes {
		common := change.common()
		i, ok := latest[common]
		if ok && change.Part && len(groups[i].Parts) < maxGroupParts {
			groups[i].Parts = append(groups[i].Parts, change.Content)
			continue
		}
		if !ok || change.Part {
			latest[common] = len(groups)
		}
		groups = append(groups, GroupChange{Group{Record: change.Record}, change.Before, change.After, change.Local})
	}
	return groups
}

// common returns an identifier of all but the fingerprint.
func (c Change) common() string {
	var text strings.Builder
	fmt.Fprint(&text, c.Before, c.After, c.Local, c.Version, c.Time.UnixNano(), c.Term, c.Owner, c.Tried, c.Trials)
	for _, crash := range c.Crashes {
		fmt.Fprint(&text, " ", crash.Upstream, crash.Source, crash.Time.UnixNano(), crash.Alone)
	}
	return text.String()
}
