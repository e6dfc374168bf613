package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	otherSharedPart = "5c1e07a3"
	pauseDuration   = 6500 * time.Millisecond // an answer protects the parts of its prompt for less
	sampleDuration  = 3 * time.Second         // of sound requests, at each daemon
)

// sendFrom sends sound requests with the given parts to one daemon for a while.
func (d *deployment) sendFrom(daemon int, parts []string) (traffic *soundTraffic) {
	traffic = &soundTraffic{}
	repeat(2*soundInterval, time.Now().Add(sampleDuration), func(int) {
		at := time.Now()
		got := d.send(d.daemons[daemon], call{path: lettersPath + "1", tokens: soundTokens, header: promptHeader(append(parts, fmt.Sprintf("%08x", d.ids.Load()))...)})
		traffic.add(at, got.err == nil && got.body == streamBody(got.id, 1, soundTokens))
	})
	return traffic
}

// Guards against sound requests that are refused for parts that they share with bad ones, on all daemons but one.
func TestSharedPartsAreServedOnAnyDaemonAfterPause(t *testing.T) {
	forEachSize(t, func(t *testing.T, daemons int) {
		d := deployForPoison(t, daemons)
		d.fleet.SetPoison(poisonousPart)
		callers := [][]string{{sharedPart}, {otherSharedPart}, {sharedPart, otherSharedPart}}
		sendAll := func() (all []*soundTraffic) {
			all = make([]*soundTraffic, len(callers))
			var group sync.WaitGroup
			for i, parts := range callers {
				group.Go(func() { all[i] = d.sendFrom(i, parts) })
			}
			group.Wait()
			return all
		}
		before := sendAll()
		time.Sleep(pauseDuration)
		stop := make(chan struct{})
		var poison sync.WaitGroup
		defer poison.Wait()
		defer close(stop)
		poison.Go(func() { d.sendPoisonUntil(stop) })
		require.Eventually(t, func() bool { return len(d.fleet.Crashes()) >= quarantineThreshold }, waitLimit, 50*time.Millisecond)
		for {
			crashes := d.fleet.Crashes()
			decisive := crashes[min(len(crashes), allowedPartCrashes)-1].At
			if time.Since(decisive) >= 2*stabilityWindow {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		for i, traffic := range sendAll() {
			servedBefore, sentBefore := before[i].served(time.Time{}, time.Now())
			served, sent := traffic.served(time.Time{}, time.Now())
			t.Logf("%d daemons, caller %d: %d of %d served before, %d of %d after the pause", daemons, i, servedBefore, sentBefore, served, sent)
			require.GreaterOrEqual(t, sentBefore, minSample)
			require.GreaterOrEqual(t, sent, minSample)
			require.GreaterOrEqual(t, float64(served)/float64(sent), minSoundShare*float64(servedBefore)/float64(sentBefore), "caller %d", i)
		}
	})
}

// sendPoisonUntil sends requests with the bad part and both shared ones to all daemons in turn.
func (d *deployment) sendPoisonUntil(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		group.Go(func() {
			d.send(d.daemons[number%len(d.daemons)], call{path: lettersPath + "1", tokens: soundTokens, header: promptHeader(sharedPart, otherSharedPart, poisonousPart, fmt.Sprintf("%08x", 0x9000+number))})
		})
		select {
		case <-stop:
			return
		case <-time.After(poisonInterval):
		}
	}
}
