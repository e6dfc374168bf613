package limiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
)

// A fixed seed of rapid makes the results of the tests reproducible.
func init() {
	if err := flag.Set("rapid.seed", "11"); err != nil {
		panic(err)
	}
}

func daemons(n int) (all []*limiter.Limits) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("daemon-%d", i))
	}
	for _, name := range names {
		l := &limiter.Limits{Self: name}
		l.SetDaemons(epoch, names)
		all = append(all, l)
	}
	return all
}

// sendDigest sends a digest to all daemons and returns its encoded size.
func sendDigest(t *testing.T, now time.Time, digest limiter.Digest, all []*limiter.Limits) int {
	data, err := cbor.Marshal(digest)
	require.NoError(t, err)
	for _, other := range all {
		other.Merge(now, digest)
	}
	return len(data)
}

// Guards against daemons that together admit more or less than a customer's limit,
// both with demand at all daemons and after the demand moved to a few of them.
func TestDaemonsEnforceLimitTogether(t *testing.T) {
	customer := cowslipproxy.Customer{Name: "hollins", Rate: 20000, Burst: 20000}
	all, random := daemons(15), rand.New(rand.NewPCG(5, 5))
	admitted, largest := map[int]float64{}, 0
	for tick := range 60 * 200 { // 5 ms each
		now := epoch.Add(time.Duration(tick) * 5 * time.Millisecond)
		second := tick / 200
		first, count := 0, 15
		if second >= 20 {
			first, count = 3, 4
		}
		if second >= 40 {
			first, count = 9, 2
		}
		for random.Float64() < 0.6 { // 300 requests of 200 tokens per second, three times the limit
			if all[first+random.IntN(count)].Reserve(now, customer, 200) == nil {
				admitted[second] += 200
			}
		}
		for i, l := range all {
			if tick%200 != i*13 { // each daemon sends a digest once a second, at its own time
				continue
			}
			digest := l.Digest(now)
			largest = max(largest, sendDigest(t, now, digest, all))
		}
	}
	admittedShare := func(from, to int) (sum float64) {
		for second := from; second < to; second++ {
			sum += admitted[second] / float64(to-from)
		}
		return sum / customer.Rate
	}
	even, few, two := admittedShare(5, 20), admittedShare(25, 40), admittedShare(45, 60)
	t.Logf("admitted share of the limit: 15 daemons %.3f, 4 daemons %.3f, 2 daemons %.3f; in the 5 s after each move %.3f and %.3f; largest digest %d bytes",
		even, few, two, admittedShare(20, 25), admittedShare(40, 45), largest)
	for _, part := range []float64{even, few, two} {
		require.InDelta(t, 1, part, 0.1)
	}
}

// Guards against shares that depend on the order, duplication or delay of digests.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) limiter.Digest {
			return limiter.Digest{
				Source: fmt.Sprintf("daemon-%d", rapid.IntRange(1, 3).Draw(t, "source")),
				Seq:    rapid.Uint64Range(1, 5).Draw(t, "seq"),
			}
		}), 0, 10).Draw(t, "digests")
		for i, d := range digests { // digests with the same source and number have the same content
			digests[i].Demands = []limiter.Demand{{Customer: "hollins", Rate: uint32(len(d.Source)) * uint32(d.Seq*d.Seq)}}
		}
		order := rapid.Permutation(append(digests, digests...)).Draw(t, "order")
		all := daemons(4)
		one, other := all[0], daemons(4)[0]
		for _, d := range digests {
			one.Merge(epoch, d)
		}
		for _, d := range order {
			other.Merge(epoch, d)
		}
		require.Equal(t, one.Share("hollins"), other.Share("hollins"))
	})
}

// Guards against shares that do not add up to one after all digests have arrived,
// and against a daemon whose share stays zero.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := daemons(rapid.IntRange(1, 15).Draw(t, "daemons"))
		customer := cowslipproxy.Customer{Name: "hollins", Rate: 1e6, Burst: 1e6}
		for _, l := range all {
			if tokens := rapid.IntRange(0, 10000).Draw(t, "tokens"); tokens > 0 {
				l.Reserve(epoch, customer, tokens)
			}
		}
		now := epoch.Add(time.Second)
		for _, l := range all {
			digest := l.Digest(now)
			for _, other := range all {
				other.Merge(now, digest)
			}
		}
		sum := 0.0
		for _, l := range all {
			sum += l.Share("hollins")
			require.GreaterOrEqual(t, l.Share("hollins"), limiter.DefaultEqualShare/float64(len(all))*0.999)
		}
		require.InDelta(t, 1, sum, 0.001)
	})
}

// Guards against reservations that are not settled, and against a Retry-After of the
// rate limit after which the request is refused again.
func TestReservationsAreSettled(t *testing.T) {
	customer := cowslipproxy.Customer{Name: "hollins", Rate: 10, Burst: 100}
	l := &limiter.Limits{Self: "a"}
	require.Nil(t, l.Reserve(epoch, customer, 100))
	failure := l.Reserve(epoch, customer, 50)
	require.Equal(t, cowslipproxy.ReasonOverLimit, failure.Reason)
	require.NotNil(t, l.Reserve(epoch.Add(failure.RetryAfter-10*time.Millisecond), customer, 50))
	require.Nil(t, l.Reserve(epoch.Add(failure.RetryAfter), customer, 50))
	l.Settle("hollins", 50, 10)
	require.Nil(t, l.Reserve(epoch.Add(failure.RetryAfter), customer, 40))
	require.NotNil(t, l.Reserve(epoch.Add(failure.RetryAfter), customer, 1))
}
