package limiter_test

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	units         = 20
	tokenInterval = 10 * time.Millisecond // between the tokens of one request
	capacity      = float64(units) / 0.01 // tokens per second
	step          = 5 * time.Millisecond
	drain         = 20 * time.Second // after the last arrival, for the requests in flight to complete
)

// source generates the requests of one class. Its load is a multiple of the capacity.
type source struct {
	class    cowslipproxy.Class
	load     float64
	deadline time.Duration
}

type job struct {
	class   cowslipproxy.Class
	ticket  *limiter.Ticket
	request limiter.Request
	used    int       // tokens of the complete response
	done    int       // tokens generated so far
	next    time.Time // time of the next token, or of the retry
	retried bool
}

// tally counts the requests of one class.
type tally struct{ sent, onTime, late, refused, retried, admittedRetries, tokens int }

// simulation simulates a deployment with continuous batching in discrete time steps.
type simulation struct {
	random   *rand.Rand
	queue    *limiter.Queue
	now      time.Time
	sources  []source
	retries  bool // refused requests are retried after their Retry-After
	running  []*job
	waiting  map[*limiter.Ticket]*job
	retrying []*job
	tallies  map[cowslipproxy.Class]*tally
	serial   uint64

	draining bool // no new requests arrive; the requests in flight complete
}

func newSimulation(seed uint64, sources ...source) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, sources: sources,
		queue:   &limiter.Queue{Units: units, Rate: capacity},
		waiting: map[*limiter.Ticket]*job{}, tallies: map[cowslipproxy.Class]*tally{},
	}
}

func (sim *simulation) run(length time.Duration) {
	for _, s := range sim.sources {
		sim.tallies[s.class] = &tally{}
	}
	for sim.now.Before(epoch.Add(length + drain)) {
		sim.now = sim.now.Add(step)
		sim.draining = sim.now.After(epoch.Add(length))
		for _, s := range sim.sources {
			sim.arrive(s)
		}
		sim.retryDue()
		sim.compute()
		if sim.now.Sub(epoch)%(4*step) == 0 {
			sim.apply(sim.queue.Expire(sim.now))
		}
	}
}

func (sim *simulation) arrive(s source) {
	if sim.draining {
		return
	}
	const mean = 60
	if sim.random.Float64() >= s.load*capacity/mean*step.Seconds() {
		return
	}
	sim.serial++
	used := 20 + sim.random.IntN(2*(mean-20)+1)
	j := &job{class: s.class, used: used, request: limiter.Request{
		Customer: cowslipproxy.Customer{Name: string(s.class), Class: s.class}, Content: sim.serial,
		Tokens: used + sim.random.IntN(used), Deadline: sim.now.Add(s.deadline),
	}}
	sim.tallies[s.class].sent++
	sim.enter(j)
}

func (sim *simulation) enter(j *job) {
	ticket, running, failure := sim.queue.Enter(sim.now, j.request)
	if failure != nil {
		sim.refuse(j, failure)
		return
	}
	j.ticket = ticket
	if running {
		sim.begin(j)
		return
	}
	sim.waiting[ticket] = j
}

func (sim *simulation) begin(j *job) {
	if j.retried {
		sim.tallies[j.class].admittedRetries++
	}
	j.next = sim.now.Add(tokenInterval)
	sim.running = append(sim.running, j)
}

func (sim *simulation) refuse(j *job, failure *cowslipproxy.Failure) {
	sim.tallies[j.class].refused++
	if !sim.retries || failure.Reason != cowslipproxy.ReasonOverloaded || failure.RetryAfter >= limiter.MaxRetryAfter {
		return
	}
	allowed := j.request.Deadline.Sub(sim.now)
	retry := &job{class: j.class, request: j.request, used: j.used, retried: true, next: sim.now.Add(failure.RetryAfter)}
	retry.request.Deadline = retry.next.Add(max(allowed, 0))
	sim.retrying = append(sim.retrying, retry)
}

func (sim *simulation) retryDue() {
	kept := sim.retrying[:0]
	for _, j := range sim.retrying {
		if sim.now.Before(j.next) {
			kept = append(kept, j)
			continue
		}
		sim.tallies[j.class].retried++
		j.request.Deadline = j.request.Deadline.Add(sim.now.Sub(j.next))
		defer sim.enter(j)
	}
	sim.retrying = kept
}

func (sim *simulation) compute() {
	running := sim.running
	sim.running = nil
	var ended []*job
	for _, j := range running {
		if sim.now.Before(j.next) {
			sim.running = append(sim.running, j)
			continue
		}
		sim.queue.Token(sim.now, 1)
		if !sim.draining {
			sim.tallies[j.class].tokens++
		}
		j.done++
		j.next = j.next.Add(tokenInterval)
		if j.done < j.used {
			sim.running = append(sim.running, j)
			continue
		}
		ended = append(ended, j)
	}
	for _, j := range ended {
		if sim.now.After(j.request.Deadline) {
			sim.tallies[j.class].late++
		} else {
			sim.tallies[j.class].onTime++
		}
		sim.apply(sim.queue.Leave(sim.now, j.ticket, j.used))
	}
}

func (sim *simulation) apply(decisions []limiter.Decision) {
	for _, decision := range decisions {
		j := sim.waiting[decision.Ticket]
		delete(sim.waiting, decision.Ticket)
		if decision.Failure != nil {
			sim.refuse(j, decision.Failure)
			continue
		}
		sim.begin(j)
	}
}
