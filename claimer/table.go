package claimer

import (
	"encoding/hex"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// state is the state of a key after the records read so far.
type state struct {
	claim        string // id of the claim in effect, or the claim named by the close in effect
	owner        string
	digest       string    // raw bytes; empty if the key is closed
	at           time.Time // of the last claim or close of the key
	answer       *Answer
	pendingClose *Answer // of a close that was read while the claim was open
}

// released reports whether the claim provably did not run, so that the next claim
// takes effect.
func (s *state) released() bool {
	return s.digest != "" && s.answer != nil && s.answer.Outcome == cowslipproxy.OutcomeRefused
}

// close closes the key permanently.
func (s *state) close(answer *Answer) { s.digest, s.answer = "", answer }

// attemptDigest returns the digest of an attempt as raw bytes, which take half the
// memory of hexadecimal digits.
func attemptDigest(attempt Attempt) string { return decodeDigest(attempt.Digest) }

func decodeDigest(digest string) string {
	if raw, err := hex.DecodeString(digest); err == nil {
		return string(raw)
	}
	return digest
}

// queuedKey is a key in the expiry queue with the time at which it was queued.
type queuedKey struct {
	key scopedKey
	at  time.Time
}

// table holds the state of one partition.
type table struct {
	retention time.Duration
	keys      map[scopedKey]*state
	queue     []queuedKey // keys by time, for expiry
	bodies    []*state    // keys with a recorded body, the oldest first
	bytes     int         // size of the recorded bodies
	maxBytes  int         // limit of bytes
	latest    time.Time   // latest timestamp of the applied records
}

func newTable(retention time.Duration, maxBytes int) *table {
	return &table{retention: retention, maxBytes: maxBytes, keys: map[scopedKey]*state{}}
}

// keyLifetime returns the time for which a key is remembered.
func keyLifetime(retention time.Duration) time.Duration { return retention - retention/10 }

// find returns the state of the attempt's key, or nil if there is none or it is
// older than the retention.
func (t *table) find(attempt Attempt, now time.Time) *state {
	s := t.keys[newScopedKey(attempt.Customer, attempt.Key.Text)]
	if s == nil || now.Sub(s.at) > t.retention {
		return nil
	}
	return s
}

// apply applies one record with the log timestamp at. It reports whether the record
// is a claim that took effect.
func (t *table) apply(at time.Time, record Record) bool {
	if at.Before(t.latest) {
		at = t.latest // records are ordered by offset; the clock of the log may go back
	}
	t.latest = at
	key := newScopedKey(record.Customer, record.Key)
	s := t.keys[key]
	if s != nil && at.Sub(s.at) > keyLifetime(t.retention) {
		s = nil
	}
	switch record.Kind {
	case KindClaim:
		return t.applyClaim(key, s, at, record)
	case KindClose:
		t.applyClose(key, s, at, record)
	case KindOutcome:
		if s != nil {
			t.answer(s, record)
		}
	}
	return false
}

func (t *table) applyClaim(key scopedKey, s *state, at time.Time, record Record) bool {
	if s == nil || s.released() && s.claim != record.Claim {
		t.put(key, &state{claim: record.Claim, owner: record.Owner, digest: decodeDigest(record.Digest), at: at})
		return true
	}
	s.at = at
	return false
}

func (t *table) applyClose(key scopedKey, s *state, at time.Time, record Record) {
	if s == nil {
		t.put(key, &state{claim: record.Claim, owner: record.Owner, at: at, answer: record.Answer})
		return
	}
	s.at = at
	switch {
	case s.released(), s.answer == nil && s.claim == record.Claim && s.owner == record.Owner:
		s.close(record.Answer)
	case s.answer == nil:
		s.pendingClose = record.Answer
	}
}

func (t *table) put(key scopedKey, s *state) {
	_, queued := t.keys[key]
	t.keys[key] = s
	if !queued {
		t.queue = append(t.queue, queuedKey{key: key, at: s.at})
	}
}

// answer records the first answer from the owner of the claim.
func (t *table) answer(s *state, record Record) {
	if s.answer != nil || s.claim != record.Claim || s.owner != record.Owner {
		return
	}
	s.answer = record.Answer
	if s.pendingClose != nil && s.released() {
		s.close(s.pendingClose)
	}
	if len(s.answer.Body) == 0 {
		return
	}
	t.bytes += len(s.answer.Body)
	t.bodies = append(t.bodies, s)
	for t.bytes > t.maxBytes {
		t.evictBody()
	}
}

// evictBody frees the oldest recorded body. Retries then get the reason answer_lost.
func (t *table) evictBody() {
	s := t.bodies[0]
	t.bodies = t.bodies[1:]
	t.bytes -= len(s.answer.Body)
	stripped := *s.answer
	stripped.Body, stripped.Header, stripped.BodyOmitted = nil, nil, true
	s.answer = &stripped
}

// expire frees keys and bodies that are older than the retention.
func (t *table) expire(now time.Time) {
	for len(t.queue) > 0 && now.Sub(t.queue[0].at) > t.retention {
		first := t.queue[0]
		t.queue = t.queue[1:]
		switch s := t.keys[first.key]; {
		case s == nil:
		case now.Sub(s.at) > t.retention:
			delete(t.keys, first.key)
		default:
			t.queue = append(t.queue, queuedKey{key: first.key, at: s.at})
		}
	}
	for len(t.bodies) > 0 && now.Sub(t.bodies[0].at) > t.retention {
		t.evictBody()
	}
}
