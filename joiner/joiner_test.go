package joiner_test

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/joiner"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func vm(name string, state cowslipproxy.VMState) cowslipproxy.VM {
	return cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEngine, Address: netip.MustParseAddrPort("127.0.0.1:1"), Centre: "a", State: state}
}

func live(names ...string) []cowslipproxy.VM {
	var vms []cowslipproxy.VM
	for _, name := range names {
		vms = append(vms, vm(name, cowslipproxy.VMLive))
	}
	return vms
}

// Guards against new work for VMs that are listed but unseen, fail probes, are
// leaving or vanished, and against a VM that announced itself but gets no work
// until it is listed.
func TestReasonFor(t *testing.T) {
	var j joiner.Joiner
	require.Equal(t, joiner.ReasonUnknown, j.ReasonFor("a"))
	j.ApplyList(live("a", "b"), start, start)
	require.Equal(t, joiner.ReasonUnseen, j.ReasonFor("a"))
	j.RecordProbe("a", true, start)
	j.RecordHello(vm("new", cowslipproxy.VMLive), start)
	require.True(t, j.IsUsable("a"))
	require.True(t, j.IsUsable("new"))
	require.Len(t, j.Usable(cowslipproxy.VMEngine), 2)
	j.RecordProbe("a", false, start)
	j.RecordProbe("a", false, start)
	require.Equal(t, joiner.ReasonFailing, j.ReasonFor("a"))
	j.RecordProbe("a", true, start)
	j.RecordSelfReport("a", true, start)
	require.Equal(t, joiner.ReasonSelfReported, j.ReasonFor("a"))
	j.RecordSelfReport("a", false, start)
	j.ApplyList([]cowslipproxy.VM{vm("a", cowslipproxy.VMLeaving)}, start, start)
	require.Equal(t, joiner.ReasonLeaving, j.ReasonFor("a"))
	require.Equal(t, joiner.ReasonVanished, j.ReasonFor("b"))
	require.True(t, j.IsUsable("new"), "a VM that was never listed must not count as vanished")
	j.Drain("new", true, start)
	require.Equal(t, joiner.ReasonDrained, j.ReasonFor("new"))
}

// Guards against an outdated list that takes a VM out of service although it
// answers probes, or although its mark refers to a previous run.
func TestOutdatedListKeepsVMInService(t *testing.T) {
	var j joiner.Joiner
	j.ApplyList(live("a", "b"), start, start)
	j.RecordProbe("a", true, start)
	j.RecordProbe("b", true, start)
	later := start.Add(time.Minute)
	j.ApplyList(live("a"), start.Add(time.Second), later)
	require.True(t, j.IsUsable("b"))
	j.RecordRestart("a", later)
	j.RecordHello(vm("a", cowslipproxy.VMLive), later)
	j.ApplyList([]cowslipproxy.VM{vm("a", cowslipproxy.VMLeaving)}, start, later)
	require.True(t, j.IsUsable("a"))
	j.ApplyList(live("a"), later, later)
	require.Equal(t, joiner.ReasonVanished, j.ReasonFor("b"))
	require.Equal(t, []string{"b"}, j.Forget(later))
}

// Guards against new work for a VM more than 3 s after it was known to be leaving, for
// every source of that information and every order of events.
func TestNoDispatchAfterLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j joiner.Joiner
		names := []string{"a", "b", "c"}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "gap")))
			name := rapid.SampledFrom(names).Draw(t, "name")
			on := rapid.Bool().Draw(t, "on")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				taken := now.Add(-time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "age")))
				j.ApplyList(append(live(names[:rapid.IntRange(0, 2).Draw(t, "listed")]...), vm("c", cowslipproxy.VMLeaving)), taken, now)
			case 1:
				j.RecordHello(vm(name, cowslipproxy.VMLive), now)
			case 2:
				j.RecordProbe(name, on, now)
			case 3:
				j.RecordSelfReport(name, on, now)
			case 4:
				j.Drain(name, on, now)
			case 5:
				j.RecordRestart(name, now)
			}
			for _, name := range names {
				if j.IsUsable(name) {
					require.Zero(t, j.LeavingSince(name))
					j.RecordDispatch(name, now)
				}
			}
			require.NoError(t, j.Check())
		}
	})
}

// Guards against an invariant check that always passes.
func TestCheckReportsLateDispatch(t *testing.T) {
	var j joiner.Joiner
	j.Drain("a", true, start)
	j.RecordDispatch("a", start.Add(joiner.MaxDispatchDelay))
	require.NoError(t, j.Check())
	j.RecordDispatch("a", start.Add(joiner.MaxDispatchDelay+1))
	require.ErrorContains(t, j.Check(), "vm a: got new work")
}
