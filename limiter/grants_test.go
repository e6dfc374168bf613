package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/limiter"
)

const limited = "i-1/run"

// newGrants returns the Grants of a single daemon that knows a limit of 2 requests a second.
func newGrants() *limiter.Grants {
	g := &limiter.Grants{Self: "a"}
	g.Named(epoch, epoch, limited, 2)
	return g
}

func at(elapsed time.Duration) time.Time { return epoch.Add(elapsed) }

// Guards against a limit that is exceeded, unused, or applied to other upstreams.
func TestGrantsFollowTheNamedRate(t *testing.T) {
	g := newGrants()
	require.True(t, g.Request(epoch, "another", limiter.GrantNew).Granted)
	refused := g.Request(epoch, limited, limiter.GrantNew)
	require.False(t, refused.Granted)
	require.Equal(t, 500*time.Millisecond, refused.Wait)
	granted := 0
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 10 * time.Millisecond {
		if g.Request(at(elapsed), limited, limiter.GrantNew).Granted {
			granted++
		}
	}
	require.InDelta(t, 20, granted, 1)
}

// Guards against orders that do not count towards the limit.
func TestForcedRequestsCount(t *testing.T) {
	g := newGrants()
	for range 3 {
		require.True(t, g.Request(epoch, limited, limiter.GrantForced).Granted)
	}
	require.False(t, g.Request(at(1900*time.Millisecond), limited, limiter.GrantNew).Granted)
	require.True(t, g.Request(at(2100*time.Millisecond), limited, limiter.GrantNew).Granted)
}

// Guards against new requests that take the grants for which answers that have begun wait.
func TestResumedStreamsGoFirst(t *testing.T) {
	g := newGrants()
	require.False(t, g.Request(epoch, limited, limiter.GrantResume).Granted)
	require.False(t, g.Request(at(500*time.Millisecond), limited, limiter.GrantNew).Granted)
	require.True(t, g.Request(at(510*time.Millisecond), limited, limiter.GrantResume).Granted)
	require.False(t, g.Request(at(520*time.Millisecond), limited, limiter.GrantResume).Granted)
	require.True(t, g.Request(at(3*time.Second), limited, limiter.GrantNew).Granted, "the resumed stream has ended meanwhile")
}

// Guards against late replies that end a limit or bring it back.
func TestOnlyLaterRepliesChangeALimit(t *testing.T) {
	g := newGrants()
	g.NotNamed(at(time.Second), at(-time.Second), limited)
	require.False(t, g.Request(at(0), limited, limiter.GrantNew).Granted)
	g.NotNamed(at(time.Second), at(500*time.Millisecond), limited)
	require.True(t, g.Request(at(time.Second), limited, limiter.GrantNew).Granted)
	require.True(t, g.Request(at(time.Second), limited, limiter.GrantNew).Granted)
	g.Named(at(2*time.Second), at(900*time.Millisecond), limited, 2)
	require.True(t, g.Request(at(2*time.Second), limited, limiter.GrantNew).Granted, "a late reply brought the limit back")
	g.Named(at(3*time.Second), at(2*time.Second), limited, 2)
	require.False(t, g.Request(at(3*time.Second), limited, limiter.GrantNew).Granted)
}

// Guards against a limit of 0 that never ends because its end can't be noticed.
func TestLimitOfZeroIsTested(t *testing.T) {
	g := &limiter.Grants{Self: "a"}
	g.Named(epoch, epoch, limited, 0)
	require.False(t, g.Request(at(time.Second), limited, limiter.GrantNew).Granted)
	require.True(t, g.Request(at(6*time.Second), limited, limiter.GrantNew).Granted)
}

// Guards against daemons that end up with different limits.
func TestLimitsMergeInAnyOrder(t *testing.T) {
	limits := []limiter.Limit{
		{Upstream: limited, Version: 1, Rate: 8}, {Upstream: limited, Version: 1, Rate: 7},
		{Upstream: limited, Version: 2, Lifted: true}, {Upstream: limited, Version: 2, Rate: 9},
	}
	for first := range limits {
		g := &limiter.Grants{Self: "a"}
		for i := range limits {
			g.Merge(epoch, limits[(first+i)%len(limits)])
		}
		require.Equal(t, limits[3], g.State(epoch)[0].Limit)
	}
	for _, invalid := range []limiter.Limit{{Version: 1}, {Upstream: limited}, {Upstream: limited, Version: 1, Rate: -1}} {
		require.Error(t, invalid.Check())
	}
}

// grantedIn returns how many requests are granted from a time on within 20 s.
func grantedIn(g *limiter.Grants, from time.Duration) (granted int) {
	for elapsed := from; elapsed < from+20*time.Second; elapsed += 10 * time.Millisecond {
		if g.Request(at(elapsed), limited, limiter.GrantNew).Granted {
			granted++
		}
	}
	return granted
}

// Guards against a cut-off daemon that grants the whole limit, or less for ever.
func TestCutOffDaemonGrantsItsPart(t *testing.T) {
	g := newGrants()
	g.SetDaemons(epoch, []string{"a"}, 4)
	require.InDelta(t, 40, grantedIn(g, 0), 1)
	g.SetDaemons(at(20*time.Second), []string{"a"}, 4)
	g.SetDaemons(at(21*time.Second), []string{"a"}, 1)
	require.InDelta(t, 10, grantedIn(g, 21*time.Second), 1)
	g.SetDaemons(at(42*time.Second), []string{"a"}, 1)
	require.InDelta(t, 40, grantedIn(g, 42*time.Second), 1)
	started := newGrants()
	started.SetDaemons(epoch, []string{"a"}, 1)
	require.InDelta(t, 40/16, grantedIn(started, 0), 1, "a daemon that has met no other one yet")
}

// Guards against limits that are lost with the daemon that published them.
func TestGrantingDaemonPublishesLimits(t *testing.T) {
	g := &limiter.Grants{Self: "a"}
	g.SetDaemons(epoch, []string{"a", "b", "c", "d"}, 4)
	for i := range 40 {
		g.Merge(epoch, limiter.Limit{Upstream: string(rune('A' + i)), Version: 1, Rate: 1})
	}
	own := 0
	for _, change := range g.TakeChanges(epoch) {
		if change.Publish {
			own++
		}
	}
	require.InDelta(t, 10, own, 9)
	g.SetDaemons(at(time.Second), []string{"a"}, 1)
	for _, change := range g.TakeChanges(at(time.Second)) {
		require.True(t, change.Publish)
		own++
	}
	require.Equal(t, 40, own)
}

// Guards against many requests that each wait for a daemon which does not reply.
func TestSilentDaemonIsAskedByOneRequest(t *testing.T) {
	g := &limiter.Grants{Self: "a"}
	g.SetDaemons(epoch, []string{"b"}, 1)
	for _, upstream := range []string{limited, "i-2/run"} {
		g.Merge(epoch, limiter.Limit{Upstream: upstream, Version: 1, Rate: 100})
	}
	asked := g.Request(epoch, limited, limiter.GrantNew)
	require.Equal(t, "b", asked.Granter)
	require.False(t, g.HandleNoReply(epoch, asked).Granted)
	require.Empty(t, g.Request(at(100*time.Millisecond), "i-2/run", limiter.GrantNew).Granter)
	asked = g.Request(at(200*time.Millisecond), "i-2/run", limiter.GrantNew)
	require.Equal(t, "b", asked.Granter)
	require.Empty(t, g.Request(at(200*time.Millisecond), limited, limiter.GrantNew).Granter)
	require.True(t, g.HandleReply(at(210*time.Millisecond), asked, limiter.GrantReply{Limit: asked.Ask.Limit, Granted: true}).Granted)
	require.Equal(t, "b", g.Request(at(210*time.Millisecond), limited, limiter.GrantNew).Granter)
}

// Guards against a table that grows with each upstream that ever named a limit.
func TestLimitsAreForgotten(t *testing.T) {
	g := newGrants()
	require.Len(t, g.TakeChanges(epoch), 1)
	require.Empty(t, g.TakeChanges(at(9*time.Minute)))
	require.True(t, g.Knows(limited))
	g.TakeChanges(at(11 * time.Minute))
	require.False(t, g.Knows(limited))
	for i := range 5000 {
		g.Merge(at(time.Duration(i)), limiter.Limit{Upstream: time.Duration(i).String(), Version: 1, Rate: 1})
	}
	require.Len(t, g.State(epoch), 4096)
}
