package balancer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/balancer"
)

// fleet plays daemons that choose among servers by load figures of a given age.
type fleet struct {
	daemons int
	age     time.Duration // mean age of the figures; 0 for present ones
	choose  option
	own     bool // a daemon adds its own sends since the figure

	random  *rand.Rand
	loads   []int   // requests running or waiting by server
	past    [][]int // loads by step
	sent    [][]send
	mine    [][]int // requests of each daemon by server
	owners  [][]int // daemon of each request by server
	credits [][]float64
}

type send struct{ step, server int }

type option func(f *fleet, daemon int, candidates []cowslipproxy.Candidate) int

const (
	servers  = 20
	room     = 60              // requests that a server runs at once
	hold     = 4 * time.Second // mean time that a request takes
	use      = 0.8             // fraction of the room that requests need on average
	step     = 10 * time.Millisecond
	interval = 700 * time.Millisecond // between two figures
)

// play returns the mean of the largest load over the mean load, and the 99th percentile of the
// requests that wait at a server.
func (f *fleet) play() (spread float64, queue int) {
	f.random = rand.New(rand.NewPCG(7, uint64(f.daemons)))
	f.loads, f.owners = make([]int, servers), make([][]int, servers)
	f.sent, f.past, f.mine, f.credits = make([][]send, f.daemons), nil, make([][]int, f.daemons), make([][]float64, f.daemons)
	for i := range f.mine {
		f.mine[i], f.credits[i] = make([]int, servers), make([]float64, servers)
		for j := range f.credits[i] {
			f.credits[i][j] = f.random.Float64()
		}
	}
	rate := use * float64(servers*room) / hold.Seconds() * step.Seconds()
	steps, warm := int(60*time.Second/step), int(20*time.Second/step)
	var queues []int
	for at := range steps {
		f.past = append(f.past, slices.Clone(f.loads))
		f.leave()
		for range poisson(f.random, rate) {
			f.arrive(at)
		}
		if at < warm || at%10 != 0 {
			continue
		}
		sum := 0
		for _, load := range f.loads {
			sum += load
			queues = append(queues, max(load-room, 0))
		}
		spread += float64(slices.Max(f.loads)) / (float64(max(sum, 1)) / float64(servers))
	}
	slices.Sort(queues)
	return spread / float64((steps-warm)/10), queues[len(queues)*99/100]
}

func poisson(random *rand.Rand, mean float64) (count int) {
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

func (f *fleet) leave() {
	for server := range f.loads {
		for i := min(f.loads[server], room) - 1; i >= 0; i-- {
			if f.random.Float64() < step.Seconds()/hold.Seconds() {
				f.mine[f.owners[server][i]][server]--
				f.owners[server] = slices.Delete(f.owners[server], i, i+1)
				f.loads[server]--
			}
		}
	}
}

func (f *fleet) arrive(at int) {
	daemon := f.random.IntN(f.daemons)
	server := f.choose(f, daemon, f.candidates(at, daemon))
	f.loads[server]++
	f.owners[server] = append(f.owners[server], daemon)
	f.mine[daemon][server]++
	f.sent[daemon] = append(f.sent[daemon], send{at, server})
}

// candidates returns what a daemon knows of the servers.
func (f *fleet) candidates(at, daemon int) []cowslipproxy.Candidate {
	figure := at
	loads := slices.Clone(f.loads)
	if f.age > 0 {
		every := min(int(interval/step), 2*int(f.age/step))
		phase := daemon * every / f.daemons
		made := (at+phase)/every*every - phase - (int(f.age/step) - every/2)
		figure = max(made, 0)
		loads = slices.Clone(f.past[figure])
	}
	f.sent[daemon] = slices.DeleteFunc(f.sent[daemon], func(s send) bool { return s.step < figure })
	if f.own && f.age > 0 {
		for _, s := range f.sent[daemon] {
			loads[s.server]++
		}
	}
	var found []cowslipproxy.Candidate
	for i, load := range loads {
		found = append(found, cowslipproxy.Candidate{Credit: &f.credits[daemon][i], Load: float64(load) / float64(room), Room: 1, Preference: 1, Age: time.Duration(at-figure) * step})
	}
	return found
}

func least(count int) option {
	return func(f *fleet, _ int, candidates []cowslipproxy.Candidate) int {
		order := f.random.Perm(len(candidates))[:count]
		return slices.MinFunc(order, func(a, b int) int { return cmp.Compare(candidates[a].Load, candidates[b].Load) })
	}
}

// byRoom chooses in proportion to the free room.
func byRoom(f *fleet, _ int, candidates []cowslipproxy.Candidate) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		if key := f.random.ExpFloat64() / max(1-c.Load, 0.01); key < lowest {
			best, lowest = i, key
		}
	}
	return best
}

// subset chooses the least loaded of five servers that a daemon always uses.
func subset(_ *fleet, daemon int, candidates []cowslipproxy.Candidate) int {
	size := min(5, len(candidates))
	best := -1
	for i := range size {
		server := (daemon*size + i*(1+daemon%3)) % len(candidates)
		if best < 0 || candidates[server].Load < candidates[best].Load {
			best = server
		}
	}
	return best
}

// byShare chooses the server of which the daemon uses the least of its share of the room.
func byShare(f *fleet, daemon int, candidates []cowslipproxy.Candidate) int {
	order := f.random.Perm(len(candidates))
	return slices.MinFunc(order, func(a, b int) int { return f.mine[daemon][a] - f.mine[daemon][b] })
}

func damped(_ *fleet, _ int, candidates []cowslipproxy.Candidate) int {
	b := balancer.Balancer{Hold: hold}
	return b.Choose(candidates)
}

// options are the ways to choose that are compared.
var options = []struct {
	name   string
	own    bool
	choose option
}{
	{"one at random", false, least(1)},
	{"least of two", false, least(2)},
	{"least of two, own sends", true, least(2)},
	{"least of three, own sends", true, least(3)},
	{"by free room", false, byRoom},
	{"subsets, own sends", true, subset},
	{"share of the room", false, byShare},
	{"damped", false, damped},
	{"damped, own sends", true, damped},
}

// Guards against a choice that is less even than 1.2 times the best possible, for requests that
// hold a server for longer than the age of the figures, and against one that is less even than
// the usual choices for any number of daemons. It prints the figures of the design note.
func TestSpread(t *testing.T) {
	for _, daemons := range []int{4, 15, 126, 300} {
		best, _ := (&fleet{daemons: daemons, choose: least(servers)}).play()
		spreads := map[string]float64{}
		for _, o := range options {
			line := ""
			for _, age := range []time.Duration{time.Second, 2 * time.Second} {
				spread, queue := (&fleet{daemons: daemons, age: age, choose: o.choose, own: o.own}).play()
				line += fmt.Sprintf("  %.2f x (%d)", spread/best, queue)
				if age == time.Second {
					spreads[o.name] = spread / best
				}
			}
			t.Logf("%3d daemons, %-26s%s", daemons, o.name, line)
		}
		require.LessOrEqual(t, spreads["damped, own sends"], 1.2)
		require.Less(t, spreads["damped, own sends"], spreads["least of two, own sends"])
		require.Less(t, spreads["damped, own sends"], spreads["least of three, own sends"])
	}
}

// Guards against requests that are not dealt out evenly at even load or none, and against a burst
// to a candidate that was not offered for some time.
func TestEvenParts(t *testing.T) {
	for _, load := range []float64{0, 0.5} {
		var credits [3]float64
		var all []cowslipproxy.Candidate
		for i := range credits {
			all = append(all, cowslipproxy.Candidate{Load: load, Room: 6, Preference: 1, Age: time.Second, Credit: &credits[i]})
		}
		b := balancer.Balancer{Hold: hold}
		choose := func(candidates []cowslipproxy.Candidate, requests int) (counts [3]int) {
			for range requests {
				counts[b.Choose(candidates)]++
			}
			return counts
		}
		require.Equal(t, [3]int{100, 100, 100}, choose(all, 300))
		choose(all[:2], 100)
		require.LessOrEqual(t, choose(all, 30)[2], 11)
	}
}
