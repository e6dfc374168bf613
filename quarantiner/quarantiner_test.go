package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

var epoch = time.Unix(1_700_000_000, 0)

var poison = quarantiner.FingerprintOf("hollins", "crash", "me")

// Guards against wrong transitions of a fingerprint to the states suspect, clear and
// quarantined, including those by expiry and by an operator.
func TestFingerprintLifecycle(t *testing.T) {
	q := &quarantiner.Quarantiner{Self: "a"}
	innocent := quarantiner.FingerprintOf("ogbomoso", "letter")
	q.Crash(epoch, "u1", []quarantiner.RequestFingerprint{poison, innocent})
	q.Crash(epoch, "u1", []quarantiner.RequestFingerprint{poison}) // a duplicate report
	require.Equal(t, quarantiner.StateSuspect, q.State(epoch, poison))

	run, failure := q.Begin(epoch, innocent)
	require.Nil(t, failure)
	require.True(t, run.Alone)
	_, failure = q.Begin(epoch, innocent)
	require.Equal(t, cowslipproxy.ReasonQuarantined, failure.Reason, "a suspect must not run twice at a time")
	q.End(epoch, run, true)
	require.Equal(t, quarantiner.StateClear, q.State(epoch, innocent))

	run, failure = q.Begin(epoch, poison)
	require.Nil(t, failure)
	q.Crash(epoch.Add(time.Second), "u2", []quarantiner.RequestFingerprint{poison})
	q.End(epoch.Add(time.Second), run, false)
	failure = q.Check(epoch.Add(time.Second), poison)
	require.Equal(t, quarantiner.DefaultTTL, failure.RetryAfter)
	require.Equal(t, quarantiner.StateClear, q.State(epoch.Add(time.Second+failure.RetryAfter), poison))

	q.Crash(epoch, "u1", []quarantiner.RequestFingerprint{poison})
	require.True(t, q.Lift(epoch, poison))
	require.Equal(t, quarantiner.StateClear, q.State(epoch, poison))
}

// Guards against memory usage that grows with the number of crashes, and against
// evicting a quarantined fingerprint in favour of newer suspects.
func TestMemoryIsBounded(t *testing.T) {
	q := &quarantiner.Quarantiner{Self: "a", MaxEntries: 100}
	q.Crash(epoch, "u1", []quarantiner.RequestFingerprint{poison})
	q.Crash(epoch, "u2", []quarantiner.RequestFingerprint{poison})
	for i := range 1000 {
		q.Crash(epoch.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("v", i), []quarantiner.RequestFingerprint{{Customer: "hollins", Content: uint64(i)}})
	}
	require.Len(t, q.Newest(epoch.Add(time.Second)), 64)
	require.Len(t, q.Records(epoch.Add(time.Second)), 100)
	require.Equal(t, quarantiner.StateQuarantined, q.State(epoch.Add(time.Second), poison))
	require.Equal(t, quarantiner.StateClear, q.State(epoch.Add(time.Second), quarantiner.RequestFingerprint{Customer: "hollins", Content: 0}))
	data, err := cbor.Marshal(q.Newest(epoch.Add(time.Second)))
	require.NoError(t, err)
	t.Logf("64 records take %d bytes", len(data))
}

// Guards against a daemon that reports a failure to its caller before all other
// daemons have the record of the crash. This happened if the daemon had received an
// earlier crash from a peer.
func TestCallersWaitUntilAllDaemonsKnow(t *testing.T) {
	for _, crashedBefore := range [][]string{{"u1"}, {"u1", "u2"}} { // with two crashes, a third one doesn't change the record
		a, b := &quarantiner.Quarantiner{Self: "a"}, &quarantiner.Quarantiner{Self: "b"}
		b.SetPeers([]string{"a", "c"})
		for _, upstream := range crashedBefore {
			a.Crash(epoch, upstream, []quarantiner.RequestFingerprint{poison})
		}
		b.Merge(epoch, a.Pending(epoch, "b"))
		require.True(t, b.Replicated(epoch, poison))
		b.Crash(epoch.Add(time.Second), "u3", []quarantiner.RequestFingerprint{poison})
		a.Merge(epoch, b.Pending(epoch, "a"))
		b.Merge(epoch, a.Pending(epoch, "b"))
		require.False(t, b.Replicated(epoch.Add(time.Second), poison))
	}
}

// Guards against a suspect that no daemon runs after its owner has ended, and
// against two daemons that run it concurrently.
func TestSuspectIsTakenOver(t *testing.T) {
	a := &quarantiner.Quarantiner{Self: "a"}
	b, c := &quarantiner.Quarantiner{Self: "b"}, &quarantiner.Quarantiner{Self: "c"}
	a.Crash(epoch, "u1", []quarantiner.RequestFingerprint{poison})
	for _, q := range []*quarantiner.Quarantiner{b, c} {
		q.SetPeers([]string{"a", "b", "c"})
		q.Merge(epoch, a.Pending(epoch, q.Self))
		require.Contains(t, q.Check(epoch, poison).Message, "only daemon a")
		q.SetPeers([]string{"b", "c"})
		require.NotNil(t, q.Check(epoch, poison))
	}
	toC, toB := b.Pending(epoch, "c"), c.Pending(epoch, "b")
	b.HandleAck(epoch, "c", toC, c.Merge(epoch, toC))
	c.HandleAck(epoch, "b", toB, b.Merge(epoch, toB))
	run, failure := b.Begin(epoch, poison)
	require.Nil(t, failure)
	require.True(t, run.Alone)
	require.Contains(t, c.Check(epoch, poison).Message, "only daemon b")
}

// Guards against records that differ between daemons after the same records were
// merged in another order, or twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 6).Draw(t, "records")
		order := rapid.Permutation(append(records, records...)).Draw(t, "order")
		a, b := &quarantiner.Quarantiner{Self: "a"}, &quarantiner.Quarantiner{Self: "b"}
		for _, record := range records {
			a.Merge(epoch, []quarantiner.Record{record})
		}
		for _, record := range order {
			b.Merge(epoch, []quarantiner.Record{record})
		}
		require.Equal(t, a.Newest(epoch), b.Newest(epoch))
	})
}

func drawRecord(t *rapid.T) quarantiner.Record {
	at := func(label string) time.Time {
		return epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, label)) * time.Second)
	}
	r := quarantiner.Record{RequestFingerprint: poison, Version: rapid.Uint64Range(0, 2).Draw(t, "version"), Time: at("time")}
	if r.Term = rapid.Uint64Range(0, 2).Draw(t, "term"); r.Term > 0 {
		r.Owner = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner")
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "crashes") {
		r.Crashes = append(r.Crashes, quarantiner.Crash{
			Upstream: fmt.Sprint("u", 2*i+rapid.IntRange(0, 1).Draw(t, "upstream")),
			Source:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source"),
			Time:     epoch.Add(time.Duration(i) * time.Minute),
		})
	}
	return r
}
