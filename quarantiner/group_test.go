package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

// longPrompt returns the fingerprints of a request whose prompt has many parts.
func longPrompt(parts int) []quarantiner.RequestFingerprint {
	fingerprints := []quarantiner.RequestFingerprint{quarantiner.FingerprintOf("clerks", "request")}
	for i := range parts {
		fingerprints = append(fingerprints, quarantiner.PartFingerprint("scribe", fmt.Sprint(i)))
	}
	return fingerprints
}

// Guards against a message for each part of a prompt, messages too large for gossip, and lost parts.
func TestChangesOfPromptAreFewMessages(t *testing.T) {
	const parts, maxBytes = 4095, 8 << 10
	q := &quarantiner.Quarantiner{Self: "a", Threshold: fleetThreshold, MaxEntries: 2 * parts, Concurrent: true}
	fingerprints := longPrompt(parts)
	for i := range 16 {
		q.Crash(epoch.Add(time.Duration(i)*time.Second), fmt.Sprint("10.20.30.40:40000-", i, "/0123456789"), fingerprints)
	}
	groups := quarantiner.GroupChanges(q.TakeChanges(epoch.Add(time.Minute)))
	require.LessOrEqual(t, len(groups), 10)
	copied := newConcurrent("b")
	copied.MaxEntries = 2 * parts
	keys := map[string]bool{}
	for _, group := range groups {
		require.NoError(t, group.Check())
		data, err := gossiper.Encode(group.Group)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxBytes)
		keys[group.Key()] = true
		copied.Merge(epoch.Add(time.Minute), group.Records())
	}
	require.Len(t, keys, len(groups))
	for _, fp := range fingerprints {
		require.Equal(t, quarantiner.StateQuarantined, copied.State(epoch.Add(time.Minute), fp))
	}
}

// Guards against members of a group that get the record of others.
func TestOnlyEqualRecordsAreGrouped(t *testing.T) {
	q := newConcurrent("a")
	crashUpstreams(q, epoch, 0, 1, bothParts...)
	crashUpstreams(q, epoch, 1, 1, badPart)
	groups := quarantiner.GroupChanges(q.TakeChanges(epoch))
	require.Len(t, groups, 2)
	for _, group := range groups {
		require.Empty(t, group.Parts)
	}
}

// Guards against groups without bounds.
func TestGroupIsChecked(t *testing.T) {
	group := quarantiner.Group{Record: quarantiner.Record{RequestFingerprint: badPart, Version: 1}, Parts: make([]uint64, 5000)}
	require.Error(t, group.Check())
	group.Parts = group.Parts[:1]
	require.NoError(t, group.Check())
}

// Guards against the eviction of a part with crashes by the many parts of other requests.
func TestPartsOfOtherRequestsDoNotEvictSuspect(t *testing.T) {
	const maxEntries = 1024
	q := &quarantiner.Quarantiner{Self: "a", Threshold: fleetThreshold, MaxEntries: maxEntries, Concurrent: true}
	now := epoch
	for i := range fleetThreshold {
		crashUpstreams(q, now, i, 1, badPart)
		if i == 0 {
			continue // one crash does not distinguish it from the others
		}
		for number := range 20 {
			now = now.Add(time.Millisecond)
			var other []quarantiner.RequestFingerprint
			for part := range 300 {
				other = append(other, quarantiner.PartFingerprint("scribe", fmt.Sprint(i, number, part)))
			}
			q.Crash(now, fmt.Sprint("other-", i, "-", number), other)
			require.LessOrEqual(t, len(q.Records(now)), maxEntries)
		}
	}
	require.Equal(t, quarantiner.StateQuarantined, q.State(now, badPart))
}
