package limiter_test

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/limiter"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	units    = 20
	gap      = 10 * time.Millisecond // between tokens of one request
	capacity = float64(units) / 0.01 // tokens per second
	step     = 5 * time.Millisecond
	drain    = 20 * time.Second
)

// source sends requests of one class at a part of the capacity.
type source struct {
	class    cowslipproxy.Class
	load     float64
	deadline time.Duration
}

type job struct {
	class    cowslipproxy.Class
	ticket   *limiter.Ticket
	request  limiter.Request
	used     int
	done     int
	next     time.Time // of the next token
	returned bool
}

// tally counts the requests of a class.
type tally struct{ sent, timely, late, refused, returned, kept, tokens int }

// loop is a deployment with continuous batching in discrete time.
type loop struct {
	random  *rand.Rand
	queue   *limiter.Queue
	now     time.Time
	sources []source
	retries bool // refused requests come again when they were told
	running []*job
	waiting map[*limiter.Ticket]*job
	back    []*job
	tallies map[cowslipproxy.Class]*tally
	serial  uint64

	draining bool // no new requests; requests in flight end
}

func newLoop(seed uint64, sources ...source) *loop {
	return &loop{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch, sources: sources,
		queue:   &limiter.Queue{Units: units, Rate: capacity},
		waiting: map[*limiter.Ticket]*job{}, tallies: map[cowslipproxy.Class]*tally{},
	}
}

func (l *loop) run(length time.Duration) {
	for _, s := range l.sources {
		l.tallies[s.class] = &tally{}
	}
	for l.now.Before(epoch.Add(length + drain)) {
		l.now = l.now.Add(step)
		l.draining = l.now.After(epoch.Add(length))
		for _, s := range l.sources {
			l.arrive(s)
		}
		l.comeBack()
		l.compute()
		if l.now.Sub(epoch)%(4*step) == 0 {
			l.apply(l.queue.Expire(l.now))
		}
	}
}

func (l *loop) arrive(s source) {
	if l.draining {
		return
	}
	const mean = 60
	if l.random.Float64() >= s.load*capacity/mean*step.Seconds() {
		return
	}
	l.serial++
	used := 20 + l.random.IntN(2*(mean-20)+1)
	j := &job{class: s.class, used: used, request: limiter.Request{
		Customer: cowslipproxy.Customer{Name: string(s.class), Class: s.class}, Content: l.serial,
		Tokens: used + l.random.IntN(used), Deadline: l.now.Add(s.deadline),
	}}
	l.tallies[s.class].sent++
	l.enter(j)
}

func (l *loop) enter(j *job) {
	ticket, running, failure := l.queue.Enter(l.now, j.request)
	if failure != nil {
		l.refuse(j, failure)
		return
	}
	j.ticket = ticket
	if running {
		l.begin(j)
		return
	}
	l.waiting[ticket] = j
}

func (l *loop) begin(j *job) {
	if j.returned {
		l.tallies[j.class].kept++
	}
	j.next = l.now.Add(gap)
	l.running = append(l.running, j)
}

func (l *loop) refuse(j *job, failure *cowslipproxy.Failure) {
	l.tallies[j.class].refused++
	if !l.retries || failure.Reason != cowslipproxy.ReasonOverloaded || failure.RetryAfter >= limiter.LongestRetry {
		return
	}
	allowed := j.request.Deadline.Sub(l.now)
	again := &job{class: j.class, request: j.request, used: j.used, returned: true, next: l.now.Add(failure.RetryAfter)}
	again.request.Deadline = again.next.Add(max(allowed, 0))
	l.back = append(l.back, again)
}

func (l *loop) comeBack() {
	kept := l.back[:0]
	for _, j := range l.back {
		if l.now.Before(j.next) {
			kept = append(kept, j)
			continue
		}
		l.tallies[j.class].returned++
		j.request.Deadline = j.request.Deadline.Add(l.now.Sub(j.next))
		defer l.enter(j)
	}
	l.back = kept
}

func (l *loop) compute() {
	running := l.running
	l.running = nil
	var ended []*job
	for _, j := range running {
		if l.now.Before(j.next) {
			l.running = append(l.running, j)
			continue
		}
		l.queue.Token(l.now, 1)
		if !l.draining {
			l.tallies[j.class].tokens++
		}
		j.done++
		j.next = j.next.Add(gap)
		if j.done < j.used {
			l.running = append(l.running, j)
			continue
		}
		ended = append(ended, j)
	}
	for _, j := range ended {
		if l.now.After(j.request.Deadline) {
			l.tallies[j.class].late++
		} else {
			l.tallies[j.class].timely++
		}
		l.apply(l.queue.Leave(l.now, j.ticket, j.used))
	}
}

func (l *loop) apply(changes []limiter.Change) {
	for _, change := range changes {
		j := l.waiting[change.Ticket]
		delete(l.waiting, change.Ticket)
		if change.Failure != nil {
			l.refuse(j, change.Failure)
			continue
		}
		l.begin(j)
	}
}
