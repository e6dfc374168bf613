package picker_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/balancer"
	"github.com/cowslipproxy/cowslipproxy/picker"
)

const (
	tick  = 5 * time.Millisecond
	slots = 6
	hold  = 150 * time.Millisecond // mean time that a request takes
)

// fleet plays daemons that choose among the same servers.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	pickers []*picker.Picker
	servers [][]request
	figures []figure // on their way to daemons
}

type request struct {
	picker *picker.Picker
	left   time.Duration // service time
}

// figure is the load of other daemons' requests, which reaches a daemon at a time.
type figure struct {
	at     time.Time
	picker *picker.Picker
	loads  map[string]float64
}

func newFleet(daemons, servers int, b cowslipproxy.Balancer) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(3, 4)), now: start, servers: make([][]request, servers)}
	var list []cowslipproxy.Instance
	for i := range servers {
		list = append(list, server(strconv.Itoa(i), string("abc"[i%3]), cowslipproxy.VMLive))
	}
	for i := range daemons {
		p := &picker.Picker{Centre: string("abc"[i%3]), Random: rand.New(rand.NewPCG(5, uint64(i))), Balancer: b}
		p.Set(list)
		f.pickers = append(f.pickers, p)
	}
	return f
}

// step plays one tick. A part of the requests, besides their share, comes to data centre a.
func (f *fleet) step(rate, skew float64) {
	f.now = f.now.Add(tick)
	for i := range f.servers {
		f.serve(i)
	}
	f.exchange()
	for at := f.random.ExpFloat64(); at < rate*tick.Seconds(); at += f.random.ExpFloat64() {
		daemon := f.random.IntN(len(f.pickers))
		if f.random.Float64() < skew {
			daemon -= daemon % 3
		}
		p := f.pickers[daemon]
		chosen, _ := p.Pick(f.now, nil)
		i, _ := strconv.Atoi(chosen.ID)
		f.servers[i] = append(f.servers[i], request{p, time.Duration(float64(hold) * (0.5 + f.random.Float64()))})
	}
}

func (f *fleet) serve(i int) {
	for j := min(len(f.servers[i]), slots) - 1; j >= 0; j-- {
		r := &f.servers[i][j]
		if r.left -= tick; r.left <= 0 {
			p := r.picker
			f.servers[i] = slices.Delete(f.servers[i], j, j+1)
			running := min(len(f.servers[i]), slots)
			p.Done(f.now, strconv.Itoa(i), false, &cowslipproxy.ServerLoad{Running: running, Waiting: len(f.servers[i]) - running, Slots: slots})
		}
	}
}

func (f *fleet) exchange() {
	for len(f.figures) > 0 && !f.figures[0].at.After(f.now) {
		f.figures[0].picker.SetOtherLoads(f.now, f.figures[0].loads)
		f.figures = f.figures[1:]
	}
	for i, p := range f.pickers {
		if (int(f.now.Sub(start)/tick)+i)%140 != 0 { // each 0.7 s
			continue
		}
		loads, own := map[string]float64{}, p.OwnLoads()
		for i := range f.servers {
			loads[strconv.Itoa(i)] = float64(len(f.servers[i])) - own[strconv.Itoa(i)]
		}
		f.figures = append(f.figures, figure{f.now.Add(650 * time.Millisecond), p, loads})
	}
}

// play returns the mean of the largest load over the mean load, the 99th percentile of the
// requests that wait at a server, and the mean number that wait at all servers.
func (f *fleet) play(use, skew float64) (spread float64, queue int, waiting float64) {
	rate := use * float64(len(f.servers)*slots) / hold.Seconds()
	var queues []int
	samples := 0
	for n := range int(120 * time.Second / tick) {
		if f.step(rate, skew); n%20 != 0 || n < 2000 {
			continue
		}
		sum, worst := 0, 0
		for _, requests := range f.servers {
			queued := max(len(requests)-slots, 0)
			sum, worst, queues, waiting = sum+len(requests), max(worst, len(requests)), append(queues, queued), waiting+float64(queued)
		}
		spread += float64(worst*len(f.servers)) / float64(max(sum, 1))
		samples++
	}
	slices.Sort(queues)
	return spread / float64(samples), queues[len(queues)*99/100], waiting / float64(samples)
}

// Guards against requests that queue at the servers of a data centre with more demand, or of a few
// daemons' choice, while others are idle, and against a change of what happens under light load.
func TestLoadIsEvenUnderLoad(t *testing.T) {
	for _, c := range []struct {
		daemons, servers int
		use, skew        float64
		less             float64 // bound on the waiting requests as a fraction of those of the lowest cost
	}{{123, 7, 0.2, 0, 1}, {123, 7, 0.75, 0, 1}, {123, 7, 0.75, 0.5, 0.5}, {31, 3, 0.5, 0.5, 1.1}, {31, 3, 0.75, 0.5, 1.1}, {15, 7, 0.7, 0, 0.6}, {4, 7, 0.7, 0, 0.5}} {
		spreadBefore, queueBefore, before := newFleet(c.daemons, c.servers, nil).play(c.use, c.skew)
		spread, queue, waiting := newFleet(c.daemons, c.servers, &balancer.Balancer{Hold: picker.HoldTime}).play(c.use, c.skew)
		t.Logf("%+v: spread %.2f, 99th percentile of the queue %d, waiting %.2f; before %.2f, %d, %.2f", c, spread, queue, waiting, spreadBefore, queueBefore, before)
		require.LessOrEqual(t, waiting, c.less*before+0.05)
		require.LessOrEqual(t, queue, queueBefore)
	}
}

// Guards against a failing server that stays in use under load, and against loads of other daemons
// that are used after 2 s.
func TestFailuresAndOldFiguresUnderLoad(t *testing.T) {
	p := newPicker(server("bad", "a", cowslipproxy.VMLive), server("good", "b", cowslipproxy.VMLive))
	p.Balancer = &balancer.Balancer{Hold: picker.HoldTime}
	p.SetOtherLoads(start, map[string]float64{"bad": 2, "good": 6})
	p.Done(start, "bad", true, nil)
	require.Equal(t, map[string]int{"good": 40}, pickMany(p, 40, true))
	later := start.Add(time.Minute)
	s, _ := p.Pick(later, nil)
	require.Equal(t, "bad", s.ID, "the loads of a minute ago are used")
}
