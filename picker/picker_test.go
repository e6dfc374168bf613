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

func newPicker(servers ...cowslipproxy.Instance) *picker.Picker {
	p := &picker.Picker{Centre: "a", Random: rand.New(rand.NewPCG(1, 2))}
	p.Set(servers)
	return p
}

func pickMany(p *picker.Picker, requests int, done bool) map[string]int {
	counts := map[string]int{}
	for range requests {
		s, ok := p.Pick(start, nil)
		if !ok {
			continue
		}
		counts[s.ID]++
		if done {
			p.Done(start, s.ID, false, nil)
		}
	}
	return counts
}

// Guards against choosing a server that is leaving or was tried already, and
// against choosing a remote server while the local one is idle.
func TestPick(t *testing.T) {
	p := newPicker(server("local", "a", cowslipproxy.VMLive), server("remote", "b", cowslipproxy.VMLive), server("leaving", "a", cowslipproxy.VMLeaving))
	require.Equal(t, map[string]int{"local": 20}, pickMany(p, 20, true))
	s, ok := p.Pick(start, []string{"local"})
	require.True(t, ok)
	require.Equal(t, "remote", s.ID)
	_, ok = p.Pick(start, []string{"local", "remote"})
	require.False(t, ok)
}

// Guards against filling a local server while a remote one is idle.
func TestPickSpreadsLoad(t *testing.T) {
	counts := pickMany(newPicker(server("local", "a", cowslipproxy.VMLive), server("remote", "b", cowslipproxy.VMLive)), 12, false)
	require.Greater(t, counts["remote"], 3)
	require.Greater(t, counts["local"], counts["remote"])
}

// Guards against a failing server that keeps its share of requests, and against
// one that is never tried again.
func TestFailingServerIsAvoided(t *testing.T) {
	p := newPicker(server("bad", "a", cowslipproxy.VMLive), server("good", "b", cowslipproxy.VMLive))
	p.Done(start, "bad", true, nil)
	p.Done(start, "bad", true, nil)
	s, _ := p.Pick(start, nil)
	require.Equal(t, "good", s.ID)
	s, _ = p.Pick(start.Add(time.Minute), nil)
	require.Equal(t, "bad", s.ID)
}
