package quarantiner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxCrashes limits the crashes in a record. It exceeds each threshold, so that the
// crash of an upstream by a trial is recognized.
const maxCrashes = 16

// RequestFingerprint consists of a request's customer and a hash of its content. It
// doesn't include the idempotency key, since a caller may send the same content with
// another key. The customer is not hashed, so that no customer can cause requests of
// another one to be quarantined.
//
// A fingerprint may also be that of one part of prompts. It then has no customer, since
// requests of any customer with the part crash their upstreams.
type RequestFingerprint struct {
	Customer string `json:"customer"`
	Content  uint64 `json:"content"`
	Part     bool   `json:"part,omitempty"`
}

// Key returns a short identifier of the fingerprint for logs, operators and stores.
func (f RequestFingerprint) Key() string { return strconv.FormatUint(f.Content, 16) }

// PartFingerprint returns the fingerprint of a part of prompts for a service.
func PartFingerprint(service, part string) RequestFingerprint {
	return RequestFingerprint{Content: hashOf("part", service, part), Part: true}
}

// FingerprintOf returns the fingerprint of a request with the given parts of content.
func FingerprintOf(customer string, parts ...string) RequestFingerprint {
	return RequestFingerprint{Customer: customer, Content: hashOf(parts...)}
}

func hashOf(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // never fails, by the documentation of xxhash
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Crash is a crash of an upstream with the request in flight.
type Crash struct {
	Upstream string    `json:"upstream"` // identifies the incarnation: a restarted upstream is a different one
	Source   string    `json:"source"`   // incarnation of the daemon that observed the crash
	Time     time.Time `json:"time"`
	Alone    bool      `json:"alone,omitempty"` // no other suspect was in flight on the upstream
}

// Record is the replicated state of a fingerprint, which daemons exchange.
type Record struct {
	RequestFingerprint
	Version uint64    `json:"version"`           // incremented when the fingerprint is cleared or lifted
	Crashes []Crash   `json:"crashes,omitempty"` // the earliest crashes of distinct upstreams
	Time    time.Time `json:"time"`              // start of the version
	Term    uint64    `json:"term,omitempty"`    // incremented when another daemon takes over the suspect
	Owner   string    `json:"owner,omitempty"`   // daemon that took over the suspect
	Tried   int       `json:"tried,omitempty"`   // number of crashes when the first trial began; 0 if there was no trial
	Trials  int       `json:"trials,omitempty"`  // number of requests that were sent as trials
}

// Check returns an error for the first invalid field.
func (f RequestFingerprint) Check() error {
	if (f.Customer == "") != f.Part {
		return errors.Errorf("customer: %q; a part of prompts has none, a request has one", f.Customer)
	}
	return nil
}

// Check returns an error for the first invalid field.
func (r Record) Check() error {
	if err := r.RequestFingerprint.Check(); err != nil {
		return err
	}
	if len(r.Crashes) > maxCrashes {
		return errors.Errorf("crashes: %d exceed the limit of %d", len(r.Crashes), maxCrashes)
	}
	for i, crash := range r.Crashes {
		if crash.Upstream == "" || crash.Source == "" || crash.Time.IsZero() {
			return errors.Errorf("crashes[%d]: upstream, source or time is missing in %+v", i, crash)
		}
	}
	if r.Tried < 0 || r.Tried > maxCrashes {
		return errors.Errorf("tried: %d is not between 0 and %d", r.Tried, maxCrashes)
	}
	if r.Trials < 0 || (r.Trials == 0) != (r.Tried == 0) {
		return errors.Errorf("trials: %d doesn't match tried %d; both are 0, or neither is", r.Trials, r.Tried)
	}
	if (r.Term == 0) != (r.Owner == "") {
		return errors.Errorf("owner: %q doesn't match term %d; an owner is set if and only if the term is at least 1", r.Owner, r.Term)
	}
	if r.Version == 0 && len(r.Crashes) == 0 {
		return errors.New("crashes: missing; version 0 has at least one")
	}
	return nil
}

// merge merges two records of a fingerprint. The higher version wins; for equal
// versions the crashes are merged. It is commutative, associative and idempotent.
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
	a.Crashes = mergeCrashes(a.Crashes, b.Crashes)
	if a.Tried == 0 || b.Tried > 0 && b.Tried < a.Tried {
		a.Tried = b.Tried
	}
	a.Trials = max(a.Trials, b.Trials)
	return a
}

// mergeCrashes returns the earliest crash of each upstream, for the maxCrashes
// upstreams that crashed first. Later reports thus don't change the owner of a suspect.
func mergeCrashes(a, b []Crash) []Crash {
	crashes := slices.Concat(a, b)
	slices.SortFunc(crashes, Crash.compare)
	kept := crashes[:0]
	for _, crash := range crashes {
		if i := slices.IndexFunc(kept, crash.sameUpstream); i >= 0 {
			kept[i].Alone = kept[i].Alone || crash.Alone
			continue
		}
		if len(kept) < maxCrashes {
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

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	if r.Version != other.Version || r.Term != other.Term || r.Owner != other.Owner || r.Tried != other.Tried || r.Trials != other.Trials || !r.Time.Equal(other.Time) {
		return false
	}
	return slices.EqualFunc(r.Crashes, other.Crashes, func(a, b Crash) bool {
		return a.compare(b) == 0 && a.Alone == b.Alone
	})
}

// State determines how requests with a fingerprint are dispatched.
type State string

// States of a fingerprint.
const (
	StateClear       State = "clear"       // runs concurrently with other requests
	StateSuspect     State = "suspect"     // was in flight at a crash
	StateQuarantined State = "quarantined" // is refused
)

// stateAfter returns the state after a number of crashes.
func (q *Quarantiner) stateAfter(crashes int) State {
	switch {
	case crashes == 0:
		return StateClear
	case crashes < q.threshold():
		return StateSuspect
	default:
		return StateQuarantined
	}
}

// owner returns the incarnation of the daemon that may run a suspect.
func (r Record) owner() string {
	if len(r.Crashes) == 0 || r.Term > 0 {
		return r.Owner
	}
	return r.Crashes[0].Source
}

// failedTrials returns the crashes after the first trial began.
func (r Record) failedTrials() []Crash {
	if r.Tried == 0 {
		return nil
	}
	return r.Crashes[min(r.Tried, len(r.Crashes)):]
}

// lastEvent returns the time at which the TTL of the record starts: that of the last
// crash, or the start of the version if there is none.
func (r Record) lastEvent() time.Time {
	if len(r.Crashes) == 0 {
		return r.Time
	}
	return r.Crashes[len(r.Crashes)-1].Time
}
