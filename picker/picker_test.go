package picker_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/picker"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func server(id, centre string, state cowslipproxy.VMState) cowslipproxy.Instance {
	return cowslipproxy.Instance{ID: id, Service: "s", Centre: centre, State: state, Slots: 6, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func pool(servers ...cowslipproxy.Instance) *picker.Picker {
	p := &picker.Picker{Centre: "a", Random: rand.New(rand.NewPCG(1, 2))}
	p.Set(servers)
	return p
}

func count(p *picker.Picker, requests int, done bool) map[string]int {
	counted := map[string]int{}
	for range requests {
		s, ok := p.Pick(start, nil)
		if !ok {
			continue
		}
		counted[s.ID]++
		if done {
			p.Done(start, s.ID, false, nil)
		}
	}
	return counted
}

// Guards against work for a server that leaves or was tried, and against far
// servers being used while the near one is idle.
func TestPick(t *testing.T) {
	p := pool(server("near", "a", cowslipproxy.VMLive), server("far", "b", cowslipproxy.VMLive), server("left", "a", cowslipproxy.VMLeaving))
	require.Equal(t, map[string]int{"near": 20}, count(p, 20, true))
	s, ok := p.Pick(start, []string{"near"})
	require.True(t, ok)
	require.Equal(t, "far", s.ID)
	_, ok = p.Pick(start, []string{"near", "far"})
	require.False(t, ok)
}

// Guards against a near server that is filled while a far one is idle.
func TestPickSpreadsLoad(t *testing.T) {
	counted := count(pool(server("near", "a", cowslipproxy.VMLive), server("far", "b", cowslipproxy.VMLive)), 12, false)
	require.Greater(t, counted["far"], 3)
	require.Greater(t, counted["near"], counted["far"])
}

// Guards against a failing server that keeps its share, and against one that
// is never tried again.
func TestFailuresCount(t *testing.T) {
	p := pool(server("bad", "a", cowslipproxy.VMLive), server("good", "b", cowslipproxy.VMLive))
	p.Done(start, "bad", true, nil)
	p.Done(start, "bad", true, nil)
	s, _ := p.Pick(start, nil)
	require.Equal(t, "good", s.ID)
	s, _ = p.Pick(start.Add(time.Minute), nil)
	require.Equal(t, "bad", s.ID)
}
