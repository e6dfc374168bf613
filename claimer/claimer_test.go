package claimer_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
)

func init() {
	// Flags on the command line override these defaults, since they are parsed later.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "200", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	retention   = 1000 * time.Minute
	keyLifetime = 900 * time.Minute
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// entry is a record in the simulated log.
type entry struct {
	at     time.Time
	record claimer.Record
}

// daemon is a simulated daemon whose clock is wrong by skew.
type daemon struct {
	*claimer.Claimer
	next int // index of the next log entry to read
	skew time.Duration
}

// attempt is a simulated attempt and its state.
type attempt struct {
	claimer.Attempt
	daemon     *daemon
	dispatched time.Time // zero if it was not dispatched
	state      string    // pending, dispatched, closing, ended
}

// confirmedClose is a close whose caller got the outcome refused.
type confirmedClose struct{ appendedAt, confirmedAt time.Time }

// allows reports whether a claim that was appended at the given time may run. If
// it was appended before the close, its key must have expired before the caller
// got the outcome; otherwise the close must have expired before the claim.
func (c confirmedClose) allows(claimAppendedAt time.Time) bool {
	if claimAppendedAt.After(c.appendedAt) {
		return claimAppendedAt.Sub(c.appendedAt) > keyLifetime
	}
	return c.confirmedAt.Sub(claimAppendedAt) > keyLifetime
}

// model simulates several daemons that share a log, which loses, delays and
// duplicates appends.
type model struct {
	now        time.Time
	lastID     int
	daemons    []*daemon
	log        []entry
	inFlight   []claimer.Record // records whose append is in flight
	attempts   []*attempt
	executed   map[string][]string         // executed claims, by key
	refused    map[string]bool             // claims whose callers got the outcome refused
	closed     map[string][]confirmedClose // confirmed closes, by key
	appendedAt map[string]time.Time        // time of the first append, by claim
}

func (m *model) daemon(t *rapid.T) *daemon { return rapid.SampledFrom(m.daemons).Draw(t, "daemon") }

func (m *model) spawn(t *rapid.T) *daemon {
	m.lastID++
	skew := time.Duration(rapid.IntRange(-24, 24).Draw(t, "skew")) * time.Minute
	return &daemon{Claimer: &claimer.Claimer{Incarnation: fmt.Sprintf("d%d", m.lastID), Partitions: 1, Retention: retention}, skew: skew}
}

func (m *model) clock(d *daemon) time.Time { return m.now.Add(d.skew) }

func (m *model) pickAttempt(t *rapid.T, state string) *attempt {
	var found []*attempt
	for _, a := range m.attempts {
		if a.state == state && slices.Contains(m.daemons, a.daemon) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		t.Skip("no attempt is " + state)
	}
	return rapid.SampledFrom(found).Draw(t, "attempt")
}

func (m *model) applyDecision(t *rapid.T, a *attempt, d claimer.Decision) {
	if d.Record != nil {
		m.inFlight = append(m.inFlight, *d.Record)
	}
	switch d.Verdict {
	case claimer.VerdictDispatch:
		a.state, a.dispatched = "dispatched", m.now
	case claimer.VerdictAnswer:
		a.state = "ended"
		require.NotEmpty(t, m.executed[a.Key.Text], "got an answer although nothing was executed")
	case claimer.VerdictFailed:
		a.state = "ended"
		m.refused[a.Claim] = m.refused[a.Claim] || d.Failure.Outcome == cowslipproxy.OutcomeRefused
	}
}

func (m *model) newAttempt(t *rapid.T) {
	m.lastID++
	text := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	d := m.daemon(t)
	a := &attempt{daemon: d, state: "pending", Attempt: claimer.Attempt{Claim: fmt.Sprintf("c%d", m.lastID), Customer: "oyo", Key: claimer.Key{Text: text}, Digest: claimer.Digest("POST", "/fees", []byte(text), 2)}}
	m.attempts = append(m.attempts, a)
	m.applyDecision(t, a, d.Begin(m.clock(d), a.Attempt))
}

// completeAll completes all appends in flight, lets a daemon read the whole log and
// resolves the daemon's pending attempts.
func (m *model) completeAll(t *rapid.T) {
	d := m.daemon(t)
	for _, record := range m.inFlight {
		m.append(record)
	}
	m.inFlight = nil
	for ; d.next < len(m.log); d.next++ {
		if e := m.log[d.next]; m.now.Sub(e.at) <= retention {
			m.inFlight = append(m.inFlight, d.Apply(m.clock(d), 0, e.at, []claimer.Record{e.record})...)
		}
	}
	for _, a := range m.attempts {
		if a.daemon == d && a.state == "pending" {
			m.applyDecision(t, a, d.Resolve(m.clock(d), a.Attempt))
		}
	}
}

func (m *model) refuse(t *rapid.T) {
	m.lastID++
	d := m.daemon(t)
	a := &attempt{daemon: d, state: "closing", Attempt: claimer.Attempt{Claim: fmt.Sprintf("c%d", m.lastID), Customer: "oyo", Key: claimer.Key{Text: "k1"}}}
	if decision := d.Close(m.clock(d), a.Attempt, cowslipproxy.ReasonOverLimit); decision.Record != nil {
		m.inFlight = append(m.inFlight, *decision.Record)
		m.attempts = append(m.attempts, a)
	}
}

func (m *model) confirmClose(t *rapid.T) {
	a := m.pickAttempt(t, "closing")
	d := a.daemon.Closed(m.clock(a.daemon), a.Attempt)
	m.applyDecision(t, a, d)
	if m.refused[a.Claim] && d.Failure.Reason == cowslipproxy.ReasonOverLimit && !m.appendedAt[a.Claim].IsZero() {
		m.closed["k1"] = append(m.closed["k1"], confirmedClose{m.appendedAt[a.Claim], m.now})
	}
}

func (m *model) completeAppend(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("no append is in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "record")
	record := m.inFlight[i]
	switch rapid.SampledFrom([]string{"once", "once", "again", "lost"}).Draw(t, "append") {
	case "again": // the confirmation is lost, so the record will be appended once more
		m.append(record)
	case "once":
		m.append(record)
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	case "lost":
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

func (m *model) append(record claimer.Record) {
	m.log = append(m.log, entry{m.now, record})
	if m.appendedAt[record.Claim].IsZero() {
		m.appendedAt[record.Claim] = m.now
	}
}

func (m *model) readLog(t *rapid.T) {
	d := m.daemon(t)
	for n := rapid.IntRange(1, 5).Draw(t, "entries"); d.next < len(m.log) && n > 0; d.next++ {
		e := m.log[d.next]
		if m.now.Sub(e.at) > retention {
			continue // truncated
		}
		m.inFlight = append(m.inFlight, d.Apply(m.clock(d), 0, e.at, []claimer.Record{e.record})...)
		n--
	}
}

func (m *model) resolve(t *rapid.T) {
	a := m.pickAttempt(t, "pending")
	m.applyDecision(t, a, a.daemon.Resolve(m.clock(a.daemon), a.Attempt))
}

func (m *model) abandon(t *rapid.T) {
	a := m.pickAttempt(t, "pending")
	d := a.daemon.Abandon(m.clock(a.daemon), a.Attempt, cowslipproxy.ReasonLogUnavailable)
	m.applyDecision(t, a, d)
	if a.state = "ended"; d.Verdict == claimer.VerdictAppend {
		m.refused[a.Claim] = true
		late := a.daemon.Resolve(m.clock(a.daemon), a.Attempt)
		require.NotEqual(t, claimer.VerdictDispatch, late.Verdict, "an abandoned attempt was dispatched")
	}
}

// execute runs a request at the upstream, possibly long after its dispatch.
func (m *model) execute(t *rapid.T) {
	a := m.pickAttempt(t, "dispatched")
	answer := claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 200}
	switch result := rapid.SampledFrom([]string{"done", "lost", "not started", "killed"}).Draw(t, "end"); {
	case result == "not started", m.now.Sub(a.dispatched) > keyLifetime-retention/10: // a pause of this length is excluded in the package documentation
		answer = claimer.Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: cowslipproxy.ReasonNoUpstream}
		m.refused[a.Claim] = true
	case result == "lost":
		answer = claimer.Answer{Outcome: cowslipproxy.OutcomeUnknown, Reason: cowslipproxy.ReasonUpstreamFailed}
		m.executed[a.Key.Text] = append(m.executed[a.Key.Text], a.Claim)
	default:
		m.executed[a.Key.Text] = append(m.executed[a.Key.Text], a.Claim)
		if result == "killed" {
			m.replace(t, a.daemon)
			return
		}
	}
	a.state = "ended"
	record := a.daemon.Finish(m.clock(a.daemon), a.Attempt, answer)
	if answer.Outcome == cowslipproxy.OutcomeUnknown {
		a.daemon.Forget(a.Attempt) // as when the append queue is full
		return
	}
	m.inFlight = append(m.inFlight, *record)
}

func (m *model) replace(t *rapid.T, d *daemon) { m.daemons[slices.Index(m.daemons, d)] = m.spawn(t) }

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1100).Draw(t, "minutes")) * time.Minute)
}

// rarely runs an action in one of eight calls, because the action ends attempts that
// the other actions need.
func rarely(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 7).Draw(t, "rare") == 0 {
			action(t)
		}
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	for key, executed := range m.executed {
		for i, claim := range executed {
			require.False(t, m.refused[claim], "claim %s of %s was executed and refused", claim, key)
			for _, other := range executed[:i] {
				require.Greater(t, m.appendedAt[claim].Sub(m.appendedAt[other]).Abs(), keyLifetime, "claims %s and %s of %s were both executed", other, claim, key)
			}
			for _, c := range m.closed[key] {
				require.True(t, c.allows(m.appendedAt[claim]), "claim %s of %s was executed although the key was closed", claim, key)
			}
		}
	}
	for _, d := range m.daemons {
		require.Zero(t, d.Counts().Violations)
	}
}

// Guards against dispatching a key twice and against refusing an attempt that is
// dispatched, under lost, late and duplicated appends, killed and paused daemons,
// wrong clocks and a truncated log.
func TestAtMostOnce(t *testing.T) {
	executed, refusals, closes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: epoch, executed: map[string][]string{}, refused: map[string]bool{}, closed: map[string][]confirmedClose{}, appendedAt: map[string]time.Time{}}
		m.daemons = []*daemon{m.spawn(t), m.spawn(t), m.spawn(t)}
		t.Repeat(map[string]func(*rapid.T){
			"send": m.newAttempt, "resend": m.newAttempt, "work": m.completeAll, "refuse": rarely(m.refuse), "confirm close": m.confirmClose,
			"land": m.completeAppend, "land more": m.completeAppend, "read": m.readLog, "read more": m.readLog, "resolve": m.resolve, "resolve more": m.resolve,
			"give up": rarely(m.abandon), "run": m.execute, "run more": m.execute,
			"kill": rarely(func(t *rapid.T) { m.replace(t, m.daemon(t)) }),
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "minutes")) * time.Minute)
			},
			"pass": rarely(m.advance),
			"":     m.checkInvariants,
		})
		for _, claims := range m.executed {
			executed += len(claims)
		}
		refusals, closes = refusals+len(m.refused), closes+len(m.closed["k1"])
	})
	t.Logf("%d executions, %d refusals, %d confirmed closes", executed, refusals, closes)
	require.Greater(t, min(executed, refusals, closes), 10, "the simulation must reach each of the states that it checks")
}

// Guards against replaying a customer's answer to another customer that uses the same
// key, and against accepting a key that is reused for another request.
func TestKeyScopeAndDigest(t *testing.T) {
	c := &claimer.Claimer{Incarnation: "d1"}
	key, err := claimer.ParseKey("cow1.d1.0123456789abcdef")
	require.NoError(t, err)
	first := claimer.Attempt{Claim: "c1", Customer: "oyo", Key: key, Digest: claimer.Digest("POST", "/fees", []byte("7"), 1)}
	require.Equal(t, claimer.VerdictDispatch, c.Begin(epoch, first).Verdict)
	require.Nil(t, c.Finish(epoch, first, claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Body: []byte("posted")}))
	retry, other, changed := first, first, first
	retry.Claim, other.Claim, changed.Claim = "c2", "c3", "c4"
	other.Customer = "kogi"
	changed.Digest = claimer.Digest("POST", "/fees", []byte("8"), 1)
	require.Equal(t, "posted", string(c.Begin(epoch, retry).Answer.Body))
	require.Equal(t, claimer.VerdictDispatch, c.Begin(epoch, other).Verdict)
	require.Equal(t, cowslipproxy.ReasonKeyReused, c.Begin(epoch, changed).Failure.Reason)
	require.Equal(t, claimer.VerdictForward, (&claimer.Claimer{Incarnation: "d2"}).Begin(epoch, retry).Verdict)
	c.Expire(epoch.Add(25 * time.Hour))
	require.Zero(t, c.Counts().Keys, "expired keys must be removed")
}

// Guards against accepting malformed keys, and against dispatching keys that are
// older than the retention.
func TestKeyValidation(t *testing.T) {
	for _, text := range []string{"", "a b", "é", "cow1.", "cow1.d1", "cow1.d1.short", "cow1.d/1.0123456789abcdef", string(make([]byte, 256))} {
		_, err := claimer.ParseKey(text)
		require.Error(t, err, "%q", text)
	}
	key, err := claimer.ParseKey("0190163d-8694-739b-aea5-966c26f8ad91") // created in June 2024
	require.NoError(t, err)
	d := (&claimer.Claimer{Incarnation: "d1"}).Begin(epoch, claimer.Attempt{Claim: "c1", Key: key})
	require.Equal(t, cowslipproxy.ReasonKeyExpired, d.Failure.Reason)
}
