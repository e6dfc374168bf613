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

func addGroup(e *ejector.Ejector, size int) []string {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprint("vm-", i))
		e.Add(names[i], "scribe [0,20)")
	}
	return names
}

// Guards against the ejection of all connected peers at once, and against the
// ejection of more than half of them because of their time or failures.
func TestHalfOfConnectedPeersStayInService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &ejector.Ejector{}
		names := addGroup(e, rapid.IntRange(1, 8).Draw(t, "peers"))
		down, now := map[string]bool{}, start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			event := rapid.SampledFrom([]string{"failure", "failure", "slow", "fast", "broken", "connected", "begin"}).Draw(t, "event")
			applyEvent(e, event, name, now, down)
			serving, connectedEjected := 0, 0
			for _, state := range e.Dump() {
				if !state.Ejected {
					serving++
					require.True(t, e.Usable(state.Name, now))
				} else if !down[state.Name] {
					connectedEjected++
				}
			}
			connected := len(names) - len(down)
			require.True(t, connected == 0 || serving > 0, "none of %d connected peers is in service", connected)
			require.LessOrEqual(t, 2*connectedEjected, connected)
		}
	})
}

// applyEvent applies an event and records which connections are down.
func applyEvent(e *ejector.Ejector, event, name string, now time.Time, down map[string]bool) {
	succeed := func(took time.Duration) {
		// The reply to a probe proves that the connection is up.
		if changes := e.RecordSuccess(name, now, cowslipproxy.StepDecode, took); len(changes) > 0 && !changes[0].Ejected {
			delete(down, name)
		}
	}
	switch event {
	case "failure":
		e.RecordFailure(name, now)
	case "slow":
		for range 10 {
			succeed(time.Second)
		}
	case "fast":
		succeed(10 * time.Millisecond)
	case "broken":
		e.RecordDisconnect(name, now)
		down[name] = true
	case "connected":
		e.RecordConnect(name, now)
		delete(down, name)
	case "begin":
		e.Begin(name, now)
	}
}

// Guards against a flapping upstream that returns to service at once each time, and
// against long ejections of an upstream that has been healthy for a while.
func TestFlappingUpstreamBacksOff(t *testing.T) {
	e := &ejector.Ejector{}
	names := addGroup(e, 4)
	now := start
	flap := func() time.Duration {
		e.RecordDisconnect(names[0], now)
		disconnectedAt := now
		now = now.Add(100 * time.Millisecond)
		e.RecordConnect(names[0], now)
		for !e.Usable(names[0], now) {
			now = now.Add(10 * time.Millisecond)
		}
		require.True(t, e.Begin(names[0], now))
		e.RecordSuccess(names[0], now, cowslipproxy.StepPrefill, time.Millisecond)
		require.True(t, e.Begin(names[0], now))
		return now.Sub(disconnectedAt)
	}
	for i, want := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, time.Minute, time.Minute} {
		require.Equal(t, want, flap(), "flap %d", i)
	}
	now = now.Add(4 * time.Minute)
	e.RecordSuccess(names[0], now, cowslipproxy.StepPrefill, time.Millisecond)
	require.Equal(t, 100*time.Millisecond, flap())
}

// Guards against more than one probe of an ejected upstream at a time, and against a
// probe without a result that keeps the upstream ejected forever.
func TestOneProbeAtATime(t *testing.T) {
	e := &ejector.Ejector{}
	name := addGroup(e, 2)[0]
	var changes []ejector.Change
	for range 3 {
		require.Empty(t, changes)
		changes = e.RecordFailure(name, start)
	}
	require.Equal(t, []ejector.Change{{Name: name, Ejected: true, Cause: ejector.CauseFailures, Until: start.Add(time.Second)}}, changes)
	require.False(t, e.Begin(name, start.Add(999*time.Millisecond)))
	require.Empty(t, e.RecordSuccess(name, start.Add(500*time.Millisecond), cowslipproxy.StepDecode, time.Millisecond), "reply to a request sent before the probe")
	due := start.Add(time.Second)
	require.True(t, e.Usable(name, due))
	require.True(t, e.Begin(name, due))
	require.False(t, e.Usable(name, due))
	require.False(t, e.Begin(name, due.Add(4*time.Second)))
	require.True(t, e.Begin(name, due.Add(5*time.Second)))
	require.Len(t, e.RecordSuccess(name, due.Add(5*time.Second), cowslipproxy.StepPrefill, time.Millisecond), 1)
	require.True(t, e.Begin(name, due.Add(5*time.Second)))
}

// Guards against a restarted VM that stays ejected long after its connection was
// restored, and against probe intervals longer than the base duration while the
// whole group is out of service.
func TestPeersReturnSoonAfterOutage(t *testing.T) {
	e := &ejector.Ejector{}
	names := addGroup(e, 3)
	now := start
	for _, name := range names {
		e.RecordDisconnect(name, now)
	}
	for range 300 {
		now = now.Add(time.Second)
		for _, name := range names {
			require.True(t, e.Begin(name, now))
			changes := e.RecordFailure(name, now)
			require.Len(t, changes, 1)
			require.LessOrEqual(t, changes[0].Until.Sub(now), 8*time.Second)
			require.False(t, e.Usable(name, now))
		}
	}
	e.RecordConnect(names[0], now)
	require.True(t, e.Usable(names[0], now))
}

// Guards against an upstream that is far slower than its peers and stays in service,
// and against an ejection because of noise between fast peers.
func TestSlowPeerIsEjected(t *testing.T) {
	for _, c := range []struct {
		fast, slow time.Duration
		ejected    bool
	}{{30 * time.Millisecond, 300 * time.Millisecond, true}, {time.Millisecond, 10 * time.Millisecond, false}, {30 * time.Millisecond, 60 * time.Millisecond, false}} {
		e := &ejector.Ejector{}
		names := addGroup(e, 3)
		now := start
		for range 50 {
			now = now.Add(30 * time.Millisecond)
			e.RecordSuccess(names[0], now, cowslipproxy.StepDecode, c.fast)
			e.RecordSuccess(names[1], now, cowslipproxy.StepDecode, c.fast)
			e.RecordSuccess(names[2], now, cowslipproxy.StepDecode, c.slow)
		}
		require.Equal(t, c.ejected, !e.Usable(names[2], now))
		require.True(t, e.Usable(names[0], now))
	}
}

// Guards against timeouts outside the bounds in section 9 of the design.
func TestTimeoutBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &ejector.Ejector{}
		name := addGroup(e, 1)[0]
		for range rapid.IntRange(0, 400).Draw(t, "samples") {
			e.RecordSuccess(name, start, cowslipproxy.StepDecode, time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "took")))
		}
		expected := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "expected"))
		decode := e.Timeout(name, cowslipproxy.StepDecode, expected)
		require.GreaterOrEqual(t, decode, 200*time.Millisecond)
		require.LessOrEqual(t, decode, time.Second)
		require.LessOrEqual(t, e.Timeout(name, cowslipproxy.StepPrefill, expected), 5*time.Second)
	})
	e := &ejector.Ejector{}
	name := addGroup(e, 1)[0]
	require.Equal(t, 3*time.Second, e.Timeout(name, cowslipproxy.StepPrefill, time.Second))
	for i := range 5000 {
		e.RecordSuccess(name, start, cowslipproxy.StepDecode, time.Duration(50+i%100)*time.Millisecond)
	}
	require.InDelta(t, 447*time.Millisecond, e.Timeout(name, cowslipproxy.StepDecode, 0), float64(60*time.Millisecond))
}

// Guards against the ejection of the last upstream that may get requests. Leaving
// peers must not count as replacements for it.
func TestLeavingPeersAreNoReplacements(t *testing.T) {
	e := &ejector.Ejector{}
	names := addGroup(e, 2)
	fail := func(name string) (changes []ejector.Change) {
		for range 3 {
			changes = append(changes, e.RecordFailure(name, start)...)
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
