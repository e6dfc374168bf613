package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// expireInterval is the interval at which waiting requests are checked against
// their deadlines.
const expireInterval = 20 * time.Millisecond

// Gate lets goroutines block until a Limiter decides on their requests.
type Gate struct {
	Limiter *Limiter
	Now     func() time.Time // defaults to time.Now

	mutex   sync.Mutex
	waiting map[*Ticket]chan *cowslipproxy.Failure
}

// Wait blocks until the request is granted, refused or cancelled.
func (g *Gate) Wait(ctx context.Context, request Request) (*Ticket, *cowslipproxy.Failure) {
	ticket, result, failure := g.enter(request)
	if failure != nil || result == nil {
		return ticket, failure
	}
	select {
	case failure = <-result:
	case <-ctx.Done():
		failure = g.abandon(ticket, result)
	}
	if failure != nil {
		return nil, failure
	}
	return ticket, nil
}

func (g *Gate) enter(request Request) (*Ticket, chan *cowslipproxy.Failure, *cowslipproxy.Failure) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	ticket, running, failure := g.Limiter.Enter(g.now(), request)
	if failure != nil || running {
		return ticket, nil, failure
	}
	if g.waiting == nil {
		g.waiting = map[*Ticket]chan *cowslipproxy.Failure{}
	}
	result := make(chan *cowslipproxy.Failure, 1)
	g.waiting[ticket] = result
	return ticket, result, nil
}

// abandon removes the request of a caller that cancelled it, unless it has been
// refused already.
func (g *Gate) abandon(ticket *Ticket, result chan *cowslipproxy.Failure) *cowslipproxy.Failure {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, ticket)
	select {
	case failure := <-result:
		if failure != nil {
			return failure
		}
	default:
	}
	g.deliver(g.Limiter.Leave(g.now(), ticket, 0))
	return cowslipproxy.Refuse(cowslipproxy.ReasonCancelled, "the caller cancelled the request while it waited in the queue")
}

// Token records output tokens that the deployment generated.
func (g *Gate) Token(tokens int) { g.Limiter.Token(g.now(), tokens) }

// Prompt records prompt tokens that the deployment processed.
func (g *Gate) Prompt(tokens int) { g.Limiter.Prompt(g.now(), tokens) }

// Leave ends a request that Wait granted. The request used the given tokens.
func (g *Gate) Leave(ticket *Ticket, used int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.Limiter.Leave(g.now(), ticket, used))
}

// Run calls Expire periodically until ctx is done.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Expire()
		}
	}
}

// Expire refuses the waiting requests that can no longer meet their deadline.
func (g *Gate) Expire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.Limiter.Expire(g.now()))
}

func (g *Gate) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if result := g.waiting[decision.Ticket]; result != nil {
			result <- decision.Failure
			delete(g.waiting, decision.Ticket)
		}
	}
}

func (g *Gate) now() time.Time {
	if g.Now != nil {
		return g.Now()
	}
	return time.Now()
}
