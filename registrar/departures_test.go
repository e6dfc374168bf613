package registrar_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/registrar"
)

// Guards against a removed server that stays in use because one read failed, for too short a time to make its entry expire.
func TestFailedReadKeepsNoRemovedServer(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive)))
	r.RecordReadFailure(start)
	r.Apply(start.Add(700*time.Millisecond), drop("a"))
	require.Empty(t, r.Instances())
}

// Guards against a server that is live again in the same run after it stated that it is leaving, because its entry was missing for some time.
func TestStatedLeavingOutlivesEntry(t *testing.T) {
	for name, prepare := range map[string]func(*registrar.Registrar, string){
		"dropped": func(r *registrar.Registrar, incarnation string) {
			r.Apply(start, put(instance("a", 5, cowslipproxy.VMLive)))
			r.MarkLeaving(start, incarnation)
			r.Apply(start, drop("a"))
		},
		"unknown": func(r *registrar.Registrar, incarnation string) { r.MarkLeaving(start, incarnation) },
	} {
		t.Run(name, func(t *testing.T) {
			var r registrar.Registrar
			prepare(&r, instance("a", 5, cowslipproxy.VMLive).Incarnation())
			r.Apply(start.Add(time.Second), put(instance("a", 6, cowslipproxy.VMLive)))
			require.Len(t, r.Instances(), 1)
			require.Equal(t, cowslipproxy.VMLeaving, r.Instances()[0].State)
		})
	}
}

// Guards against a server that stays in use while it drains, because its clock was set back before it started again.
func TestServerWithEarlierStartIsFollowed(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 50, cowslipproxy.VMLive)))
	again := instance("a", 1, cowslipproxy.VMLeaving)
	again.StartedAt = start.Add(-2 * time.Second)
	r.Apply(start.Add(time.Second), put(again))
	for _, known := range r.Instances() {
		require.Equal(t, cowslipproxy.VMLeaving, known.State)
	}
}

// Guards against a server that is in use in a former run, because the store applied a late write of that run.
func TestLateEntryOfFormerRunIsIgnored(t *testing.T) {
	for name, restartedAt := range map[string]time.Time{"later": start.Add(2 * time.Second), "earlier": start.Add(-2 * time.Second)} {
		for _, isRemovedBetween := range []bool{false, true} {
			t.Run(name+"/"+strconv.FormatBool(isRemovedBetween), func(t *testing.T) {
				var r registrar.Registrar
				r.Apply(start, put(instance("a", 50, cowslipproxy.VMLive)))
				if isRemovedBetween {
					r.Apply(start, drop("a"))
				}
				again := instance("a", 1, cowslipproxy.VMLeaving)
				again.StartedAt = restartedAt
				r.Apply(start.Add(time.Second), put(again))
				r.Apply(start.Add(6*time.Second), put(instance("a", 51, cowslipproxy.VMLive)))
				require.Len(t, r.Instances(), 1)
				require.Equal(t, again, r.Instances()[0])
			})
		}
	}
}

// Guards against an entry of another writer, with a start time long ago, that replaces that of a server.
func TestEntryFromPastIsIgnored(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 5, cowslipproxy.VMLive)))
	odd := instance("a", 6, cowslipproxy.VMLeaving)
	odd.StartedAt = time.Unix(5, 0)
	require.False(t, r.Apply(start, put(odd)))
	require.Equal(t, cowslipproxy.VMLive, r.Instances()[0].State)
}

// Guards against a removed server that stays in use because of a failed read long ago, after which lists of another daemon arrived.
func TestOutageEndsWithListOfAnotherDaemon(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive)))
	r.RecordReadFailure(start)
	r.Replace(start.Add(time.Second), r.List(start))
	r.Apply(start.Add(time.Minute), drop("a"))
	require.Empty(t, r.Instances())
}

// Guards against a removed server that stays in use because of a failed read long ago, after which another daemon confirmed the list.
func TestOutageEndsWithConfirmationOfList(t *testing.T) {
	var r registrar.Registrar
	r.Apply(start, put(instance("a", 1, cowslipproxy.VMLive)))
	r.RecordReadFailure(start)
	r.RecordCurrent(start.Add(time.Minute))
	r.Apply(start.Add(time.Minute+time.Second), drop("a"))
	require.Empty(t, r.Instances())
}

// Guards against a removed server that stays in use for good because the reader that deferred its removal ended.
func TestDeferredRemovalOutlivesReader(t *testing.T) {
	for _, daemons := range []int{4, 15, 126} {
		var reader registrar.Registrar
		reader.Apply(start, put(instance("a", 1, cowslipproxy.VMLive), instance("b", 1, cowslipproxy.VMLive)))
		followers := make([]registrar.Registrar, daemons-1)
		for i := range followers {
			followers[i].Replace(start, reader.List(start))
		}
		reader.RecordReadFailure(start)
		version, recovered := reader.Version(), start.Add(10*time.Second)
		reader.Apply(recovered, drop("a"))
		require.NotEqual(t, version, reader.Version(), "followers would not get the list")
		for i := range followers {
			follower := &followers[i]
			require.False(t, follower.Replace(recovered.Add(time.Second), reader.List(recovered.Add(time.Second))))
			require.Len(t, follower.Instances(), 2)
			require.True(t, follower.Apply(recovered.Add(3*time.Second), put()))
			require.Len(t, follower.Instances(), 1)
		}
	}
}
