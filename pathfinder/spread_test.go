package pathfinder_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/balancer"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
)

// site plays daemons that choose paths through the same engines.
type site struct {
	engines []cowslipproxy.Instance
	finders []*pathfinder.Finder
	random  *rand.Rand
	now     time.Duration // since start
	running []stream
	figures []figure           // on their way to daemons
	loads   map[string]float64 // memory in use, as a fraction
	arrived map[string]int     // requests by engine since it was cleared
}

type stream struct {
	finder *pathfinder.Finder
	path   *pathfinder.Path
	end    time.Duration
}

// figure is the load of other daemons' requests, which reaches a daemon at a time.
type figure struct {
	at     time.Duration
	finder *pathfinder.Finder
	loads  map[string]float64
}

const (
	tick  = 10 * time.Millisecond
	hold  = 4 * time.Second
	share = 700 * time.Millisecond // interval between two figures
	delay = 650 * time.Millisecond // until a figure reaches another daemon
)

func newSite(daemons int, centres string, b cowslipproxy.Balancer) *site {
	s := &site{engines: chains("a", "b", "c", "a", "b", "c"), random: rand.New(rand.NewPCG(3, 4)), loads: map[string]float64{}, arrived: map[string]int{}}
	for i := range daemons {
		f := &pathfinder.Finder{Centre: string(centres[i%len(centres)]), Random: rand.New(rand.NewPCG(5, uint64(i))), Balancer: b}
		f.Set(profile, s.engines)
		s.finders = append(s.finders, f)
	}
	return s
}

func (s *site) add(path *pathfinder.Path, sign float64) {
	for _, hop := range path.Hops {
		s.loads[hop.Instance] += sign * float64(need.Tokens*hop.Range.Len()) / pathfinder.KVCapacity(profile, "l4", 10)
	}
}

// step plays one tick with a number of requests a second from all daemons.
func (s *site) step(rate float64) {
	s.now += tick
	s.running = slices.DeleteFunc(s.running, func(r stream) bool {
		if r.end > s.now {
			return false
		}
		r.finder.End(r.path)
		s.add(r.path, -1)
		return true
	})
	s.exchange()
	for at := s.random.ExpFloat64(); at < rate*tick.Seconds(); at += s.random.ExpFloat64() {
		s.send()
	}
}

// exchange delivers the figures that are due and sends those of this tick.
func (s *site) exchange() {
	for len(s.figures) > 0 && s.figures[0].at <= s.now {
		s.figures[0].finder.SetOtherLoads(s.figures[0].loads)
		s.figures = s.figures[1:]
	}
	for i, f := range s.finders {
		if (s.now+share*time.Duration(i)/time.Duration(len(s.finders))/tick*tick)%share < tick {
			others := map[string]float64{}
			own := f.OwnLoads()
			for _, e := range s.engines {
				others[e.ID] = s.loads[e.ID]*pathfinder.KVCapacity(profile, "l4", 10) - own[e.ID]
			}
			s.figures = append(s.figures, figure{s.now + delay, f, others})
		}
	}
}

func (s *site) send() {
	f := s.finders[s.random.IntN(len(s.finders))]
	path, _ := f.Choose(start.Add(s.now), need)
	f.Begin(path)
	s.add(path, 1)
	s.running = append(s.running, stream{f, path, s.now + time.Duration(s.random.ExpFloat64()*float64(hold))})
	for _, hop := range path.Hops {
		s.arrived[hop.Instance]++
	}
}

// fail takes an engine out of use for 3 s.
func (s *site) fail(e cowslipproxy.Instance) {
	for _, f := range s.finders {
		f.ReportFailure(start.Add(s.now), e.Address)
	}
	for i, r := range s.running {
		if slices.ContainsFunc(r.path.Hops, func(h cowslipproxy.Hop) bool { return h.Instance == e.ID }) {
			s.running[i].end = s.now
		}
	}
}

// measure returns the mean of the largest use of memory over the mean, and the requests of an
// engine by second after it was out of use, relative to its requests before.
func (s *site) measure(rate float64, outages int) (spread float64, returned [4]float64) {
	out := s.engines[4]
	usual, seconds, samples := 0, 0, 0
	for range outages {
		began := s.now
		for s.now < began+20*time.Second {
			clear(s.arrived)
			for range 10 {
				s.step(rate)
			}
			if s.now < began+12*time.Second {
				continue
			}
			var worst, sum float64
			for _, e := range s.engines {
				worst, sum = max(worst, s.loads[e.ID]), sum+s.loads[e.ID]
			}
			spread += worst / sum * float64(len(s.engines))
			samples++
			usual += s.arrived[out.ID]
		}
		seconds += 8
		s.fail(out)
		for until := s.now + 3*time.Second; s.now < until; {
			s.step(rate)
		}
		for second := range returned {
			clear(s.arrived)
			for until := s.now + time.Second; s.now < until; {
				s.step(rate)
			}
			returned[second] += float64(s.arrived[out.ID])
		}
	}
	for second := range returned {
		returned[second] *= float64(seconds) / float64(usual*outages)
	}
	return spread / float64(samples), returned
}

// Guards against daemons that all prefer the paths through an engine that was out of use and
// returns empty, so that its prompts queue, and that then all avoid it; and against load that is
// less even than that of the least loaded of three flows.
func TestEngineThatReturnsIsNotOverrun(t *testing.T) {
	for _, c := range []struct {
		daemons int
		centres string // of the daemons, in turn
	}{{4, "abc"}, {15, "abc"}, {126, "abc"}, {126, "aaaab"}} {
		const rate = 70 // about 0.6 of the memory in use
		before, overrun := newSite(c.daemons, c.centres, nil).measure(rate, 6)
		spread, returned := newSite(c.daemons, c.centres, &balancer.Balancer{Hold: pathfinder.HoldTime}).measure(rate, 6)
		t.Logf("%+v: spread %.2f, before %.2f; requests of the engine by second %.2f, before %.2f", c, spread, before, returned, overrun)
		require.LessOrEqual(t, spread, before+0.02)
		require.Less(t, slices.Max(returned[:]), 0.75*slices.Max(overrun[:]))
		require.Greater(t, slices.Min(returned[:]), 0.7)
	}
}

// Measures a choice among all flows under load.
func BenchmarkChooseBalanced(b *testing.B) {
	f := newFinder(chains("a", "b", "c", "a", "b"))
	f.Balancer = &balancer.Balancer{Hold: pathfinder.HoldTime}
	loads := map[string]float64{}
	for _, e := range chains("a", "b", "c", "a", "b") {
		loads[e.ID] = 0.5 * pathfinder.KVCapacity(profile, "l4", 10)
	}
	f.SetOtherLoads(loads)
	for b.Loop() {
		f.Choose(start, need)
	}
}
