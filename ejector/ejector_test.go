package ejector_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/ejector"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func group(e *ejector.Ejector, size int) []string {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprint("vm-", i))
		e.Add(names[i], "scribe [0,20)")
	}
	return names
}

// Guards against all peers with a live connection being ejected at once, and
// against more than half of them being ejected by time or failures.
func TestNeverAllEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &ejector.Ejector{}
		names := group(e, rapid.IntRange(1, 8).Draw(t, "peers"))
		down, now := map[string]bool{}, start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			event := rapid.SampledFrom([]string{"failure", "failure", "slow", "fast", "broken", "connected", "begin"}).Draw(t, "event")
			happen(e, event, name, now, down)
			serving, out := 0, 0
			for _, state := range e.Dump() {
				if !state.Ejected {
					serving++
					require.True(t, e.Usable(state.Name, now))
				} else if !down[state.Name] {
					out++
				}
			}
			alive := len(names) - len(down)
			require.True(t, alive == 0 || serving > 0, "none of %d peers with a connection serves", alive)
			require.LessOrEqual(t, 2*out, alive)
		}
	})
}

// happen applies an event and keeps which connections are down.
func happen(e *ejector.Ejector, event, name string, now time.Time, down map[string]bool) {
	answer := func(took time.Duration) {
		// An answer to a probe proves that the connection stands.
		if changes := e.Success(name, now, cowslipproxy.StepDecode, took); len(changes) > 0 && !changes[0].Ejected {
			delete(down, name)
		}
	}
	switch event {
	case "failure":
		e.Failure(name, now)
	case "slow":
		for range 10 {
			answer(time.Second)
		}
	case "fast":
		answer(10 * time.Millisecond)
	case "broken":
		e.Broken(name, now)
		down[name] = true
	case "connected":
		e.Connected(name, now)
		delete(down, name)
	case "begin":
		e.Begin(name, now)
	}
}

// Guards against a flapping upstream that comes back at once each time, and
// against one that stays out for long after it was healthy again.
func TestFlapping(t *testing.T) {
	e := &ejector.Ejector{}
	names := group(e, 4)
	now := start
	flap := func() time.Duration {
		e.Broken(names[0], now)
		broken := now
		now = now.Add(100 * time.Millisecond)
		e.Connected(names[0], now)
		for !e.Usable(names[0], now) {
			now = now.Add(10 * time.Millisecond)
		}
		require.True(t, e.Begin(names[0], now))
		e.Success(names[0], now, cowslipproxy.StepPrefill, time.Millisecond)
		require.True(t, e.Begin(names[0], now))
		return now.Sub(broken)
	}
	for i, want := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, time.Minute, time.Minute} {
		require.Equal(t, want, flap(), "flap %d", i)
	}
	now = now.Add(4 * time.Minute)
	e.Success(names[0], now, cowslipproxy.StepPrefill, time.Millisecond)
	require.Equal(t, 100*time.Millisecond, flap())
}

// Guards against more than one request probing an ejected upstream, and against
// a probe without a result keeping it out for good.
func TestSingleProbe(t *testing.T) {
	e := &ejector.Ejector{}
	name := group(e, 2)[0]
	var changes []ejector.Change
	for range 3 {
		require.Empty(t, changes)
		changes = e.Failure(name, start)
	}
	require.Equal(t, []ejector.Change{{Name: name, Ejected: true, Cause: ejector.CauseFailures, Until: start.Add(time.Second)}}, changes)
	require.False(t, e.Begin(name, start.Add(999*time.Millisecond)))
	require.Empty(t, e.Success(name, start.Add(500*time.Millisecond), cowslipproxy.StepDecode, time.Millisecond), "answer from before the probe")
	due := start.Add(time.Second)
	require.True(t, e.Usable(name, due))
	require.True(t, e.Begin(name, due))
	require.False(t, e.Usable(name, due))
	require.False(t, e.Begin(name, due.Add(4*time.Second)))
	require.True(t, e.Begin(name, due.Add(5*time.Second)))
	require.Len(t, e.Success(name, due.Add(5*time.Second), cowslipproxy.StepPrefill, time.Millisecond), 1)
	require.True(t, e.Begin(name, due.Add(5*time.Second)))
}

// Guards against a restarted VM that waits long after its connection stands,
// and against a group that is wholly out waiting longer than the base time.
func TestReturnAfterOutage(t *testing.T) {
	e := &ejector.Ejector{}
	names := group(e, 3)
	now := start
	for _, name := range names {
		e.Broken(name, now)
	}
	for range 300 {
		now = now.Add(time.Second)
		for _, name := range names {
			require.True(t, e.Begin(name, now))
			changes := e.Failure(name, now)
			require.Len(t, changes, 1)
			require.LessOrEqual(t, changes[0].Until.Sub(now), 8*time.Second)
			require.False(t, e.Usable(name, now))
		}
	}
	e.Connected(names[0], now)
	require.True(t, e.Usable(names[0], now))
}

// Guards against an upstream that answers, but far slower than its peers,
// staying in service, and against ejecting one for noise between fast ones.
func TestSlowPeerIsEjected(t *testing.T) {
	for _, c := range []struct {
		fast, slow time.Duration
		ejected    bool
	}{{30 * time.Millisecond, 300 * time.Millisecond, true}, {time.Millisecond, 10 * time.Millisecond, false}, {30 * time.Millisecond, 60 * time.Millisecond, false}} {
		e := &ejector.Ejector{}
		names := group(e, 3)
		now := start
		for range 50 {
			now = now.Add(30 * time.Millisecond)
			e.Success(names[0], now, cowslipproxy.StepDecode, c.fast)
			e.Success(names[1], now, cowslipproxy.StepDecode, c.fast)
			e.Success(names[2], now, cowslipproxy.StepDecode, c.slow)
		}
		require.Equal(t, c.ejected, !e.Usable(names[2], now))
		require.True(t, e.Usable(names[0], now))
	}
}

// Guards against timeouts outside the bounds of section 9 of the design.
func TestTimeouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &ejector.Ejector{}
		name := group(e, 1)[0]
		for range rapid.IntRange(0, 400).Draw(t, "samples") {
			e.Success(name, start, cowslipproxy.StepDecode, time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "took")))
		}
		expected := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "expected"))
		decode := e.Timeout(name, cowslipproxy.StepDecode, expected)
		require.GreaterOrEqual(t, decode, 200*time.Millisecond)
		require.LessOrEqual(t, decode, time.Second)
		require.LessOrEqual(t, e.Timeout(name, cowslipproxy.StepPrefill, expected), 5*time.Second)
	})
	e := &ejector.Ejector{}
	name := group(e, 1)[0]
	require.Equal(t, 3*time.Second, e.Timeout(name, cowslipproxy.StepPrefill, time.Second))
	for i := range 5000 {
		e.Success(name, start, cowslipproxy.StepDecode, time.Duration(50+i%100)*time.Millisecond)
	}
	require.InDelta(t, 447*time.Millisecond, e.Timeout(name, cowslipproxy.StepDecode, 0), float64(60*time.Millisecond))
}

// Guards against ejecting the last upstream that may get work, because others
// that are leaving count as holders that could take its place.
func TestLeavingPeersDontStandIn(t *testing.T) {
	e := &ejector.Ejector{}
	names := group(e, 2)
	fail := func(name string) (changes []ejector.Change) {
		for range 3 {
			changes = append(changes, e.Failure(name, start)...)
		}
		return changes
	}
	require.Empty(t, e.SetLeaving(names[0], true, start))
	require.Empty(t, fail(names[1]))
	require.True(t, e.Usable(names[1], start))
	require.Empty(t, e.SetLeaving(names[0], false, start))
	require.Len(t, fail(names[1]), 1)
	require.Equal(t, []ejector.Change{{Name: names[1]}}, e.SetLeaving(names[0], true, start))
	require.True(t, e.Usable(names[1], start))
}
