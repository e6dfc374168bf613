package advertiser_test

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/advertiser"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func member(i int, centre string) cowslipproxy.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
	return cowslipproxy.Member{
		Owner: cowslipproxy.Owner{Name: "entry-" + strconv.Itoa(100+i), Incarnation: 1},
		Hello: cowslipproxy.Hello{Caller: address, Peer: address, Centre: centre}, LastSeen: start,
	}
}

// Guards against responses that include starting, stopping, failed or silent daemons,
// list another data centre first, or omit usable daemons.
func TestSelectAddresses(t *testing.T) {
	const maxSilence = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		centres := []string{"oyo-a", "oyo-b", "oyo-c"}
		usable := map[netip.AddrPort]string{}
		localCount := 0
		var members []cowslipproxy.Member
		for i := range rapid.IntRange(0, 20).Draw(t, "members") {
			m := member(i, rapid.SampledFrom(centres).Draw(t, "centre"))
			m.Down, m.Stopping = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "stopping")
			m.Starting = rapid.Bool().Draw(t, "starting")
			silence := time.Duration(rapid.Int64Range(0, int64(2*maxSilence)).Draw(t, "silence"))
			m.LastSeen = start.Add(-silence)
			members = append(members, m)
			if !m.Down && !m.Starting && !m.Stopping && silence <= maxSilence {
				usable[m.Caller] = m.Centre
				if m.Centre == "oyo-a" {
					localCount++
				}
			}
		}
		a := advertiser.Advertiser{Centre: "oyo-a", Random: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))}
		response := a.SelectAddresses(start, members)
		require.Len(t, response.Addresses, min(len(usable), 8))
		seen := map[netip.AddrPort]bool{}
		for i, address := range response.Addresses {
			require.Contains(t, usable, address.Address)
			require.False(t, seen[address.Address], "address is listed twice")
			require.Equal(t, i < localCount, address.Centre == "oyo-a")
			seen[address.Address] = true
		}
	})
}

// Guards against all callers receiving the same daemon as their first address.
func TestSelectAddressesDistributesCallers(t *testing.T) {
	var members []cowslipproxy.Member
	for i := range 15 {
		members = append(members, member(i, []string{"a", "b", "c"}[i%3]))
	}
	a := advertiser.Advertiser{Centre: "a", Random: rand.New(rand.NewPCG(1, 2))}
	first := map[netip.AddrPort]int{}
	for range 5000 {
		first[a.SelectAddresses(start, members).Addresses[0].Address]++
	}
	require.Len(t, first, 5)
	for _, count := range first {
		require.InDelta(t, 1000, count, 150) // five standard deviations
	}
}

// Guards against a stopping daemon that rejects callers whose address response
// is still valid and includes it. Each peer learns of the stop at a random time
// within the propagation time, and responds to callers before and after that.
func TestStopOutlastsAddressResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const propagation, lifetime = 5 * time.Second, 30 * time.Second
		stopper := advertiser.Stopper{Propagation: propagation, Lifetime: lifetime}
		a := advertiser.Advertiser{Centre: "a", Lifetime: lifetime, Random: rand.New(rand.NewPCG(3, 4))}
		stopping := member(0, "a")
		var last time.Time // expiry of the last response that includes the daemon
		for range 15 {
			learnedAt := time.Duration(rapid.Int64Range(0, int64(propagation)-1).Draw(t, "learned at"))
			requestedAt := time.Duration(rapid.Int64Range(0, int64(2*propagation)).Draw(t, "requested at"))
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)-1).Draw(t, "delay"))
			seen := stopping
			seen.Stopping = requestedAt >= learnedAt
			response := a.SelectAddresses(start, []cowslipproxy.Member{seen, member(1, "a")})
			require.Len(t, response.Addresses, map[bool]int{true: 1, false: 2}[seen.Stopping])
			if expiry := start.Add(requestedAt + delay + time.Duration(response.Lifetime)); !seen.Stopping && expiry.After(last) {
				last = expiry
			}
		}
		stopper.Begin(start)
		step := time.Duration(rapid.Int64Range(1e8, 7e9).Draw(t, "step"))
		for now := start; now.Before(last); now = now.Add(step) {
			phase := stopper.Step(0, now)
			require.Contains(t, []advertiser.Phase{advertiser.PhaseLeaving, advertiser.PhaseDraining}, phase)
		}
		require.Equal(t, advertiser.PhaseEnded, stopper.Step(0, start.Add(propagation+lifetime+time.Second)))
	})
}

// Guards against a stop that interrupts requests in flight before the configured
// limit, or that doesn't complete after it.
func TestStopWaitsForRequests(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Minute} {
		stopper := advertiser.Stopper{Propagation: time.Second, Lifetime: 8 * time.Second, MaxWait: limit}
		require.Equal(t, advertiser.PhaseServing, stopper.Step(1, start))
		require.False(t, stopper.IsStopping())
		stopper.Begin(start)
		stopper.Begin(start.Add(time.Second))
		finishing := start.Add(10 * time.Second)
		require.Equal(t, advertiser.PhaseLeaving, stopper.Step(1, start))
		require.Equal(t, advertiser.PhaseDraining, stopper.Step(0, finishing.Add(-1)))
		require.Equal(t, advertiser.PhaseFinishing, stopper.Step(1, finishing))
		require.Equal(t, advertiser.PhaseFinishing, stopper.Step(1, finishing.Add(time.Minute-1)))
		if limit > 0 {
			require.Equal(t, advertiser.PhaseEnded, stopper.Step(1, finishing.Add(time.Minute)))
			continue
		}
		require.Equal(t, advertiser.PhaseFinishing, stopper.Step(1, finishing.Add(time.Hour)))
		require.Equal(t, advertiser.PhaseEnded, stopper.Step(0, finishing.Add(time.Hour)))
	}
}
