package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
)

// Guards against prompt tokens that hide slow generation. If prompt tokens counted
// towards MaxTokenTime, the units would grow until an output token takes three times
// MaxTokenTime with two prompt tokens per output token, and responses would miss
// their deadlines.
func TestPromptTokensDoNotHideSlowGeneration(t *testing.T) {
	const count, step = 16, 60 * time.Millisecond
	q := &limiter.Queue{Units: count, MinUnits: 1, MaxUnits: 100, MaxTokenTime: 42 * time.Millisecond}
	now := time.Unix(1000, 0)
	enter := func() (running []*limiter.Ticket) {
		for range count {
			ticket, runs, failure := q.Enter(now, limiter.Request{Customer: cowslipproxy.Customer{Class: cowslipproxy.ClassCritical}, Tokens: 96, Deadline: now.Add(time.Hour)})
			require.Nil(t, failure)
			if runs {
				running = append(running, ticket)
			}
		}
		return running
	}
	running := enter()
	require.Len(t, running, count)
	for range 100 {
		now = now.Add(step)
		q.Token(now, count)
		q.Prompt(now, 2*count)
	}
	for _, ticket := range running {
		q.Leave(now, ticket, 96)
	}
	require.Less(t, len(enter()), count)
}

// Guards against refusals because of the first tokens, which come late while prompts are computed.
func TestFirstTokensDoNotDecideCapacity(t *testing.T) {
	const count, step, prefill = 16, 50 * time.Millisecond, 600 * time.Millisecond
	q := &limiter.Queue{Units: count, MinUnits: 1, MaxUnits: 100}
	start := time.Unix(1000, 0)
	var running []*limiter.Ticket
	for range 150 {
		ticket, runs, failure := q.Enter(start, limiter.Request{Customer: cowslipproxy.Customer{Class: cowslipproxy.ClassNormal}, Tokens: 50, Deadline: start.Add(time.Minute)})
		require.Nil(t, failure)
		if runs {
			running = append(running, ticket)
		}
	}
	for elapsed := step; elapsed < 3*time.Second; elapsed += step {
		now := start.Add(elapsed)
		if elapsed == prefill {
			q.Token(now, 1)
		} else if elapsed > prefill {
			q.Token(now, count)
		}
		for _, decision := range q.Expire(now) {
			require.Nil(t, decision.Failure, "after %v", elapsed)
		}
	}
	require.Len(t, running, count)
}
