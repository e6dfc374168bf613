package limiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/limiter"
)

// Bounds that the platform states for an upstream that names a limit.
const (
	limitWindow     = 4 * time.Second
	stabilityWindow = 3 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
)

// Parameters of a simulated fleet.
const (
	grantStep     = 10 * time.Millisecond
	grantDuration = 30 * time.Second
	downAfter     = 3 * time.Second // without heartbeats, other daemons count as down
	viewInterval  = time.Second     // at which a daemon updates its view of the others
	lossRate      = 0.05            // of messages between daemons
	demandFactor  = 4               // requests for each one that the limit allows
)

var grantFleets = []int{4, 15, 40, 126}

// grantWork is the number of seeds of a test times the number of daemons. With 6300, each
// number of daemons gets 50 seeds.
var grantWork = flag.Int("grant.work", 40, "seeds times daemons of a simulated fleet")

// grantFleet simulates daemons that send requests to one upstream with a limit.
type grantFleet struct {
	random    *rand.Rand
	now       time.Time
	limit     float64
	daemons   []*limiter.Grants
	side      []int       // daemons on different sides can't reach each other
	changedAt []time.Time // when the side of each daemon changed
	startedAt []time.Time
	frozen    int         // daemon that answers no other one; -1 for none
	sent      []time.Time // requests to the upstream, without those of daemons that have just started
	granted   int         // all requests to the upstream
	messages  []limitMessage
}

// limitMessage is a published limit on its way to a daemon.
type limitMessage struct {
	at    time.Time
	to    int
	limit limiter.Limit
}

func newGrantFleet(daemons int, seed uint64) *grantFleet {
	f := &grantFleet{
		random: rand.New(rand.NewPCG(seed, uint64(daemons))), now: epoch, frozen: -1,
		side: make([]int, daemons), changedAt: make([]time.Time, daemons), startedAt: make([]time.Time, daemons),
	}
	f.limit = []float64{0.4, 3, 7.5, 40}[f.random.IntN(4)]
	for i := range daemons {
		f.daemons = append(f.daemons, &limiter.Grants{Self: fmt.Sprintf("daemon-%d-0", i)})
	}
	for i := range daemons {
		f.updateView(i)
	}
	return f
}

// restart restarts a daemon, which learns the limit from another one.
func (f *grantFleet) restart(number int) {
	f.daemons[number] = &limiter.Grants{Self: fmt.Sprintf("daemon-%d-%d", number, f.now.UnixNano())}
	f.startedAt[number] = f.now
	for _, state := range f.daemons[(number+1)%len(f.daemons)].State(f.now) {
		f.messages = append(f.messages, limitMessage{f.now.Add(500 * time.Millisecond), number, state.Limit})
	}
	f.updateView(number)
}

// setSide moves a daemon to a side of a partition.
func (f *grantFleet) setSide(number, side int) {
	if f.side[number] != side {
		f.side[number], f.changedAt[number] = side, f.now
	}
}

// sees reports whether a daemon counts another one as live. Down daemons are noticed after
// downAfter, returning ones with the next update.
func (f *grantFleet) sees(daemon, other int) bool {
	return f.side[daemon] == f.side[other] || f.now.Sub(f.changedAt[daemon]) < downAfter && f.now.Sub(f.changedAt[other]) < downAfter
}

func (f *grantFleet) updateView(number int) {
	var live []string
	for other, daemon := range f.daemons {
		if f.sees(number, other) {
			live = append(live, daemon.Self)
		}
	}
	f.daemons[number].SetDaemons(f.now, live, len(live))
}

// ask sends a daemon's question to the granting one and reports whether it was granted.
func (f *grantFleet) ask(number int, permission limiter.Permission) bool {
	asking := f.daemons[number]
	for i, daemon := range f.daemons {
		if daemon.Self != permission.Granter || i == f.frozen || f.side[i] != f.side[number] || f.random.Float64() < lossRate {
			continue
		}
		reply := daemon.Grant(f.now, permission.Ask)
		if f.random.Float64() < lossRate {
			break
		}
		return asking.HandleReply(f.now, permission, reply).Granted
	}
	return asking.HandleNoReply(f.now, permission).Granted
}

// send lets a request of a caller arrive at a random daemon.
func (f *grantFleet) send() {
	number := f.random.IntN(len(f.daemons))
	daemon := f.daemons[number]
	permission := daemon.Request(f.now, limited, limiter.GrantNew)
	granted := permission.Granted
	if permission.Granter != "" && number != f.frozen {
		granted = f.ask(number, permission)
	}
	if !granted {
		return
	}
	f.granted++
	if f.now.Sub(f.startedAt[number]) >= stabilityWindow || f.startedAt[number].IsZero() {
		f.sent = append(f.sent, f.now)
	}
	daemon.Named(f.now, f.now, limited, f.limit)
}

// step delivers messages, lets daemons publish, and advances the time.
func (f *grantFleet) step(elapsed time.Duration) {
	var waiting []limitMessage
	for _, message := range f.messages {
		switch {
		case f.now.Before(message.at):
			waiting = append(waiting, message)
		case f.random.Float64() < lossRate:
			message.at = f.now.Add(viewInterval) // the next comparison repairs the loss
			waiting = append(waiting, message)
		default:
			f.daemons[message.to].Merge(f.now, message.limit)
		}
	}
	f.messages = waiting
	for i, daemon := range f.daemons {
		if (elapsed+time.Duration(i)*grantStep)%viewInterval == 0 {
			f.updateView(i)
		}
		for _, change := range daemon.TakeChanges(f.now) {
			for to := range f.daemons {
				if change.Publish && to != i {
					f.messages = append(f.messages, limitMessage{f.now.Add(time.Duration(20+f.random.IntN(300)) * time.Millisecond), to, change.Limit})
				}
			}
		}
	}
	f.now = f.now.Add(grantStep)
}

// run sends requests for grantDuration and calls each at every step.
func (f *grantFleet) run(each func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < grantDuration; elapsed += grantStep {
		for due := demandFactor * f.limit * grantStep.Seconds(); f.random.Float64() < due; due-- {
			f.send()
		}
		each(elapsed)
		f.step(elapsed)
	}
}

// most returns the largest number of requests in any limitWindow after stabilityWindow.
func (f *grantFleet) most() (most int) {
	first := 0
	for i, sent := range f.sent {
		for sent.Sub(f.sent[first]) > limitWindow || f.sent[first].Before(epoch.Add(stabilityWindow)) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkGrantFleets runs simulated fleets and checks that no limit is exceeded, and that
// most of the limits is used.
func checkGrantFleets(t *testing.T, each func(f *grantFleet, elapsed time.Duration)) {
	for _, daemons := range grantFleets {
		used, worst := 0.0, 0.0
		seeds := uint64(min(max(*grantWork/daemons, 2), 50))
		for seed := range seeds {
			f := newGrantFleet(daemons, seed)
			f.run(func(elapsed time.Duration) { each(f, elapsed) })
			allowed := limitFactor*f.limit*limitWindow.Seconds() + limitExtra
			require.LessOrEqual(t, float64(f.most()), allowed, "%d daemons, seed %d, limit %v", daemons, seed, f.limit)
			worst = max(worst, float64(f.most())/allowed)
			used += float64(f.granted) / (f.limit * grantDuration.Seconds()) / float64(seeds)
		}
		t.Logf("%d daemons, %d runs: at most %.2f of the allowed requests, %.2f of the limits used", daemons, seeds, worst, used)
		require.Greater(t, used, 0.5, "%d daemons: most of the limits is unused", daemons)
	}
}

// Guards against a limit that each daemon keeps for itself.
func TestFleetKeepsLimitOfUpstream(t *testing.T) {
	checkGrantFleets(t, func(*grantFleet, time.Duration) {})
}

// Guards against two daemons that both grant the whole limit while others restart.
func TestFleetKeepsLimitWhileDaemonsRestart(t *testing.T) {
	checkGrantFleets(t, func(f *grantFleet, elapsed time.Duration) {
		if elapsed%(2*time.Second) == 0 && elapsed > 0 {
			f.restart(f.random.IntN(len(f.daemons)))
		}
	})
}

// Guards against parts of a cut fleet that each grant the whole limit.
func TestFleetKeepsLimitWhileCutApart(t *testing.T) {
	checkGrantFleets(t, func(f *grantFleet, elapsed time.Duration) {
		switch {
		case elapsed%(10*time.Second) == 2*time.Second:
			for i := range f.daemons {
				f.setSide(i, f.random.IntN(1+f.random.IntN(3)))
			}
		case elapsed%(10*time.Second) == 9*time.Second:
			for i := range f.daemons {
				f.setSide(i, 0)
			}
		case elapsed%(4*time.Second) == 0:
			f.frozen = f.random.IntN(len(f.daemons)+1) - 1
		}
	})
}
