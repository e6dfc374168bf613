package quarantiner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/quarantiner"
)

var fleetSizes = []int{4, 15, 40, 126}

// fleetWork is the number of seeds of a test times the number of daemons. With 6300, each
// number of daemons gets 50 seeds.
var fleetWork = flag.Int("fleet.work", 40, "seeds times daemons of a simulated fleet")

// fleetSeeds returns the number of seeds for a number of daemons.
func fleetSeeds(daemons int) uint64 {
	return uint64(min(max(*fleetWork/daemons, 1), 50))
}

// checkPoisonedFleet checks that poisonous requests reach few upstreams once the part has
// crashed some, and that sound requests are not refused.
func checkPoisonedFleet(t *testing.T, f *fleet, seed uint64) (crashes int) {
	checkPoisonSends(t, f, seed)
	require.LessOrEqual(t, f.refused, f.sound/20, "seed %d: sound requests were refused", seed)
	return len(f.crashes)
}

func checkPoisonSends(t *testing.T, f *fleet, seed uint64) {
	require.GreaterOrEqual(t, len(f.crashes), fleetThreshold, "seed %d", seed)
	if len(f.crashes) >= allowedCrashes {
		require.LessOrEqual(t, f.sendsAfter(f.crashes[allowedCrashes-1].Add(stabilityWindow)), allowedSends, "seed %d", seed)
	}
}

// Guards against a part that crashes upstreams, of which no daemon sees enough.
func TestFleetQuarantinesPartThatCrashesUpstreams(t *testing.T) {
	for _, daemons := range fleetSizes {
		most := 0
		for seed := range fleetSeeds(daemons) {
			f := newFleet(daemons, seed)
			f.run(true, func(time.Duration) {})
			most = max(most, checkPoisonedFleet(t, f, seed))
		}
		t.Logf("%d daemons: at most %d crashes in %d runs", daemons, most, fleetSeeds(daemons))
	}
}

// Guards against daemons that forget a quarantined part or never learn of it.
func TestFleetQuarantineOutlivesRestartsAndCuts(t *testing.T) {
	for _, daemons := range fleetSizes {
		for seed := range fleetSeeds(daemons) {
			f := newFleet(daemons, seed)
			f.run(true, func(elapsed time.Duration) {
				if elapsed < 2*fleetWarmUp || elapsed%time.Second != 0 {
					return
				}
				f.restart(f.random.IntN(daemons))
				if elapsed%(4*time.Second) == 0 {
					f.setCut(f.random.IntN(daemons))
				}
			})
			checkPoisonedFleet(t, f, seed)
		}
	}
}

// Guards against an outage while no daemon knows yet which parts are sound.
func TestFleetWithoutHistoryServesSoundRequests(t *testing.T) {
	for _, daemons := range fleetSizes {
		effective := 0
		for seed := range fleetSeeds(daemons) {
			f := newFleet(daemons, seed)
			f.poisonFrom = 0
			refused, sound := 0, 0
			f.run(true, func(time.Duration) {
				if len(f.crashes) > 0 && f.now.Sub(f.crashes[min(len(f.crashes), allowedCrashes)-1]) < 2*stabilityWindow {
					refused, sound = f.refused, f.sound
				}
			})
			checkPoisonSends(t, f, seed)
			if f.sound-sound < minSample {
				continue // the last of fewer crashes was too late
			}
			effective++
			require.LessOrEqual(t, f.refused-refused, (f.sound-sound)/2, "%d daemons, seed %d", daemons, seed)
		}
		t.Logf("%d daemons: %d of %d runs are effective", daemons, effective, fleetSeeds(daemons))
		require.Greater(t, effective, int(fleetSeeds(daemons)-1)/2)
	}
}

// Guards against sound requests that are refused for parts that they share with bad ones.
func TestFleetServesSharedPartsAfterPause(t *testing.T) {
	for _, shared := range [][]string{{"shared"}, {"shared", "system", "tools"}} {
		for _, daemons := range fleetSizes {
			for seed := range fleetSeeds(daemons) {
				f := newFleet(daemons, seed)
				f.poisonFrom, f.isPaused, f.sharedParts = 0, true, shared
				if seed%2 == 0 {
					f.soundDaemon = f.random.IntN(daemons)
				}
				f.run(true, f.pauseUntilBounds)
				checkPoisonSends(t, f, seed)
				require.GreaterOrEqual(t, f.sound, minSample, "seed %d", seed)
				require.LessOrEqual(t, f.refused, f.sound/2, "%d daemons, %d shared parts, seed %d", daemons, len(shared), seed)
			}
		}
	}
}

// numbered returns names with the numbers from 0.
func numbered(prefix string, count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// Guards against a bad part that is lost among hundreds of other parts, and messages for each of them.
func TestFleetQuarantinesPartAmongHundreds(t *testing.T) {
	const sharedParts, ownParts, messagesPerRequest = 150, 150, 10
	for _, daemons := range fleetSizes {
		if *fleetWork < daemons {
			continue // takes long
		}
		for seed := range (fleetSeeds(daemons) + 9) / 10 {
			f := newFleet(daemons, seed)
			f.sharedParts, f.ownParts = numbered("shared-", sharedParts), ownParts
			isPaused := seed%2 == 1
			if isPaused {
				f.poisonFrom, f.isPaused, f.soundDaemon = 0, true, f.random.IntN(daemons)
			}
			f.run(true, f.pauseUntilBounds)
			checkPoisonSends(t, f, seed)
			require.GreaterOrEqual(t, f.sound, minSample, "seed %d", seed)
			require.LessOrEqual(t, f.refused, f.sound/2, "%d daemons, seed %d, paused %v", daemons, seed, isPaused)
			require.Equal(t, quarantiner.StateQuarantined, f.daemons[0].State(f.now, badPart), "%d daemons, seed %d", daemons, seed)
			require.LessOrEqual(t, f.published, messagesPerRequest*f.broken, "%d daemons, seed %d", daemons, seed)
			t.Logf("%d daemons, seed %d, paused %v: %d crashes with %d requests in flight, %d messages, %d records, %d of %d sound requests refused", daemons, seed, isPaused, len(f.crashes), f.broken, f.published, len(f.daemons[0].Records(f.now)), f.refused, f.sound)
		}
	}
}

// runVaried runs a fleet whose requests have varying sets of shared parts, and whose sound ones come
// once the platform's bounds apply to them.
func runVaried(daemons int, seed uint64) *fleet {
	f := newFleet(daemons, seed)
	f.poisonFrom, f.isPaused, f.areVaried, f.sharedParts = 0, true, true, numbered("shared-", 6)
	f.run(true, f.pauseUntilBounds)
	return f
}

// Guards against trials of each set of parts that a bad one comes with.
func TestFleetBoundsTrialsOfVaryingParts(t *testing.T) {
	for _, daemons := range fleetSizes {
		for seed := range fleetSeeds(daemons) {
			checkPoisonSends(t, runVaried(daemons, seed), seed)
		}
	}
}

// Guards against sound parts that are refused because they were in all trials with a bad one.
func TestFleetServesVaryingSharedParts(t *testing.T) {
	for _, daemons := range fleetSizes {
		for seed := range fleetSeeds(daemons) {
			f := runVaried(daemons, seed)
			assert.LessOrEqual(t, f.refused, f.sound/2, "%d daemons, seed %d", daemons, seed)
		}
	}
}

// runBesideOtherCrashes runs a fleet whose upstreams also crash for other reasons for a while. It
// returns how many sound requests were refused, and how many arrived, once the bounds apply again.
func (f *fleet) runBesideOtherCrashes(poison bool) (refused, sound int) {
	const crashesUntil = 10 * time.Second
	f.run(poison, func(elapsed time.Duration) {
		if elapsed < crashesUntil {
			f.crashRacks(elapsed)
		}
		if elapsed < crashesUntil+2*stabilityWindow {
			refused, sound = f.refused, f.sound
		}
	})
	return f.refused - refused, f.sound - sound
}

// Guards against shared parts that stay quarantined because upstreams also crash for other reasons.
func TestFleetServesSharedPartsAfterOtherCrashes(t *testing.T) {
	for _, daemons := range fleetSizes {
		for seed := range fleetSeeds(daemons) {
			for _, shared := range [][]string{{"shared"}, {"shared", "system", "tools"}} {
				for _, poison := range []bool{false, true} {
					f := newFleet(daemons, seed)
					f.poisonFrom, f.sharedParts, f.soundRate = 0, shared, soundPerSecond/8
					refused, sound := f.runBesideOtherCrashes(poison)
					if poison {
						checkPoisonSends(t, f, seed)
					}
					assert.LessOrEqual(t, refused, sound/2, "poison %v, %d daemons, %d shared parts, seed %d", poison, daemons, len(shared), seed)
				}
			}
		}
	}
}

// Guards against the quarantine of shared parts because of other crashes.
func TestFleetDoesNotQuarantineSharedParts(t *testing.T) {
	for _, daemons := range fleetSizes {
		crashes := 0
		for seed := range fleetSeeds(daemons) {
			f := newFleet(daemons, seed)
			f.run(false, f.crashRacks)
			crashes += f.rackCrashes
			require.Zero(t, f.refused, "seed %d: sound requests were refused", seed)
		}
		require.Greater(t, crashes, 10*int(fleetSeeds(daemons)))
		t.Logf("%d daemons: %d crashes in %d runs", daemons, crashes, fleetSeeds(daemons))
	}
}

// Guards against trials without a result, which may reach upstreams again and again.
func TestFleetBoundsTrialsThatUpstreamsReject(t *testing.T) {
	for _, daemons := range fleetSizes {
		for seed := range fleetSeeds(daemons) {
			f := newFleet(daemons, seed)
			f.rejectFrom = 2 * fleetWarmUp
			quarantinedAt := time.Time{}
			f.run(true, func(elapsed time.Duration) {
				if elapsed >= f.rejectFrom && elapsed%time.Second == 0 {
					f.restart(f.random.IntN(daemons))
				}
				if quarantinedAt.IsZero() && f.daemons[0].State(f.now, badPart) == quarantiner.StateQuarantined {
					quarantinedAt = f.now
				}
			})
			require.False(t, quarantinedAt.IsZero(), "seed %d", seed)
			require.LessOrEqual(t, f.sendsAfter(quarantinedAt.Add(time.Second)), allowedSends, "%d daemons, seed %d", daemons, seed)
		}
	}
}
