package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// mostCrashes is the number of crashes that a record keeps. Two distinct
// upstreams quarantine a fingerprint, so that more tell nothing.
const mostCrashes = 2

// Print is the fingerprint of a request: its customer and its content, but not
// its key, since a caller may send the same content again under another key. The
// customer is held whole, so that no customer can get another's quarantined.
type Print struct {
	Customer string `json:"customer"`
	Content  uint64 `json:"content"`
}

// PrintOf returns the fingerprint of a request from the parts of its content.
func PrintOf(customer string, parts ...string) Print {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // never fails, by the documentation of xxhash
		_, _ = digest.Write([]byte{0})
	}
	return Print{Customer: customer, Content: digest.Sum64()}
}

// Crash is a crash of an upstream with the request in flight.
type Crash struct {
	Upstream string    `json:"upstream"` // names the incarnation: a restarted upstream is another one
	Source   string    `json:"source"`   // incarnation of the daemon that saw it
	Time     time.Time `json:"time"`
	Alone    bool      `json:"alone,omitempty"` // no other suspect was in flight there
}

// Record is what daemons exchange about one fingerprint.
type Record struct {
	Print
	Version uint64    `json:"version"`           // grows when the fingerprint is cleared or lifted
	Crashes []Crash   `json:"crashes,omitempty"` // the earliest of distinct upstreams
	Time    time.Time `json:"time"`              // when the version began
	Term    uint64    `json:"term,omitempty"`    // grows when another daemon takes over the suspect
	Owner   string    `json:"owner,omitempty"`   // daemon that took it over
}

// Check reports the first field that is out of range.
func (r Record) Check() error {
	if r.Customer == "" {
		return errors.New("customer: found nothing, accepted is a name")
	}
	if len(r.Crashes) > mostCrashes {
		return errors.Errorf("crashes: found %d, accepted are at most %d", len(r.Crashes), mostCrashes)
	}
	for i, crash := range r.Crashes {
		if crash.Upstream == "" || crash.Source == "" || crash.Time.IsZero() {
			return errors.Errorf("crashes[%d]: found %+v, accepted is a crash with upstream, source and time", i, crash)
		}
	}
	if (r.Term == 0) != (r.Owner == "") {
		return errors.Errorf("owner: found %q at term %d, accepted is a daemon from term 1", r.Owner, r.Term)
	}
	if r.Version == 0 && len(r.Crashes) == 0 {
		return errors.New("crashes: found none, accepted is at least one at version 0")
	}
	return nil
}

// merge joins two records of a fingerprint. The higher version wins; in one
// version the crashes are joined. It is commutative, associative and idempotent.
func merge(a, b Record) Record {
	if a.Version != b.Version {
		if a.Version > b.Version {
			return a
		}
		return b
	}
	if b.Time.Before(a.Time) {
		a.Time = b.Time
	}
	if b.Term > a.Term || (b.Term == a.Term && b.Owner < a.Owner) {
		a.Term, a.Owner = b.Term, b.Owner
	}
	a.Crashes = join(a.Crashes, b.Crashes)
	return a
}

// join keeps the earliest report for each upstream, and the earliest upstreams.
// The earliest decide, so that the daemon that owns a suspect doesn't change
// when a later report comes in.
func join(a, b []Crash) []Crash {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Crash.compare)
	kept := all[:0]
	for _, crash := range all {
		if i := slices.IndexFunc(kept, crash.sameUpstream); i >= 0 {
			kept[i].Alone = kept[i].Alone || crash.Alone
			continue
		}
		if len(kept) < mostCrashes {
			kept = append(kept, crash)
		}
	}
	return kept
}

func (c Crash) compare(other Crash) int {
	return cmp.Or(c.Time.Compare(other.Time), cmp.Compare(c.Source, other.Source), cmp.Compare(c.Upstream, other.Upstream))
}

func isAlone(c Crash) bool { return c.Alone }

func (c Crash) sameUpstream(other Crash) bool { return c.Upstream == other.Upstream }

func hasUpstream(crashes []Crash, upstream string) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.Upstream == upstream })
}

func (r Record) equal(other Record) bool {
	if r.Version != other.Version || r.Term != other.Term || r.Owner != other.Owner || !r.Time.Equal(other.Time) {
		return false
	}
	return slices.EqualFunc(r.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.compare(b) == 0 && a.Alone == b.Alone
	})
}

// State says how requests with a fingerprint are treated.
type State string

// States of a fingerprint.
const (
	StateClear       State = "clear"       // runs beside others
	StateSuspect     State = "suspect"     // runs alone, one run at a time
	StateQuarantined State = "quarantined" // doesn't run
)

// stateAfter returns the state after a number of crashes.
func stateAfter(crashes int) State {
	switch crashes {
	case 0:
		return StateClear
	case 1:
		return StateSuspect
	default:
		return StateQuarantined
	}
}

// owner returns the daemon that may run a suspect.
func (r Record) owner() string {
	if len(r.Crashes) == 0 || r.Term > 0 {
		return r.Owner
	}
	return r.Crashes[0].Source
}

// latest returns the time from which the record is held.
func (r Record) latest() time.Time {
	if len(r.Crashes) == 0 {
		return r.Time
	}
	return r.Crashes[len(r.Crashes)-1].Time
}
