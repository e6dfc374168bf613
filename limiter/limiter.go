// Package limiter decides which requests are admitted: it holds customers to
// their limits and gives the capacity of a deployment to the most important
// requests that can meet their deadline.
package limiter

import (
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Limiter admits requests to one deployment, in the order quarantine,
// customer's limit, deadline, capacity. The limits may be common to several
// deployments.
type Limiter struct {
	Quarantine func(now time.Time, request Request) *cowslipproxy.Failure // may be nil
	Limits     *Limits
	Queue      *Queue
}

// Enter decides on a request. It runs at once, waits for a Change that grants
// or refuses it, or is refused.
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

// Token observes tokens of answers that the deployment computed.
func (l *Limiter) Token(now time.Time, tokens int) { l.Queue.Token(now, tokens) }

// Prompt observes prompt tokens that the deployment computed.
func (l *Limiter) Prompt(now time.Time, tokens int) { l.Queue.Prompt(now, tokens) }

// Leave ends a request that ran or waits, settles it with the used tokens and
// returns what changed for others.
func (l *Limiter) Leave(now time.Time, ticket *Ticket, used int) []Change {
	l.Limits.Settle(ticket.Customer.Name, ticket.Tokens, used)
	return l.settle(l.Queue.Leave(now, ticket, used))
}

// Expire refuses waiting requests that can't meet their deadline any more.
func (l *Limiter) Expire(now time.Time) []Change { return l.settle(l.Queue.Expire(now)) }

func (l *Limiter) settle(changes []Change) []Change {
	for _, change := range changes {
		if change.Failure != nil {
			l.Limits.Settle(change.Ticket.Customer.Name, change.Ticket.Tokens, 0)
		}
	}
	return changes
}
