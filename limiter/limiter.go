// Package limiter implements admission control: it enforces the customers' rate
// limits and gives the capacity of a deployment to the requests of the highest
// class that can meet their deadline.
package limiter

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Limiter admits requests to one deployment. It checks quarantine, the customer's
// limit, the deadline and the capacity, in this order. Several deployments may
// share the same Limits.
type Limiter struct {
	Quarantine func(now time.Time, request Request) *cowslipproxy.Failure // may be nil
	Limits     *Limits
	Queue      *Queue
}

// Enter decides on a request: the request starts at once, waits until a Decision
// grants or refuses it, or is refused.
func (l *Limiter) Enter(now time.Time, request Request) (ticket *Ticket, running bool, failure *cowslipproxy.Failure) {
	if l.Quarantine != nil {
		if failure := l.Quarantine(now, request); failure != nil {
			return nil, false, failure
		}
	}
	if failure := l.Limits.Reserve(now, request.Customer, request.Tokens); failure != nil {
		return nil, false, failure
	}
	if ticket, running, failure = l.Queue.Enter(now, request); failure != nil {
		l.Limits.Settle(request.Customer.Name, request.Tokens, 0)
	}
	return ticket, running, failure
}

// Token records output tokens that the deployment generated.
func (l *Limiter) Token(now time.Time, tokens int) { l.Queue.Token(now, tokens) }

// Prompt records prompt tokens that the deployment processed.
func (l *Limiter) Prompt(now time.Time, tokens int) { l.Queue.Prompt(now, tokens) }

// Leave ends a running or waiting request, settles its reservation with the used
// tokens and returns the decisions on other requests.
func (l *Limiter) Leave(now time.Time, ticket *Ticket, used int) []Decision {
	l.Limits.Settle(ticket.Customer.Name, ticket.Tokens, used)
	return l.releaseRefused(l.Queue.Leave(now, ticket, used))
}

// Expire refuses the waiting requests that can no longer meet their deadline.
func (l *Limiter) Expire(now time.Time) []Decision { return l.releaseRefused(l.Queue.Expire(now)) }

func (l *Limiter) releaseRefused(decisions []Decision) []Decision {
	for _, decision := range decisions {
		if decision.Failure != nil {
			l.Limits.Settle(decision.Ticket.Customer.Name, decision.Ticket.Tokens, 0)
		}
	}
	return decisions
}
