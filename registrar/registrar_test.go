package registrar_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/registrar"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func instance(id string, beat uint64, state cowslipproxy.VMState) cowslipproxy.Instance {
	return cowslipproxy.Instance{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: state, Born: start, Beat: beat}
}

func put(instances ...cowslipproxy.Instance) cowslipproxy.Changes[cowslipproxy.Instance] {
	var changes cowslipproxy.Changes[cowslipproxy.Instance]
	for _, one := range instances {
		changes.Items = append(changes.Items, cowslipproxy.Record[cowslipproxy.Instance]{Key: one.ID, Value: one})
	}
	return changes
}

func drop(id string) cowslipproxy.Changes[cowslipproxy.Instance] {
	return cowslipproxy.Changes[cowslipproxy.Instance]{Items: []cowslipproxy.Record[cowslipproxy.Instance]{{Key: id, Gone: true}}}
}

// Guards against an entry that lapsed during an outage of the list being taken
// as gone at once, and against one that doesn't come back staying for good.
func TestLapsedEntries(t *testing.T) {
	var r registrar.Registrar
	r.Fold(start, put(instance("a", 1, cowslipproxy.VMLive), instance("b", 1, cowslipproxy.VMLive)))
	r.Failed()
	back := start.Add(10 * time.Second)
	require.False(t, r.Fold(back, cowslipproxy.Changes[cowslipproxy.Instance]{Whole: true}))
	require.Len(t, r.Instances(), 2)
	r.Fold(back.Add(time.Second), put(instance("a", 9, cowslipproxy.VMLive)))
	require.True(t, r.Fold(back.Add(3*time.Second), put()))
	require.Len(t, r.Instances(), 1)
	require.Equal(t, "a", r.Instances()[0].ID)
}

// Guards against a server that left being live again by an older word of the
// list, from this daemon's or another one's reading.
func TestLeavingServerStaysLeaving(t *testing.T) {
	var r registrar.Registrar
	r.Fold(start, put(instance("a", 5, cowslipproxy.VMLeaving)))
	r.Fold(start, put(instance("a", 4, cowslipproxy.VMLive)))
	r.Replace(start, []cowslipproxy.Instance{instance("a", 9, cowslipproxy.VMLive)})
	require.Equal(t, cowslipproxy.VMLeaving, r.Instances()[0].State)
	require.True(t, r.Fold(start, drop("a")))
	r.Replace(start, []cowslipproxy.Instance{instance("a", 5, cowslipproxy.VMLive)})
	require.Empty(t, r.Instances(), "an older list brought a dropped entry back")
	again := instance("a", 1, cowslipproxy.VMLive)
	again.Born = start.Add(time.Second)
	r.Fold(start, put(again))
	require.Len(t, r.Instances(), 1, "a new run under the same id is another server")
}

// Guards against heartbeats that count as changes, which would have each
// daemon plan its paths anew.
func TestHeartbeatsChangeNothing(t *testing.T) {
	var r registrar.Registrar
	require.True(t, r.Fold(start, put(instance("a", 1, cowslipproxy.VMLive))))
	require.False(t, r.Fold(start, put(instance("a", 2, cowslipproxy.VMLive))))
	bad := put(instance("a", 3, cowslipproxy.VMLive))
	bad.Items[0].Err = cowslipproxy.ErrNotStarted
	require.True(t, r.Fold(start, bad), "an entry that can't be read names no server")
}
