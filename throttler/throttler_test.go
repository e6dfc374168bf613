package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/throttler"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	bounds = throttler.Bounds{Aim: 300 * time.Millisecond, Patience: 1200 * time.Millisecond}
)

// The load that is played: all callers come again at once after all daemons
// were started anew, while engines have lost a part of their speed.
const (
	tick     = 5 * time.Millisecond
	daemons  = 15
	speed    = 100.0           // prompts a second that the engines read together
	fastest  = 25.0            // parts of a prompt a second that are read when it is alone
	arrivals = 62.0            // new requests a second
	surge    = 400             // requests that come at once
	gap      = 2 * time.Second // after which callers leave
	length   = 20 * time.Second
	back     = 6 * time.Second // most that a caller waits to come again
)

type request struct {
	came    time.Time // this time
	retries int
	daemon  int
	place   *throttler.Place
	left    float64 // part of the prompt to read
}

// fleet is daemons before engines that share their speed among all prompts.
type fleet struct {
	throttles bool // else each request goes to the engines at once
	random    *rand.Rand
	daemons   [daemons]throttler.Throttler
	waiting   []*request // in daemons
	reading   []*request // at engines
	later     map[time.Time][]*request
	asked     int
	served    int
}

// play returns how many requests there were and how many got a first event.
func play(throttles bool) (asked, served int) {
	f := &fleet{throttles: throttles, random: rand.New(rand.NewPCG(1, 2)), later: map[time.Time][]*request{}}
	for range surge {
		f.asked++
		f.enter(start, &request{}) // they came again already
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		if f.random.Float64() < arrivals*tick.Seconds() {
			f.asked++
			f.enter(now, &request{retries: 1})
		}
		for _, r := range f.later[now] {
			f.enter(now, r)
		}
		f.wait(now)
		f.read(now)
	}
	return f.asked, f.served
}

func (f *fleet) enter(now time.Time, r *request) {
	r.came, r.daemon, r.left = now, f.random.IntN(daemons), 1
	if !f.throttles {
		f.reading = append(f.reading, r)
		return
	}
	var wait time.Duration
	if r.place, wait = f.daemons[r.daemon].Enter(bounds, 0, false); r.place == nil {
		f.refuse(now, r, wait)
		return
	}
	f.waiting = append(f.waiting, r)
}

// refuse lets a request come again if its caller does.
func (f *fleet) refuse(now time.Time, r *request, wait time.Duration) {
	if r.retries == 0 {
		return
	}
	r.retries--
	at := now.Add(min(wait+time.Duration(f.random.Int64N(int64(back/2))), back)).Truncate(tick).Add(tick)
	f.later[at] = append(f.later[at], r)
}

func (f *fleet) wait(now time.Time) {
	var still []*request
	for _, r := range f.waiting {
		switch {
		case isReady(r.place):
			f.daemons[r.daemon].Start(now, r.place)
			f.reading = append(f.reading, r)
		case now.Sub(r.came) < bounds.Patience:
			still = append(still, r)
		default:
			f.daemons[r.daemon].Leave(now, bounds, r.place)
			f.refuse(now, r, 0)
		}
	}
	f.waiting = still
}

func (f *fleet) read(now time.Time) {
	part := min(fastest, speed/float64(max(len(f.reading), 1))) * tick.Seconds()
	var still, left []*request
	for _, r := range f.reading {
		r.left -= part
		switch {
		case r.left <= 0:
			f.served++
			if f.throttles {
				f.daemons[r.daemon].First(now, bounds, r.place)
			}
		case now.Sub(r.came) >= gap:
			left = append(left, r)
		default:
			still = append(still, r)
		}
	}
	f.reading = still
	for _, r := range left {
		if f.throttles {
			f.daemons[r.daemon].Leave(now, bounds, r.place)
		}
		if r.retries > 0 {
			r.retries--
			f.enter(now, r)
		}
	}
}

// Guards against an overload that keeps itself up: engines read prompts whose
// callers leave before the first event, and none is served.
func TestSurgeIsServed(t *testing.T) {
	asked, served := play(true)
	_, without := play(false)
	require.Greater(t, served, without)
	// All but the part of the surge that engines can't read before its callers
	// leave, times the share that is asked for on days with faults.
	lost := surge + arrivals*gap.Seconds() - speed*gap.Seconds()
	require.Greater(t, float64(served), 0.85*(float64(asked)-lost))
}

// Guards against requests that are held up or refused without an overload.
func TestCalmLoadIsNotHeld(t *testing.T) {
	var one throttler.Throttler
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		place, _ := one.Enter(bounds, 0, false)
		require.NotNil(t, place)
		select {
		case <-place.Ready:
		default:
			require.Fail(t, "a request waits although engines are idle")
		}
		one.Start(now, place)
		one.First(now.Add(60*time.Millisecond), bounds, place)
	}
}

// Guards against a daemon that refuses requests after its start since others
// waited for layers to be loaded.
func TestWaitForLayersIsNoOverload(t *testing.T) {
	var one throttler.Throttler
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		place, _ := one.Enter(bounds, 0, false)
		require.NotNil(t, place)
		now = now.Add(500 * time.Millisecond)
		if i%2 == 0 {
			one.Leave(now, bounds, place)
			continue
		}
		one.Start(now, place)
		one.First(now.Add(60*time.Millisecond), bounds, place)
	}
	limit, _, _ := one.Limit()
	require.GreaterOrEqual(t, limit, 6.0)
}

// Guards against urgent requests behind less urgent ones, and against streams
// that pause since new requests go before them.
func TestUrgentRequestsGoFirst(t *testing.T) {
	var one throttler.Throttler
	var active []*throttler.Place
	for {
		place, _ := one.Enter(bounds, 1, false)
		require.NotNil(t, place)
		if !isReady(place) {
			break // the first that waits
		}
		active = append(active, place)
	}
	urgent, _ := one.Enter(bounds, 0, false)
	resumed, _ := one.Enter(bounds, 1, true)
	require.True(t, isReady(resumed))
	require.False(t, isReady(urgent))
	one.Start(start, resumed)
	one.Start(start, active[0])
	one.First(start.Add(50*time.Millisecond), bounds, resumed)
	one.First(start.Add(50*time.Millisecond), bounds, active[0])
	require.True(t, isReady(urgent))
	_, _, queued := one.Limit()
	require.LessOrEqual(t, queued, 1)
}

// Guards against places that are never given back, after which a daemon
// refuses everything.
func TestPlacesAreGivenBack(t *testing.T) {
	var one throttler.Throttler
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	var places []*throttler.Place
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if place, _ := one.Enter(bounds, random.IntN(2), random.IntN(10) == 0); place != nil {
			places = append(places, place)
		}
		if len(places) == 0 || random.IntN(3) == 0 {
			continue
		}
		at := random.IntN(len(places))
		if place := places[at]; isReady(place) && random.IntN(2) == 0 {
			one.Start(now.Add(-100*time.Millisecond), place)
			one.First(now, bounds, place)
		} else {
			one.Leave(now, bounds, place)
		}
		one.Leave(now, bounds, places[at]) // once more does no harm
		places = append(places[:at], places[at+1:]...)
	}
	for _, place := range places {
		one.Leave(now, bounds, place)
	}
	_, active, queued := one.Limit()
	require.Zero(t, active)
	require.Zero(t, queued)
}

func isReady(place *throttler.Place) bool {
	select {
	case <-place.Ready:
		return true
	default:
		return false
	}
}
