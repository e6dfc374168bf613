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

// fakeLog is an in-memory log that can be unavailable, lose replies and delay
// appends.
type fakeLog struct {
	mu          sync.Mutex
	entries     map[string][]cowslipproxy.Entry
	added       chan struct{}
	latency     time.Duration
	down        bool          // appends and reads fail
	loseReplies bool          // appends take effect but return an error
	appendDelay time.Duration // if positive, appends return an error and take effect after this time
	inFlight    map[string]int
	maxInFlight int // largest number of concurrent appends to a stream
	appends     int
}

func newFakeLog() *fakeLog {
	return &fakeLog{entries: map[string][]cowslipproxy.Entry{}, added: make(chan struct{}), inFlight: map[string]int{}, latency: 2 * time.Millisecond}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var down, loseReplies bool
	var appendDelay, latency time.Duration
	l.set(func() {
		l.appends++
		l.inFlight[stream]++
		l.maxInFlight = max(l.maxInFlight, l.inFlight[stream])
		down, loseReplies, appendDelay, latency = l.down, l.loseReplies, l.appendDelay, l.latency
	})
	defer l.set(func() { l.inFlight[stream]-- })
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(latency):
	}
	switch {
	case down:
		return 0, errors.New("the log is down")
	case appendDelay > 0:
		time.AfterFunc(appendDelay, func() { l.add(stream, data) })
		return 0, errors.New("the reply was lost")
	case loseReplies:
		l.add(stream, data)
		return 0, errors.New("the reply was lost")
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

// startCommitter runs a daemon's committer until the test ends or the returned
// function is called.
func startCommitter(t testing.TB, log cowslipproxy.Log, incarnation string) (*committer.Committer, func()) {
	c := &committer.Committer{
		Log: log, Claimer: &claimer.Claimer{Incarnation: incarnation, Partitions: 1},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Run(ctx) // always returns the context's error
	}()
	stop := func() { cancel(); <-ended }
	t.Cleanup(stop)
	return c, stop
}

func newAttempt(claim, key string) claimer.Attempt {
	return claimer.Attempt{Claim: claim, Customer: "oyo", Key: claimer.Key{Text: key}, Digest: claimer.Digest("POST", "/fees", []byte(key), -1)}
}

var doneAnswer = claimer.Answer{Outcome: cowslipproxy.OutcomeDone, Status: 201, Body: []byte("posted")}

// Guards against one append for each claim, and against two concurrent appends to a
// partition, which could reorder claims.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.latency = 50 * time.Millisecond
		c, stop := startCommitter(t, log, "d1")
		defer stop()
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() {
				attempt := newAttempt(fmt.Sprint("c", i), fmt.Sprint("k", i))
				require.Equal(t, claimer.VerdictDispatch, c.Claim(t.Context(), attempt).Verdict)
				require.NoError(t, c.Finish(t.Context(), attempt, doneAnswer))
			})
		}
		group.Wait()
		require.Equal(t, 1, log.maxInFlight)
		require.LessOrEqual(t, log.appends, 20)
	})
}

// Guards against a retry through another daemon that is dispatched again or doesn't
// get the answer.
func TestRetryThroughAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		first, stop1 := startCommitter(t, log, "d1")
		defer stop1()
		second, stop2 := startCommitter(t, log, "d2")
		defer stop2()
		attempt := newAttempt("c1", "k")
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), attempt).Verdict)
		time.AfterFunc(5*time.Second, func() { _ = first.Finish(context.Background(), attempt, doneAnswer) })
		begin := time.Now()
		d := second.Claim(t.Context(), newAttempt("c2", "k"))
		require.Equal(t, claimer.VerdictAnswer, d.Verdict)
		require.Equal(t, "posted", string(d.Answer.Body))
		require.Less(t, time.Since(begin), 6*time.Second)
	})
}

// Guards against treating an append as failed if only its reply was lost.
func TestLostReplyIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.loseReplies = true
		c, stop := startCommitter(t, log, "d1")
		defer stop()
		attempt := newAttempt("c1", "k")
		require.Equal(t, claimer.VerdictDispatch, c.Claim(t.Context(), attempt).Verdict)
		require.NoError(t, c.Finish(t.Context(), attempt, doneAnswer))
		require.EqualValues(t, 2, c.Counts().Resolved)
	})
}

// Guards against unbounded waits during an outage of the log, and against a claim
// that takes effect after its attempt was refused: its owner must never dispatch it
// and must append the outcome for retries.
func TestClaimsDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.appendDelay = 10 * time.Second
		first, stop1 := startCommitter(t, log, "d1")
		defer stop1()
		begin := time.Now()
		d := first.Claim(t.Context(), newAttempt("c1", "k"))
		require.Less(t, time.Since(begin), 4*time.Second)
		require.Equal(t, cowslipproxy.OutcomeRefused, d.Failure.Outcome)
		require.Equal(t, cowslipproxy.ReasonLogUnavailable, d.Failure.Reason)
		require.Positive(t, d.Failure.RetryAfter)
		log.set(func() { log.appendDelay = 0 })
		time.Sleep(30 * time.Second)
		second, stop2 := startCommitter(t, log, "d2")
		defer stop2()
		time.Sleep(time.Second)
		d = second.Claim(t.Context(), newAttempt("c2", "k"))
		requireSingleDispatch(t, d, first, second)
		log.set(func() { log.down = true })
		time.Sleep(30 * time.Second)
		for i := range 10 {
			first.Claim(t.Context(), newAttempt(fmt.Sprint("x", i), fmt.Sprint("x", i)))
		}
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), claimer.Attempt{Claim: "c3", Customer: "oyo", Key: claimer.Key{Text: "cow1.d1.r", Incarnation: "d1"}}).Verdict, "keys bound to an incarnation must not depend on the log")
		log.set(func() { log.down = false })
		time.Sleep(10 * time.Second)
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), newAttempt("c4", "k4")).Verdict)
	})
}

// requireSingleDispatch checks a retry with the key "k" whose first attempt was
// refused during an outage. If the close appended by the refusal took effect, no
// later attempt with the key is dispatched. If it was lost, the claim of the
// first attempt was withdrawn, and the retry is the only attempt that is dispatched.
func requireSingleDispatch(t *testing.T, retry claimer.Decision, first, second *committer.Committer) {
	require.Zero(t, first.Claimer.Counts().Dispatched, "the refused attempt was dispatched")
	if retry.Verdict != claimer.VerdictDispatch {
		require.Equal(t, cowslipproxy.OutcomeRefused, retry.Failure.Outcome)
		require.Zero(t, second.Claimer.Counts().Dispatched)
		require.Equal(t, cowslipproxy.OutcomeRefused, first.Claim(t.Context(), newAttempt("again", "k")).Failure.Outcome)
		return
	}
	require.NoError(t, second.Finish(t.Context(), newAttempt("c2", "k"), doneAnswer))
	for _, daemon := range []*committer.Committer{first, second} {
		again := daemon.Claim(t.Context(), newAttempt("again", "k"))
		require.Equal(t, claimer.VerdictAnswer, again.Verdict)
		require.Equal(t, "posted", string(again.Answer.Body))
	}
	require.Zero(t, first.Claimer.Counts().Dispatched)
	require.EqualValues(t, 1, second.Claimer.Counts().Dispatched)
}

// Guards against retries that wait too long for a daemon that is gone, and against
// refusing a key while a request with it runs.
func TestOwnerGoneAndRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		first, stop1 := startCommitter(t, log, "d1")
		second, stop2 := startCommitter(t, log, "d2")
		defer stop2()
		require.Equal(t, claimer.VerdictDispatch, first.Claim(t.Context(), newAttempt("c1", "k")).Verdict)
		stop1()
		overLimit := cowslipproxy.Refuse(cowslipproxy.ReasonOverLimit, "over the limit")
		require.Equal(t, cowslipproxy.OutcomeUnknown, second.Refuse(t.Context(), newAttempt("c2", "k"), overLimit).Failure.Outcome)
		begin := time.Now()
		require.Equal(t, cowslipproxy.ReasonDeadline, second.Claim(t.Context(), newAttempt("c3", "k")).Failure.Reason)
		require.LessOrEqual(t, time.Since(begin), committer.DefaultWaitTimeout+time.Second)
		second.OwnerGone = func(incarnation string) bool { return incarnation == "d1" }
		d := second.Claim(t.Context(), newAttempt("c4", "k"))
		require.Equal(t, cowslipproxy.OutcomeUnknown, d.Failure.Outcome)
		require.Equal(t, cowslipproxy.ReasonOwnerGone, d.Failure.Reason)
		require.Equal(t, cowslipproxy.ReasonOverLimit, second.Refuse(t.Context(), newAttempt("c5", "other"), overLimit).Failure.Reason)
		require.Equal(t, cowslipproxy.OutcomeRefused, second.Claim(t.Context(), newAttempt("c6", "other")).Failure.Outcome, "a closed key must never be dispatched")
	})
}
