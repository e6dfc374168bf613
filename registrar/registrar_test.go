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

func instance(id string, heartbeats uint64, state cowslipproxy.VMState) cowslipproxy.Instance {
	return cowslipproxy.Instance{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: state, StartedAt: start, Heartbeats: heartbeats}
}

func put(instances ...cowslipproxy.Instance) cowslipproxy.Changes[cowslipproxy.Instance] {
	var changes cowslipproxy.Changes[cowslipproxy.Instance]
	for _, one := range instances {
		changes.Items = append(changes.Items, cowslipproxy.Record[cowslipproxy.Instance]{Key: one.ID, Value: one})
	}
	return changes
}

func list(instances ...cowslipproxy.Instance) cowslipproxy.InstanceList {
	return cowslipproxy.InstanceList{Instances: instances}
}

func drop(id string) cowslipproxy.Changes[cowslipproxy.Instance] {
	return cowslipproxy.Changes[cowslipproxy.Instance]{Items: []cowslipproxy.Record[cowslipproxy.Instance]{{Key: id, Deleted: true}}}
}

// Guards against the immediate removal of an entry that expired during an outage
// of the list, and against keeping it forever if it is not registered again.
func TestOutageDefersRemoval(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive), instance("b", 1, cowslipproxy.VMLive)))
	r.RecordReadFailure(start)
	recovered := start.Add(10 * time.Second)
	require.False(t, r.Apply(recovered, cowslipproxy.Changes[cowslipproxy.Instance]{Complete: true}))
	require.Len(t, r.Instances(), 2)
	r.Apply(recovered.Add(time.Second), put(instance("a", 9, cowslipproxy.VMLive)))
	require.True(t, r.Apply(recovered.Add(3*time.Second), put()))
	require.Len(t, r.Instances(), 1)
	require.Equal(t, "a", r.Instances()[0].ID)
}

// Guards against the removal of servers that an older copy of the list lacks, before they can register again.
func TestRestoredListDefersRemoval(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive), instance("b", 1, cowslipproxy.VMLive)))
	r.Apply(start, drop("b"))
	older := put(instance("b", 1, cowslipproxy.VMLive)) // a registered since, b has left
	older.Complete, older.Restored = true, true
	require.False(t, r.Apply(start.Add(time.Second), older))
	require.Len(t, r.Instances(), 1)
	require.Equal(t, "a", r.Instances()[0].ID)
	require.True(t, r.Apply(start.Add(4*time.Second), put()))
	require.Empty(t, r.Instances())
}

// Guards against a leaving server that becomes live again through an outdated
// list, read by this daemon or received from another one.
func TestLeavingServerStaysLeaving(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 5, cowslipproxy.VMLeaving)))
	r.Apply(start, put(instance("a", 4, cowslipproxy.VMLive)))
	r.Replace(start, list(instance("a", 9, cowslipproxy.VMLive)))
	require.Equal(t, cowslipproxy.VMLeaving, r.Instances()[0].State)
	require.True(t, r.Apply(start, drop("a")))
	r.Replace(start, list(instance("a", 5, cowslipproxy.VMLive)))
	require.Empty(t, r.Instances(), "an outdated list restored a dropped entry")
	restarted := instance("a", 1, cowslipproxy.VMLive)
	restarted.StartedAt = start.Add(time.Second)
	r.Apply(start, put(restarted))
	require.Len(t, r.Instances(), 1, "a new run with the same ID is a different server")
}

// Guards against an entry of another writer that replaces all later ones of a server.
func TestEntryFromFutureIsIgnored(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 5, cowslipproxy.VMLive)))
	odd := instance("a", 6, cowslipproxy.VMLeaving)
	odd.StartedAt = start.AddDate(1000, 0, 0)
	require.False(t, r.Apply(start, put(odd)))
	r.Replace(start, list(odd))
	require.Equal(t, cowslipproxy.VMLive, r.Instances()[0].State)
}

// Guards against heartbeats that count as changes: each daemon would recompute
// its paths at each of them.
func TestHeartbeatsAreNotChanges(t *testing.T) {
	var r registrar.Registrar
	require.True(t, r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive))))
	require.False(t, r.Apply(start, put(instance("a", 2, cowslipproxy.VMLive))))
	invalid := put(instance("a", 3, cowslipproxy.VMLive))
	invalid.Items[0].Err = cowslipproxy.ErrNotStarted
	require.True(t, r.Apply(start, invalid), "an invalid entry removes its server")
}
