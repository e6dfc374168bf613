package relay_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Bounds that the platform's rules state for requests with a part that crashes engines.
const (
	stabilityWindow       = 3 * time.Second
	allowedPartCrashes    = 5 // crashes after which a part must be known
	allowedRequestCrashes = 3 // crashes after which a request that is repeated alike must be known
	allowedSends          = 3 // later requests that may reach engines
	minSoundShare         = 0.5
	minSample             = 20 // requests for which the share of served ones is compared
	quarantineThreshold   = 3
)

// quarantineTopic is the topic of the store in which daemons keep quarantined fingerprints.
const quarantineTopic = "keyed.quarantine"

const (
	poisonousPart    = "bad0bad0"
	sharedPart       = "5c1e07a2"
	soundInterval    = 50 * time.Millisecond
	poisonInterval   = 300 * time.Millisecond
	soundTokens      = 60
	enginesPerRange  = 7
	warmUpDuration   = 4 * time.Second
	poisonedDuration = 18 * time.Second
)

// promptHeader returns the header that names the parts of a prompt.
func promptHeader(parts ...string) http.Header {
	return http.Header{"X-Prompt-Prefix": {strings.Join(parts, ":40,") + ":300"}}
}

// soundTraffic sends requests that the engines can answer and records their results.
type soundTraffic struct {
	mu      sync.Mutex
	results []soundResult
}

type soundResult struct {
	at     time.Time
	served bool
}

func (s *soundTraffic) add(at time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, soundResult{at, served})
}

// served returns how many of the requests sent within a time were served.
func (s *soundTraffic) served(from, to time.Time) (served, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range s.results {
		if result.at.Before(from) || !result.at.Before(to) {
			continue
		}
		sent++
		if result.served {
			served++
		}
	}
	return served, sent
}

// repeat calls send at an interval until a time. It returns when all calls have ended.
func repeat(interval time.Duration, until time.Time, send func(number int)) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; time.Now().Before(until); number++ {
		group.Go(func() { send(number) })
		time.Sleep(interval)
	}
}

// soundParts returns the parts of the prompt of a sound request.
func soundParts(number int) []string {
	return []string{sharedPart, fmt.Sprintf("%08x", 0xa0+number%3), fmt.Sprintf("%08x", 0x1000+number)}
}

// sendSound sends a request whose parts are sound.
func (d *deployment) sendSound(traffic *soundTraffic, number int, parts []string) {
	at := time.Now()
	got := d.send(d.daemons[number%len(d.daemons)], call{path: lettersPath + "1", tokens: soundTokens, header: promptHeader(parts...)})
	traffic.add(at, got.err == nil && got.body == streamBody(got.id, 1, soundTokens))
}

// poisonRuns returns the runs of requests with the poisonous part after a time.
func (d *deployment) poisonRuns(after time.Time) (count int) {
	for _, run := range d.fleet.Runs() {
		if run.At.After(after) && strings.Contains(run.Header.Get("X-Prompt-Prefix"), poisonousPart) {
			count++
		}
	}
	return count
}

// forEachSize runs a test in parallel for each size of a deployment.
func forEachSize(t *testing.T, test func(t *testing.T, daemons int)) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			test(t, daemons)
		})
	}
}

// deployForPoison deploys daemons with several engines for each range of layers.
func deployForPoison(t *testing.T, daemons int) *deployment {
	d := deploy(t, daemons)
	for range (enginesPerRange - 2) * layers / smallKindLayers {
		d.startServer("scribe", "small")
	}
	require.Eventually(t, func() bool { return len(d.enginesAt(0)) >= enginesPerRange }, waitLimit, 100*time.Millisecond)
	d.awaitSync()
	return d
}

// decisiveCrash returns the time of the crash by which poisonous requests must be known, or of
// an earlier one if too few sound requests follow. The last of fewer crashes may be that of a
// trial, which comes late.
func decisiveCrash(crashes []worker.Crash, allowed int, end time.Time) time.Time {
	number := min(len(crashes), allowed) - 1
	for number > 0 && end.Sub(crashes[number].At) < 2*stabilityWindow+2*minSample*soundInterval {
		number--
	}
	return crashes[number].At
}

// checkPoison sends sound requests, and poisonous ones beside them after a while. It
// checks that few poisonous requests reach engines once the part has crashed some, and
// that sound requests are served meanwhile.
func checkPoison(t *testing.T, d *deployment, allowedCrashes int, poisonParts func(number int) []string) {
	checkPoisonBeside(t, d, allowedCrashes, soundParts, poisonParts)
}

func checkPoisonBeside(t *testing.T, d *deployment, allowedCrashes int, soundParts, poisonParts func(number int) []string) {
	var traffic soundTraffic
	begin := time.Now()
	poisonedFrom, end := begin.Add(warmUpDuration), begin.Add(warmUpDuration+poisonedDuration)
	d.fleet.SetPoison(poisonousPart)
	var group sync.WaitGroup
	group.Go(func() {
		repeat(soundInterval, end, func(number int) { d.sendSound(&traffic, number, soundParts(number)) })
	})
	time.Sleep(warmUpDuration)
	repeat(poisonInterval, end, func(number int) {
		d.send(d.daemons[(3*number+1)%len(d.daemons)], call{path: lettersPath + "1", tokens: soundTokens, header: promptHeader(poisonParts(number)...)})
	})
	group.Wait()
	crashes := d.fleet.Crashes()
	require.NotEmpty(t, crashes, "no engine crashed, so the test is ineffective")
	decisive := crashes[min(len(crashes), allowedCrashes)-1].At
	sends := 0
	if len(crashes) >= allowedCrashes {
		sends = d.poisonRuns(decisive.Add(stabilityWindow))
	}
	servedBefore, sentBefore := traffic.served(begin, poisonedFrom)
	served, sent := traffic.served(decisiveCrash(crashes, allowedCrashes, end).Add(2*stabilityWindow), end)
	t.Logf("%d daemons: %d crashes, %d runs later than %v after the decisive one; sound requests served: %d of %d before, %d of %d from %v after",
		len(d.daemons), len(crashes), sends, stabilityWindow, servedBefore, sentBefore, served, sent, 2*stabilityWindow)
	require.LessOrEqual(t, sends, allowedSends)
	require.GreaterOrEqual(t, sentBefore, minSample)
	require.GreaterOrEqual(t, sent, minSample)
	require.GreaterOrEqual(t, float64(served)/float64(sent), minSoundShare*float64(servedBefore)/float64(sentBefore))
}

// Guards against one part of prompts that crashes engine after engine.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	forEachSize(t, func(t *testing.T, daemons int) {
		checkPoison(t, deployForPoison(t, daemons), allowedPartCrashes, func(number int) []string {
			return []string{sharedPart, poisonousPart, fmt.Sprintf("%08x", 0x9000+number)}
		})
	})
}

// Guards against holding the first part of prompts, which sound requests share, or none.
func TestFirstPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	forEachSize(t, func(t *testing.T, daemons int) {
		checkPoison(t, deployForPoison(t, daemons), allowedPartCrashes, func(number int) []string {
			return []string{poisonousPart, fmt.Sprintf("%08x", 0xa0+number%3), fmt.Sprintf("%08x", 0x9000+number)}
		})
	})
}

// Guards against a part far behind in a long prompt that crashes engine after engine.
func TestLatePartThatCrashesEnginesIsQuarantined(t *testing.T) {
	const count, place = 300, 250
	var long []string
	for i := range count {
		long = append(long, fmt.Sprintf("%08x", 0x5000+i))
	}
	withOwn := func(number int) []string { return append(slices.Clone(long), fmt.Sprintf("%08x", 0x9000+number)) }
	forEachSize(t, func(t *testing.T, daemons int) {
		checkPoisonBeside(t, deployForPoison(t, daemons), allowedPartCrashes, withOwn, func(number int) []string {
			parts := withOwn(number)
			parts[place] = poisonousPart
			return parts
		})
	})
}

// Guards against a repeated request that crashes engine after engine.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	forEachSize(t, func(t *testing.T, daemons int) {
		checkPoison(t, deployForPoison(t, daemons), allowedRequestCrashes, func(int) []string { return []string{sharedPart, poisonousPart} })
	})
}

// quarantined returns the fingerprints of parts that a daemon holds as quarantined.
func (d *deployment) quarantined(node *daemon) (fingerprints []string) {
	for _, entry := range d.dump(node).Quarantine {
		if entry.Part && entry.State == "quarantined" {
			fingerprints = append(fingerprints, entry.Fingerprint)
		}
	}
	return fingerprints
}

// crashEngines sends poisonous requests until each daemon holds the part as quarantined.
func (d *deployment) crashEngines() {
	d.fleet.SetPoison(poisonousPart)
	require.Eventually(d.t, func() bool {
		for i, node := range d.daemons {
			if len(d.quarantined(node)) == 0 {
				d.sendPoison(i)
				return false
			}
		}
		return true
	}, time.Minute, poisonInterval)
	require.Len(d.t, d.quarantined(d.daemons[0]), 1)
}

func (d *deployment) sendPoison(daemon int) result {
	return d.send(d.daemons[daemon], call{path: lettersPath + "1", tokens: soundTokens, header: promptHeader(poisonousPart, strconv.FormatInt(d.ids.Load(), 16))})
}

// Guards against a quarantine that is lost with the daemons, or can't be lifted.
func TestQuarantineOutlivesDaemonsUntilItIsLifted(t *testing.T) {
	t.Parallel()
	d := deployForPoison(t, 2)
	d.crashEngines()
	d.awaitStored(true)
	for _, node := range d.daemons {
		node.stop()
	}
	for _, node := range d.daemons {
		require.NoError(t, <-node.done)
	}
	d.daemons = nil
	settings := d.settings()
	d.seeds = append(d.seeds, settings.Peers)
	d.startDaemon(settings)
	d.startFleet(1)
	crashes := len(d.fleet.Crashes())
	for i := range 6 {
		if got := d.sendPoison(i % 2); got.status == http.StatusServiceUnavailable {
			require.Empty(t, d.fleet.RunsOf(got.id))
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.LessOrEqual(t, len(d.fleet.Crashes()), crashes+1, "more than one trial crashed an engine")
	d.fleet.SetPoison("")
	address := netip.AddrPortFrom(d.daemons[0].settings.Callers.Addr(), d.daemons[0].settings.Metrics)
	request, err := http.NewRequest(http.MethodDelete, "http://"+address.String()+"/v1/quarantine/"+d.quarantined(d.daemons[0])[0], nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.Equal(t, http.StatusOK, d.sendPoison(0).status)
	d.awaitStored(false)
}

// awaitStored waits until the store holds quarantined fingerprints, or none.
func (d *deployment) awaitStored(stored bool) {
	require.Eventually(d.t, func() bool { return d.store.Holds(quarantineTopic) == stored }, waitLimit, 100*time.Millisecond)
}

// Guards against fingerprints that stay in the store after their quarantine has ended.
func TestExpiredQuarantineIsDeletedFromStore(t *testing.T) {
	t.Parallel()
	d := deployForPoison(t, 2)
	d.crashEngines()
	d.awaitStored(true)
	appended := d.store.Appended(quarantineTopic)
	d.clockOffset.Store(int64(quarantiner.DefaultTTL))
	d.awaitStored(false)
	time.Sleep(stabilityWindow)
	require.LessOrEqual(t, d.store.Appended(quarantineTopic)-appended, uint64(len(d.daemons)), "records that were never stored are deleted")
	expired := quarantiner.Record{RequestFingerprint: quarantiner.PartFingerprint("scribe", "old"), Version: 1, Time: time.Now().Add(-quarantiner.DefaultTTL)}
	data, err := json.Marshal(expired)
	require.NoError(t, err)
	d.store.Put(quarantineTopic, expired.Key(), data)
	d.startDaemon(d.settings())
	d.awaitStored(false)
}

// Guards against a quarantine that a restored store has lost, and against one that its copy brings back.
func TestQuarantineIsRepairedInRestoredStore(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{2, 4} {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			t.Parallel()
			d := deployForPoison(t, daemons)
			d.crashEngines()
			d.awaitStored(true)
			d.restore(map[string]int{quarantineTopic: int(d.store.Appended(quarantineTopic))})
			require.False(t, d.store.Holds(quarantineTopic))
			d.awaitStored(true)
			d.clockOffset.Store(int64(quarantiner.DefaultTTL))
			d.awaitStored(false)
			d.restore(map[string]int{quarantineTopic: 1}) // the deletion
			require.True(t, d.store.Holds(quarantineTopic))
			d.awaitStored(false)
		})
	}
}

// Guards against the quarantine of a shared part because of other crashes.
func TestSharedPartIsNotQuarantinedByOtherCrashes(t *testing.T) {
	t.Parallel()
	d := deployForPoison(t, 4)
	var traffic soundTraffic
	begin := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		repeat(soundInterval, begin.Add(warmUpDuration+poisonedDuration), func(number int) { d.sendSound(&traffic, number, soundParts(number)) })
	})
	for range 6 {
		time.Sleep(poisonedDuration / 6)
		for _, engine := range d.enginesAt(0)[:2] {
			d.fleet.CrashAndRestart(engine)
		}
	}
	group.Wait()
	for _, node := range d.daemons {
		require.Empty(t, d.quarantined(node))
	}
	served, sent := traffic.served(begin, time.Now())
	t.Logf("%d of %d sound requests served beside %d crashes", served, sent, len(d.fleet.Crashes()))
	require.GreaterOrEqual(t, float64(served)/float64(sent), minSoundShare)
	require.GreaterOrEqual(t, len(d.fleet.Crashes()), 2*quarantineThreshold)
}
