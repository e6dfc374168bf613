package committer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/committer"
)

// fakeLog is a log in memory that can be down, lose answers and land appends late.
type fakeLog struct {
	mu       sync.Mutex
	entries  map[string][]cowslipproxy.Entry
	added    chan struct{}
	latency  time.Duration
	down     bool          // appends and reads fail
	lose     bool          // appends take effect and their answers are lost
	late     time.Duration // appends fail and take effect after this time
	flying   map[string]int
	most     int // appends in flight of one stream
	attempts int
}

func newLog() *fakeLog {
	return &fakeLog{entries: map[string][]cowslipproxy.Entry{}, added: make(chan struct{}), flying: map[string]int{}, latency: 2 * time.Millisecond}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var down, lose bool
	var late, latency time.Duration
	l.set(func() {
		l.attempts++
		l.flying[stream]++
		l.most = max(l.most, l.flying[stream])
		down, lose, late, latency = l.down, l.lose, l.late, l.latency
	})
	defer l.set(func() { l.flying[stream]-- })
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(latency):
	}
	switch {
	case down:
		return 0, errors.New("the log is down")
	case late > 0:
		time.AfterFunc(late, func() { l.add(stream, data) })
		return 0, errors.New("the answer was lost")
	case lose:
		l.add(stream, data)
		return 0, errors.New("the answer was lost")
	}
	return l.add(stream, data), nil
}

func (l *fakeLog) add(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.entries[stream]))
	l.entries[stream] = append(l.entries[stream], cowslipproxy.Entry{Offset: offset, Time: time.Now(), Data: data})
	close(l.added)
	l.added = make(chan struct{})
	return offset
}

func (l *fakeLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (cowslipproxy.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var entries []cowslipproxy.Entry
		var added chan struct{}
		var down bool
		l.set(func() { entries, added, down = l.entries[stream][from:], l.added, l.down })
		if down {
			return cowslipproxy.Batch{}, errors.New("the log is down")
		}
		if len(entries) > 0 {
			return cowslipproxy.Batch{Next: from + uint64(len(entries)), Entries: entries}, nil
		}
		select {
		case <-added:
		case <-timer.C:
			return cowslipproxy.Batch{Next: from}, nil
		case <-ctx.Done():
			return cowslipproxy.Batch{}, ctx.Err()
		}
	}
}

// start runs a daemon's committer until the test or the returned function ends.
func start(t testing.TB, log cowslipproxy.Log, incarnation string) (*committer.Committer, func()) {
	c := &committer.Committer{
		Log: log, Claimer: &claimer.Claimer{Incarnation: incarnation, Partitions: 1},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Run(ctx) // ends with the context's error
	}()
	stop := func() { cancel(); <-ended }
	t.Cleanup(stop)
	return c, stop
}

func newSend(claim, key string) claimer.Send {
	return claimer.Send{Claim: claim, Customer: "oyo", Key: claimer.Key{Text: key}, Digest: claimer.Digest("POST", "/fees", []byte(key), -1)}
}

var done = claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 201, Body: []byte("posted")}

// Guards against claims that each cost an append, and against two appends of a
// partition in flight, with which a claim could overtake another.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		log.latency = 50 * time.Millisecond
		c, stop := start(t, log, "d1")
		defer stop()
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() {
				s := newSend(fmt.Sprint("c", i), fmt.Sprint("k", i))
				require.Equal(t, claimer.VerdictDispatch, c.Claim(t.Context(), s).Verdict)
				require.NoError(t, c.Finish(t.Context(), s, done))
			})
		}
		group.Wait()
		require.Equal(t, 1, log.most)
		require.LessOrEqual(t, log.attempts, 20)
	})
}

// Guards against a resend through another daemon that runs again or loses the answer.
func TestResendThroughAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		first, stop1 := start(t, log, "d1")
		defer stop1()
		second, stop2 := start(t, log, "d2")
		defer stop2()
		s := newSend("c1", "k")
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), s).Verdict)
		time.AfterFunc(5*time.Second, func() { _ = first.Finish(context.Background(), s, done) })
		begin := time.Now()
		d := second.Claim(t.Context(), newSend("c2", "k"))
		require.Equal(t, claimer.VerdictAnswer, d.Verdict)
		require.Equal(t, "posted", string(d.Answer.Body))
		require.Less(t, time.Since(begin), 6*time.Second)
	})
}

// Guards against a lost answer of an append that is taken for a lost append.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		log.lose = true
		c, stop := start(t, log, "d1")
		defer stop()
		s := newSend("c1", "k")
		require.Equal(t, claimer.VerdictDispatch, c.Claim(t.Context(), s).Verdict)
		require.NoError(t, c.Finish(t.Context(), s, done))
		require.EqualValues(t, 2, c.Counts().Resolved)
	})
}

// Guards against unbounded waits in an outage, and against a claim that takes
// effect after its send was refused: its owner must never dispatch it and must
// tell resends.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		log.late = 10 * time.Second
		first, stop1 := start(t, log, "d1")
		defer stop1()
		begin := time.Now()
		d := first.Claim(t.Context(), newSend("c1", "k"))
		require.Less(t, time.Since(begin), 4*time.Second)
		require.Equal(t, cowslipproxy.OutcomeRefused, d.Failure.Outcome)
		require.Equal(t, cowslipproxy.ReasonLogUnavailable, d.Failure.Reason)
		require.Positive(t, d.Failure.RetryAfter)
		log.set(func() { log.late = 0 })
		time.Sleep(30 * time.Second)
		second, stop2 := start(t, log, "d2")
		defer stop2()
		time.Sleep(time.Second)
		d = second.Claim(t.Context(), newSend("c2", "k"))
		requireOneEffect(t, d, first, second)
		log.set(func() { log.down = true })
		time.Sleep(30 * time.Second)
		for i := range 10 {
			first.Claim(t.Context(), newSend(fmt.Sprint("x", i), fmt.Sprint("x", i)))
		}
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), claimer.Send{Claim: "c3", Customer: "oyo", Key: claimer.Key{Text: "cow1.d1.r", Incarnation: "d1"}}).Verdict, "incarnation keys need no log")
		log.set(func() { log.down = false })
		time.Sleep(10 * time.Second)
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), newSend("c4", "k4")).Verdict)
	})
}

// requireOneEffect checks a resend of the key "k" whose first send was refused
// in an outage. If the close that the refusal appended took effect, no send of
// the key runs any more. If it was lost, the first send withdrew its claim, and
// the resend runs; then it is the only one that ever does.
func requireOneEffect(t *testing.T, resend claimer.Decision, first, second *committer.Committer) {
	require.Zero(t, first.Claimer.Counts().Dispatched, "the refused send ran")
	if resend.Verdict != claimer.VerdictDispatch {
		require.Equal(t, cowslipproxy.OutcomeRefused, resend.Failure.Outcome)
		require.Zero(t, second.Claimer.Counts().Dispatched)
		require.Equal(t, cowslipproxy.OutcomeRefused, first.Claim(t.Context(), newSend("again", "k")).Failure.Outcome)
		return
	}
	require.NoError(t, second.Finish(t.Context(), newSend("c2", "k"), done))
	for _, daemon := range []*committer.Committer{first, second} {
		again := daemon.Claim(t.Context(), newSend("again", "k"))
		require.Equal(t, claimer.VerdictAnswer, again.Verdict)
		require.Equal(t, "posted", string(again.Answer.Body))
	}
	require.Zero(t, first.Claimer.Counts().Dispatched)
	require.EqualValues(t, 1, second.Claimer.Counts().Dispatched)
}

// Guards against resends that hang on a daemon that is gone, and against a
// refusal of a key that runs.
func TestOwnerGoneAndRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog()
		first, stop1 := start(t, log, "d1")
		second, stop2 := start(t, log, "d2")
		defer stop2()
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), newSend("c1", "k")).Verdict)
		stop1()
		limit := cowslipproxy.Refuse(cowslipproxy.ReasonOverLimit, "over the limit")
		require.Equal(t, cowslipproxy.OutcomeUnknown, second.Refuse(t.Context(), newSend("c2", "k"), limit).Failure.Outcome)
		begin := time.Now()
		require.Equal(t, cowslipproxy.ReasonDeadline, second.Claim(t.Context(), newSend("c3", "k")).Failure.Reason)
		require.LessOrEqual(t, time.Since(begin), committer.DefaultHold+time.Second)
		second.Gone = func(incarnation string) bool { return incarnation == "d1" }
		d := second.Claim(t.Context(), newSend("c4", "k"))
		require.Equal(t, cowslipproxy.OutcomeUnknown, d.Failure.Outcome)
		require.Equal(t, cowslipproxy.ReasonOwnerGone, d.Failure.Reason)
		require.Equal(t, cowslipproxy.ReasonOverLimit, second.Refuse(t.Context(), newSend("c5", "other"), limit).Failure.Reason)
		require.Equal(t, cowslipproxy.OutcomeRefused, second.Claim(t.Context(), newSend("c6", "other")).Failure.Outcome, "a closed key never runs")
	})
}
