package claimer

import (
	"encoding/hex"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// state is what the fold of a stream says about a key.
type state struct {
	claim   string // id of the claim that counts; of a close that won, the claim that it names
	owner   string
	digest  string    // raw; empty when the key is closed
	at      time.Time // of the last claim or close of the key
	answer  *Answer
	closing *Answer // of a close that came while the claim was open
}

// free reports whether the claim that counted provably did not run, so that the
// next claim counts.
func (s *state) free() bool {
	return s.digest != "" && s.answer != nil && s.answer.Outcome == cowslipproxy.OutcomeRefused
}

// close closes the key for good.
func (s *state) close(answer *Answer) { s.digest, s.answer = "", answer }

// digestOf returns the digest in the form that states keep, half as long as hex.
func digestOf(send Send) string { return rawDigest(send.Digest) }

func rawDigest(digest string) string {
	if raw, err := hex.DecodeString(digest); err == nil {
		return string(raw)
	}
	return digest
}

// dated is a key with the time of its state.
type dated struct {
	key scoped
	at  time.Time
}

// table is the fold of one partition.
type table struct {
	retention time.Duration
	keys      map[scoped]*state
	queue     []dated // keys by time, for expiry
	bodies    []*state
	bytes     int
	limit     int       // of bytes
	latest    time.Time // of the records folded
}

func newTable(retention time.Duration, limit int) *table {
	return &table{retention: retention, limit: limit, keys: map[scoped]*state{}}
}

// remembered is the time for which keys are remembered.
func remembered(retention time.Duration) time.Duration { return retention - retention/10 }

// find returns the state of the send's key, nil when there is none or it is past
// the retention.
func (t *table) find(send Send, now time.Time) *state {
	s := t.keys[scope(send.Customer, send.Key.Text)]
	if s == nil || now.Sub(s.at) > t.retention {
		return nil
	}
	return s
}

// fold folds one record that the log dates at. It reports whether the record is
// the claim that now counts.
func (t *table) fold(at time.Time, record Record) bool {
	if at.Before(t.latest) {
		at = t.latest // the log's order counts, not its clock
	}
	t.latest = at
	key := scope(record.Customer, record.Key)
	s := t.keys[key]
	if s != nil && at.Sub(s.at) > remembered(t.retention) {
		s = nil
	}
	switch record.Kind {
	case KindClaim:
		return t.foldClaim(key, s, at, record)
	case KindClose:
		t.foldClose(key, s, at, record)
	case KindOutcome:
		if s != nil {
			t.answer(s, record)
		}
	}
	return false
}

func (t *table) foldClaim(key scoped, s *state, at time.Time, record Record) bool {
	if s == nil || s.free() && s.claim != record.Claim {
		t.put(key, &state{claim: record.Claim, owner: record.Owner, digest: rawDigest(record.Digest), at: at})
		return true
	}
	s.at = at
	return false
}

func (t *table) foldClose(key scoped, s *state, at time.Time, record Record) {
	if s == nil {
		t.put(key, &state{claim: record.Claim, owner: record.Owner, at: at, answer: record.Answer})
		return
	}
	s.at = at
	switch {
	case s.free(), s.answer == nil && s.claim == record.Claim && s.owner == record.Owner:
		s.close(record.Answer)
	case s.answer == nil:
		s.closing = record.Answer
	}
}

func (t *table) put(key scoped, s *state) {
	_, queued := t.keys[key]
	t.keys[key] = s
	if !queued {
		t.queue = append(t.queue, dated{key: key, at: s.at})
	}
}

// answer records the first answer that the claim's own owner gives.
func (t *table) answer(s *state, record Record) {
	if s.answer != nil || s.claim != record.Claim || s.owner != record.Owner {
		return
	}
	s.answer = record.Answer
	if s.closing != nil && s.free() {
		s.close(s.closing)
	}
	if len(s.answer.Body) == 0 {
		return
	}
	t.bytes += len(s.answer.Body)
	t.bodies = append(t.bodies, s)
	for t.bytes > t.limit {
		t.dropBody()
	}
}

// dropBody frees the oldest recorded body; resends then learn that the answer is lost.
func (t *table) dropBody() {
	s := t.bodies[0]
	t.bodies = t.bodies[1:]
	t.bytes -= len(s.answer.Body)
	cut := *s.answer
	cut.Body, cut.Header, cut.Cut = nil, nil, true
	s.answer = &cut
}

// expire frees what is past the retention.
func (t *table) expire(now time.Time) {
	for len(t.queue) > 0 && now.Sub(t.queue[0].at) > t.retention {
		first := t.queue[0]
		t.queue = t.queue[1:]
		switch s := t.keys[first.key]; {
		case s == nil:
		case now.Sub(s.at) > t.retention:
			delete(t.keys, first.key)
		default:
			t.queue = append(t.queue, dated{key: first.key, at: s.at})
		}
	}
	for len(t.bodies) > 0 && now.Sub(t.bodies[0].at) > t.retention {
		t.dropBody()
	}
}
