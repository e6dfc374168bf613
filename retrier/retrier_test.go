package retrier_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against retry storms: retries and hedges that exceed a tenth of the
// requests plus MinPerSecond.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &retrier.Retrier{}
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				r.RecordRequest(now)
				requests++
			}
			for range rapid.IntRange(0, 20).Draw(t, "failures") {
				attempt := retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 1, Left: time.Minute}
				if r.Retry(now, attempt).Allowed {
					retries++
				}
				if r.Hedge(now, attempt) {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), 0.1*float64(requests)+2*now.Sub(start).Seconds()+2+1e-6)
		}
	})
}

// Guards against running a non-idempotent request twice, retrying without
// limit, and retries and hedges that are expected to end after the deadline.
func TestRetryRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &retrier.Retrier{MinPerSecond: 1e6, Seed: rapid.Uint64().Draw(t, "seed")}
		attempt := retrier.Attempt{
			Effect:     rapid.SampledFrom([]cowslipproxy.Effect{cowslipproxy.EffectRepeat, cowslipproxy.EffectOnce}).Draw(t, "effect"),
			NotStarted: rapid.Bool().Draw(t, "not started"),
			Number:     rapid.IntRange(1, 4).Draw(t, "tries"),
			Left:       time.Duration(rapid.IntRange(-10, 400).Draw(t, "left")) * time.Millisecond,
			Expected:   time.Duration(rapid.IntRange(0, 200).Draw(t, "expected")) * time.Millisecond,
		}
		safe := attempt.Effect == cowslipproxy.EffectRepeat || attempt.NotStarted
		decision := r.Retry(start, attempt)
		require.True(t, !decision.Allowed || safe && attempt.Number < 3 && decision.Delay+attempt.Expected <= attempt.Left)
		require.True(t, decision.Allowed || decision.Reason != "")
		if safe && attempt.Number < 3 && attempt.Left >= 50*time.Millisecond+attempt.Expected {
			require.True(t, decision.Allowed)
		}
		delay, ok := r.HedgeDelay(attempt, 50*time.Millisecond)
		require.True(t, !ok || attempt.Effect == cowslipproxy.EffectRepeat && delay+attempt.Expected <= attempt.Left)
		require.True(t, !r.Hedge(start, attempt) || attempt.Effect == cowslipproxy.EffectRepeat)
	})
}

// Guards against refusing every retry at low traffic, and against unused
// retries that accumulate over hours of low traffic.
func TestRetriesAtLowTraffic(t *testing.T) {
	r := &retrier.Retrier{}
	attempt := retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 1, Left: time.Minute}
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Minute)
		r.RecordRequest(now)
		require.True(t, r.Retry(now, attempt).Allowed)
	}
	later := start.Add(10 * time.Hour)
	count := 0
	for r.Retry(later, attempt).Allowed {
		count++
	}
	require.LessOrEqual(t, count, 2)
}

// Guards against requests that failed together and are all retried at the same time.
func TestBackoffJitter(t *testing.T) {
	r := &retrier.Retrier{MinPerSecond: 1e6}
	waits := map[time.Duration]bool{}
	for range 100 {
		wait := r.Retry(start, retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 2, Left: time.Minute}).Delay
		require.GreaterOrEqual(t, wait, 25*time.Millisecond)
		require.LessOrEqual(t, wait, 50*time.Millisecond)
		waits[wait] = true
	}
	require.Greater(t, len(waits), 90)
}

// Guards against granting the initial tokens again with each change of
// MinPerSecond: the retries of daemons then exceeded the budget when other daemons
// joined and left.
func TestMinimumChangeGrantsNoTokens(t *testing.T) {
	r := &retrier.Retrier{RetryRatio: 0.1, MinPerSecond: 10}
	attempt := retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 1, Left: time.Minute}
	retries := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r.SetMinPerSecond(now, float64(5+i%6))
		for range 20 {
			if r.Retry(now, attempt).Allowed {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 20, "more than the initial tokens and one second at 10 per second")
}

// Guards against default budgets where a deployment allows no retries at all.
func TestNoRetriesWithoutBudget(t *testing.T) {
	r := &retrier.Retrier{RetryRatio: retrier.NoneIfZero(0), MinPerSecond: retrier.NoneIfZero(0)}
	attempt := retrier.Attempt{Effect: cowslipproxy.EffectRepeat, Number: 1, Left: time.Minute}
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		r.RecordRequest(now)
		require.False(t, r.Retry(now, attempt).Allowed)
	}
}
