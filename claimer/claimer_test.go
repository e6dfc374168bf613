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
	// Values on the command line replace these.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "200", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	retention  = 1000 * time.Minute
	remembered = 900 * time.Minute
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// entry is one record of the model's log.
type entry struct {
	at     time.Time
	record claimer.Record
}

// daemon is one daemon of the model with a wrong clock.
type daemon struct {
	*claimer.Claimer
	next int
	skew time.Duration
}

// send is one send of the model with what became of it.
type send struct {
	claimer.Send
	daemon     *daemon
	dispatched time.Time // zero when it was not
	state      string    // pending, dispatched, ended
}

// closing is a close whose sender was told refused.
type closing struct{ landed, told time.Time }

// allows reports whether a claim may have run that landed at the given time: when
// it landed before the close, the key must have been past its time when the
// sender was told, and else the close must have been past its own.
func (c closing) allows(claim time.Time) bool {
	if claim.After(c.landed) {
		return claim.Sub(c.landed) > remembered
	}
	return c.told.Sub(claim) > remembered
}

// machine is several daemons on one log that loses, delays and doubles appends.
type machine struct {
	now     time.Time
	count   int
	daemons []*daemon
	log     []entry
	flying  []claimer.Record // appends whose end is open
	sends   []*send
	runs    map[string][]string  // claims that ran, by key
	refused map[string]bool      // claims whose sends were told refused
	closed  map[string][]closing // confirmed closes, by key
	landed  map[string]time.Time // first landing, by claim
}

func (m *machine) daemon(t *rapid.T) *daemon { return rapid.SampledFrom(m.daemons).Draw(t, "daemon") }

func (m *machine) start(t *rapid.T) *daemon {
	m.count++
	skew := time.Duration(rapid.IntRange(-24, 24).Draw(t, "skew")) * time.Minute
	return &daemon{Claimer: &claimer.Claimer{Incarnation: fmt.Sprintf("d%d", m.count), Partitions: 1, Retention: retention}, skew: skew}
}

func (m *machine) clock(d *daemon) time.Time { return m.now.Add(d.skew) }

func (m *machine) pick(t *rapid.T, state string) *send {
	var found []*send
	for _, s := range m.sends {
		if s.state == state && slices.Contains(m.daemons, s.daemon) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		t.Skip("no send is " + state)
	}
	return rapid.SampledFrom(found).Draw(t, "send")
}

func (m *machine) settle(t *rapid.T, s *send, d claimer.Decision) {
	if d.Record != nil {
		m.flying = append(m.flying, *d.Record)
	}
	switch d.Verdict {
	case claimer.VerdictDispatch:
		s.state, s.dispatched = "dispatched", m.now
	case claimer.VerdictAnswer:
		s.state = "ended"
		require.NotEmpty(t, m.runs[s.Key.Text], "an answer without a run")
	case claimer.VerdictFailed:
		s.state = "ended"
		m.refused[s.Claim] = m.refused[s.Claim] || d.Failure.Outcome == cowslipproxy.OutcomeRefused
	}
}

func (m *machine) newSend(t *rapid.T) {
	m.count++
	text := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	d := m.daemon(t)
	s := &send{daemon: d, state: "pending", Send: claimer.Send{Claim: fmt.Sprintf("c%d", m.count), Customer: "oyo", Key: claimer.Key{Text: text}, Digest: claimer.Digest("POST", "/fees", []byte(text), 2)}}
	m.sends = append(m.sends, s)
	m.settle(t, s, d.Begin(m.clock(d), s.Send))
}

// work lets everything under way go right for a daemon's sends, up to the run.
func (m *machine) work(t *rapid.T) {
	d := m.daemon(t)
	for _, record := range m.flying {
		m.append(record)
	}
	m.flying = nil
	for ; d.next < len(m.log); d.next++ {
		if e := m.log[d.next]; m.now.Sub(e.at) <= retention {
			m.flying = append(m.flying, d.Fold(m.clock(d), 0, e.at, []claimer.Record{e.record})...)
		}
	}
	for _, s := range m.sends {
		if s.daemon == d && s.state == "pending" {
			m.settle(t, s, d.Resolve(m.clock(d), s.Send))
		}
	}
}

func (m *machine) refuse(t *rapid.T) {
	m.count++
	d := m.daemon(t)
	s := &send{daemon: d, state: "closing", Send: claimer.Send{Claim: fmt.Sprintf("c%d", m.count), Customer: "oyo", Key: claimer.Key{Text: "k1"}}}
	if decision := d.Close(m.clock(d), s.Send, cowslipproxy.ReasonOverLimit); decision.Record != nil {
		m.flying = append(m.flying, *decision.Record)
		m.sends = append(m.sends, s)
	}
}

func (m *machine) confirmClose(t *rapid.T) {
	s := m.pick(t, "closing")
	d := s.daemon.Closed(m.clock(s.daemon), s.Send)
	m.settle(t, s, d)
	if m.refused[s.Claim] && d.Failure.Reason == cowslipproxy.ReasonOverLimit && !m.landed[s.Claim].IsZero() {
		m.closed["k1"] = append(m.closed["k1"], closing{m.landed[s.Claim], m.now})
	}
}

func (m *machine) land(t *rapid.T) {
	if len(m.flying) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "record")
	record := m.flying[i]
	switch rapid.SampledFrom([]string{"once", "once", "again", "lost"}).Draw(t, "append") {
	case "again": // its answer is lost: it is appended once more
		m.append(record)
	case "once":
		m.append(record)
		m.flying = slices.Delete(m.flying, i, i+1)
	case "lost":
		m.flying = slices.Delete(m.flying, i, i+1)
	}
}

func (m *machine) append(record claimer.Record) {
	m.log = append(m.log, entry{m.now, record})
	if m.landed[record.Claim].IsZero() {
		m.landed[record.Claim] = m.now
	}
}

func (m *machine) read(t *rapid.T) {
	d := m.daemon(t)
	for n := rapid.IntRange(1, 5).Draw(t, "entries"); d.next < len(m.log) && n > 0; d.next++ {
		e := m.log[d.next]
		if m.now.Sub(e.at) > retention {
			continue // truncated
		}
		m.flying = append(m.flying, d.Fold(m.clock(d), 0, e.at, []claimer.Record{e.record})...)
		n--
	}
}

func (m *machine) resolve(t *rapid.T) {
	s := m.pick(t, "pending")
	m.settle(t, s, s.daemon.Resolve(m.clock(s.daemon), s.Send))
}

func (m *machine) giveUp(t *rapid.T) {
	s := m.pick(t, "pending")
	d := s.daemon.GiveUp(m.clock(s.daemon), s.Send, cowslipproxy.ReasonLogUnavailable)
	m.settle(t, s, d)
	if s.state = "ended"; d.Verdict == claimer.VerdictAppend {
		m.refused[s.Claim] = true
		late := s.daemon.Resolve(m.clock(s.daemon), s.Send)
		require.NotEqual(t, claimer.VerdictDispatch, late.Verdict, "a send that was given up")
	}
}

// run is the upstream's work, which may come long after the dispatch.
func (m *machine) run(t *rapid.T) {
	s := m.pick(t, "dispatched")
	answer := claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 200}
	switch how := rapid.SampledFrom([]string{"done", "lost", "not started", "killed"}).Draw(t, "end"); {
	case how == "not started", m.now.Sub(s.dispatched) > remembered-retention/10: // the pause that the package doc excludes
		answer = claimer.Answer{Outcome: cowslipproxy.OutcomeRefused, Reason: cowslipproxy.ReasonNoUpstream}
		m.refused[s.Claim] = true
	case how == "lost":
		answer = claimer.Answer{Outcome: cowslipproxy.OutcomeUnknown, Reason: cowslipproxy.ReasonUpstreamFailed}
		m.runs[s.Key.Text] = append(m.runs[s.Key.Text], s.Claim)
	default:
		m.runs[s.Key.Text] = append(m.runs[s.Key.Text], s.Claim)
		if how == "killed" {
			m.replace(t, s.daemon)
			return
		}
	}
	s.state = "ended"
	record := s.daemon.Finish(m.clock(s.daemon), s.Send, answer)
	if answer.Outcome == cowslipproxy.OutcomeUnknown {
		s.daemon.Forget(s.Send) // the queue for the log was full
		return
	}
	m.flying = append(m.flying, *record)
}

func (m *machine) replace(t *rapid.T, d *daemon) { m.daemons[slices.Index(m.daemons, d)] = m.start(t) }

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1100).Draw(t, "minutes")) * time.Minute)
}

// rare keeps actions from hiding the others by ending everything.
func rare(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 7).Draw(t, "rare") == 0 {
			action(t)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	for key, runs := range m.runs {
		for i, claim := range runs {
			require.False(t, m.refused[claim], "claim %s of %s ran and was refused", claim, key)
			for _, other := range runs[:i] {
				require.Greater(t, m.landed[claim].Sub(m.landed[other]).Abs(), remembered, "claims %s and %s of %s ran", other, claim, key)
			}
			for _, c := range m.closed[key] {
				require.True(t, c.allows(m.landed[claim]), "claim %s of %s ran though the key was closed", claim, key)
			}
		}
	}
	for _, d := range m.daemons {
		require.Zero(t, d.Counts().Violations)
	}
}

// Guards against a second dispatch of a key and against a refusal of a send that
// is dispatched, with lost, late and doubled appends, kills, pauses, wrong clocks
// and a log that was truncated.
func TestAtMostOnce(t *testing.T) {
	runs, refusals, closes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: epoch, runs: map[string][]string{}, refused: map[string]bool{}, closed: map[string][]closing{}, landed: map[string]time.Time{}}
		m.daemons = []*daemon{m.start(t), m.start(t), m.start(t)}
		t.Repeat(map[string]func(*rapid.T){
			"send": m.newSend, "resend": m.newSend, "work": m.work, "refuse": rare(m.refuse), "confirm close": m.confirmClose,
			"land": m.land, "land more": m.land, "read": m.read, "read more": m.read, "resolve": m.resolve, "resolve more": m.resolve,
			"give up": rare(m.giveUp), "run": m.run, "run more": m.run,
			"kill": rare(func(t *rapid.T) { m.replace(t, m.daemon(t)) }),
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "minutes")) * time.Minute)
			},
			"pass": rare(m.pass),
			"":     m.check,
		})
		for _, claims := range m.runs {
			runs += len(claims)
		}
		refusals, closes = refusals+len(m.refused), closes+len(m.closed["k1"])
	})
	t.Logf("%d runs, %d refusals, %d confirmed closes", runs, refusals, closes)
	require.Greater(t, min(runs, refusals, closes), 10, "the machine must reach the states that it guards")
}

// Guards against one customer's key being answered with another's outcome, and
// against a key that is reused for another request.
func TestScopeAndDigest(t *testing.T) {
	c := &claimer.Claimer{Incarnation: "d1"}
	key, err := claimer.ParseKey("cow1.d1.0123456789abcdef")
	require.NoError(t, err)
	first := claimer.Send{Claim: "c1", Customer: "oyo", Key: key, Digest: claimer.Digest("POST", "/fees", []byte("7"), 1)}
	require.Equal(t, claimer.VerdictDispatch, c.Begin(epoch, first).Verdict)
	require.Nil(t, c.Finish(epoch, first, claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Body: []byte("posted")}))
	resend, other, changed := first, first, first
	resend.Claim, other.Claim, changed.Claim = "c2", "c3", "c4"
	other.Customer = "kogi"
	changed.Digest = claimer.Digest("POST", "/fees", []byte("8"), 1)
	require.Equal(t, "posted", string(c.Begin(epoch, resend).Answer.Body))
	require.Equal(t, claimer.VerdictDispatch, c.Begin(epoch, other).Verdict)
	require.Equal(t, cowslipproxy.ReasonKeyReused, c.Begin(epoch, changed).Failure.Reason)
	require.Equal(t, claimer.VerdictForward, (&claimer.Claimer{Incarnation: "d2"}).Begin(epoch, resend).Verdict)
	c.Expire(epoch.Add(25 * time.Hour))
	require.Zero(t, c.Counts().Keys, "expired keys must free their memory")
}

// Guards against malformed keys in the log and against aged keys that run again.
func TestKeys(t *testing.T) {
	for _, text := range []string{"", "a b", "é", "cow1.", "cow1.d1", "cow1.d1.short", "cow1.d/1.0123456789abcdef", string(make([]byte, 256))} {
		_, err := claimer.ParseKey(text)
		require.Error(t, err, "%q", text)
	}
	key, err := claimer.ParseKey("0190163d-8694-739b-aea5-966c26f8ad91") // made in June 2024
	require.NoError(t, err)
	d := (&claimer.Claimer{Incarnation: "d1"}).Begin(epoch, claimer.Send{Claim: "c1", Key: key})
	require.Equal(t, cowslipproxy.ReasonKeyExpired, d.Failure.Reason)
}
