package quarantiner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

// init sets a fixed seed, so that each run tests the same cases. Defects in
// Replicated showed only after thousands of checks, not hundreds.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "5000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// poisonRun is a run of the poison request on an upstream.
type poisonRun struct {
	daemon           int
	run              quarantiner.Run
	beforeFirstCrash bool // dispatched before the first crash
}

// message is a message with records in flight between daemons, or the reply to it.
type message struct {
	from, to    int
	sent, reply []quarantiner.Record
	isReply     bool
}

// model simulates daemons whose clocks differ, and a network that delays,
// duplicates and loses messages.
type model struct {
	t             *rapid.T
	now           time.Time
	daemons       []*quarantiner.Quarantiner
	skew          []time.Duration
	running       []poisonRun
	messages      []message
	unreported    []int // daemons with a failure that is not yet reported to the caller
	retries       int   // callers that got a failure and will retry
	crashes       int
	upstreamsLost int // crashed upstreams, except those crashed after the first by runs dispatched before it
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: epoch}
	var names []string
	for i := range rapid.IntRange(1, 4).Draw(t, "daemons") {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	for _, name := range names {
		q := &quarantiner.Quarantiner{Self: name}
		q.SetPeers(names)
		m.daemons = append(m.daemons, q)
		m.skew = append(m.skew, time.Duration(rapid.IntRange(-2, 2).Draw(t, "skew"))*time.Second)
	}
	for range rapid.IntRange(1, 4).Draw(t, "copies") {
		m.dispatch(m.pick("daemon"))
	}
	return m
}

func (m *model) pick(label string) int { return rapid.IntRange(0, len(m.daemons)-1).Draw(m.t, label) }

func (m *model) clock(daemon int) time.Time { return m.now.Add(m.skew[daemon]) }

func (m *model) dispatch(daemon int) bool {
	run, failure := m.daemons[daemon].Begin(m.clock(daemon), poison)
	if failure == nil {
		m.running = append(m.running, poisonRun{daemon, run, m.crashes == 0})
	}
	return failure == nil
}

// crash crashes one upstream that runs the poison request.
func (m *model) crash(*rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "copy")
	lost := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	if m.crashes == 0 || !lost.beforeFirstCrash {
		m.upstreamsLost++
	}
	m.crashes++
	q := m.daemons[lost.daemon]
	q.Crash(m.clock(lost.daemon), fmt.Sprint("upstream-", m.crashes), []quarantiner.RequestFingerprint{poison})
	q.End(m.clock(lost.daemon), lost.run, false)
	m.unreported = append(m.unreported, lost.daemon)
}

// reportFailure reports a failure to a caller, which will retry.
func (m *model) reportFailure(*rapid.T) {
	for i, daemon := range m.unreported {
		if m.daemons[daemon].Replicated(m.clock(daemon), poison) {
			m.unreported = append(m.unreported[:i], m.unreported[i+1:]...)
			m.retries++
			return
		}
	}
}

// redispatch dispatches the request again for a caller that has not been notified of
// the failure.
func (m *model) redispatch(*rapid.T) {
	if len(m.unreported) > 0 && m.dispatch(m.unreported[0]) {
		m.unreported = m.unreported[1:]
	}
}

// retry sends the request again through any daemon.
func (m *model) retry(*rapid.T) {
	if m.retries > 0 && m.dispatch(m.pick("daemon")) {
		m.retries--
	}
}

func (m *model) sendPending(*rapid.T) {
	from, to := m.pick("from"), m.pick("to")
	if records := m.daemons[from].Pending(m.clock(from), m.daemons[to].Self); from != to && len(records) > 0 {
		m.messages = append(m.messages, message{from: from, to: to, sent: records})
	}
}

// deliver delivers any message in flight, which may be delivered again later.
func (m *model) deliver(*rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[i]
	if !rapid.Bool().Draw(m.t, "repeat") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if msg.isReply {
		m.daemons[msg.from].HandleAck(m.clock(msg.from), m.daemons[msg.to].Self, msg.sent, msg.reply)
		return
	}
	msg.reply, msg.isReply = m.daemons[msg.to].Merge(m.clock(msg.to), msg.sent), true
	m.messages = append(m.messages, msg)
}

func (m *model) advanceClock(*rapid.T) { m.now = m.now.Add(time.Second) }

func (m *model) checkLosses(t *rapid.T) {
	if m.upstreamsLost > 2 {
		t.Fatalf("one fingerprint crashed %d upstreams", m.upstreamsLost)
	}
}

// Guards against one fingerprint that crashes more than two upstreams, under any
// interleaving of crashes, retries and delayed, duplicated or lost messages.
func TestAtMostTwoUpstreamsAreLost(t *testing.T) {
	reachedLimit := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"crash": m.crash, "tell": m.reportFailure, "replace": m.redispatch, "resend": m.retry, "push": m.sendPending,
			"deliver": m.deliver, "deliver more": m.deliver, "wait": m.advanceClock, "": m.checkLosses,
		})
		if m.upstreamsLost == 2 {
			reachedLimit++
		}
	})
	if reachedLimit == 0 {
		t.Fatal("no sequence crashed two upstreams, so the test is ineffective")
	}
	t.Logf("%d sequences crashed two upstreams", reachedLimit)
}

func BenchmarkBegin(b *testing.B) {
	q := &quarantiner.Quarantiner{Self: "a"}
	for i := range quarantiner.DefaultMaxEntries {
		q.Crash(epoch, "u1", []quarantiner.RequestFingerprint{{Customer: "hollins", Content: uint64(i)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, failure := q.Begin(epoch, poison); failure != nil {
			b.Fatal(failure)
		}
	}
}
