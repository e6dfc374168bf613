package gossiper

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	callTimeout    = time.Second
	compareGap     = time.Minute // between comparisons with one peer
	compareFleet   = 150         // daemons from which on the gap grows with their number, as the vectors do
	compareUnequal = 3           // hashes differ for a moment after each change
)

// exchange calls a daemon, and compares the version vectors if news that
// passed earlier was missed.
func (g *Gossiper) exchange(ctx context.Context, contact Contact) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := g.request(contact)
	var answer Exchange
	if err := g.invoke(ctx, contact.Address, "Exchange", &request, &answer); err != nil {
		return g.failed(err)
	}
	if answer.From.Name == g.Self.Name {
		return nil // the list's address of another VM leads here
	}
	if !g.absorb(answer, time.Now()) || !g.reserve(answer.From.Name, time.Now()) {
		return nil
	}
	defer g.release()
	if err := g.compare(ctx, contact, answer); err != nil {
		g.soon(answer.From.Name)
		return err
	}
	return nil
}

// failed notes that the called daemon knows a later incarnation of this one.
func (g *Gossiper) failed(err error) error {
	if status.Code(errors.Cause(err)) == codes.FailedPrecondition {
		g.mu.Lock()
		g.superior = true
		g.mu.Unlock()
	}
	return err
}

func (g *Gossiper) request(contact Contact) Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.message(contact.Owner.Name, contact.Centre == g.Hello.Centre)
}

// message returns the heartbeat for a peer with the items that it lacks. A
// peer that acknowledged nothing yet gets no items: it compares versions
// first, and so receives only those that no other daemon gave it.
func (g *Gossiper) message(name string, near bool) Exchange {
	p := g.peer(name)
	if p.owner.Incarnation < g.store.Newest(name) {
		*p = peer{busy: p.busy, again: p.again} // the positions are of an earlier run
	}
	message := Exchange{From: g.Self, Centre: g.Hello.Centre, To: p.owner.Incarnation, Ack: p.seen, Seq: g.store.seq, All: g.store.Hash(ReachAll)}
	if near {
		message.Near = g.store.Hash(ReachCentre)
	}
	if p.acked != 0 {
		message.Items, message.Seq = g.store.Since(p.acked, name, near)
	}
	return message
}

// absorb takes in a peer's message and reports whether the version vectors
// have to be compared.
func (g *Gossiper) absorb(message Exchange, now time.Time) bool {
	g.mu.Lock()
	p := g.peer(message.From.Name)
	first := p.owner != message.From
	if first {
		*p = peer{owner: message.From, busy: p.busy, again: p.again}
	}
	// Calls in both directions cross, so an older message may come later. A
	// sender that doesn't know of this run yet acknowledges an earlier one's
	// journal; to count that would skip items of this one.
	p.seen = max(p.seen, message.Seq)
	if message.To == g.Self.Incarnation {
		p.acked = max(p.acked, message.Ack)
	}
	fresh := g.store.Apply(message.Items, message.From.Name, now)
	g.heard(message.From, now)
	g.refute(fresh, now)
	if slices.ContainsFunc(fresh, func(i Item) bool { return i.Urgent }) {
		g.signal()
	}
	due := g.differs(p, message, first) && now.Sub(p.compared) >= g.compareGap()
	g.mu.Unlock()
	if g.Changed != nil {
		for _, item := range fresh {
			g.Changed(item)
		}
	}
	return due
}

// differs reports whether the peer's version vector differs for longer than
// news takes to pass, or for the first time.
func (g *Gossiper) differs(p *peer, message Exchange, first bool) bool {
	near := message.Centre == g.Hello.Centre
	if message.All == g.store.Hash(ReachAll) && (!near || message.Near == g.store.Hash(ReachCentre)) {
		p.unequal = 0
		return false
	}
	if p.unequal++; first {
		p.unequal = compareUnequal
	}
	return p.unequal >= compareUnequal
}

// compareGap is long, since the journal passes everything but for what a cut
// message or an unfinished comparison left out.
func (g *Gossiper) compareGap() time.Duration {
	return compareGap * time.Duration(max(1, len(g.hellos)/compareFleet))
}

// reserve allows one comparison at a time, so that a new daemon doesn't receive
// everything from several others.
func (g *Gossiper) reserve(name string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.comparer != "" {
		return false
	}
	g.comparer, g.peer(name).compared = name, now
	return true
}

func (g *Gossiper) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.comparer = ""
}

// compare finds the slots in which the version vectors differ, sends what the
// peer lacks there, and receives what this daemon lacks. It repeats until
// everything passed that fits into a message.
func (g *Gossiper) compare(ctx context.Context, contact Contact, last Exchange) error {
	near := last.Centre == g.Hello.Centre
	g.mu.Lock()
	question := Compare{From: g.Self, Centre: g.Hello.Centre, Hashes: packHashes(g.store.Slots(near))}
	g.mu.Unlock()
	var difference Difference
	if err := g.invoke(ctx, contact.Address, "Compare", &question, &difference); err != nil {
		return err
	}
	if len(difference.Slots) == 0 {
		return nil
	}
	g.mu.Lock()
	request := g.message(last.From.Name, near)
	request.Seq = g.peer(last.From.Name).acked // the items below are not a run of the journal
	request.Items = g.store.Newer(difference.Slots, difference.Vector, near)
	request.Slots, request.Wants = difference.Slots, g.store.Vector(difference.Slots, near)
	if request.Seq == 0 {
		request.Seq = g.store.seq
	}
	g.mu.Unlock()
	var answer Exchange
	if err := g.invoke(ctx, contact.Address, "Exchange", &request, &answer); err != nil {
		return err
	}
	g.absorb(answer, time.Now())
	if len(request.Items) > 0 || len(answer.Items) > 0 {
		g.soon(last.From.Name)
	}
	return nil
}

// soon makes the next difference of the hashes lead to a comparison, since the
// last one may not have passed everything.
func (g *Gossiper) soon(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	p.unequal, p.compared = compareUnequal, time.Time{}
}

// answer serves another daemon's exchange.
func (g *Gossiper) answer(request *Exchange) (*Exchange, error) {
	if err := g.known(request.From); err != nil {
		return nil, err
	}
	g.absorb(*request, time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	near := request.Centre == g.Hello.Centre
	message := g.message(request.From.Name, near)
	if len(request.Slots) > 0 {
		message.Seq = g.peer(request.From.Name).acked
		message.Items = g.store.Newer(request.Slots, request.Wants, near)
		if message.Seq == 0 {
			message.Seq = g.store.seq
		}
	}
	return &message, nil
}

// difference serves another daemon's comparison.
func (g *Gossiper) difference(question *Compare) (*Difference, error) {
	if err := g.known(question.From); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	near := question.Centre == g.Hello.Centre
	own := packHashes(g.store.Slots(near))
	var result Difference
	for i := range slots {
		if !slices.Equal(own[i*8:i*8+8], question.Hashes[i*8:i*8+8]) {
			result.Slots = append(result.Slots, i)
		}
	}
	result.Slots, result.Vector = g.fit(result.Slots, near)
	return &result, nil
}

// fit leaves out slots whose versions exceed the size of a message. An entry
// takes about 80 bytes.
func (g *Gossiper) fit(wanted []int, near bool) ([]int, []Known) {
	vector := g.store.Vector(wanted, near)
	for len(vector) > maxBytes/80 && len(wanted) > 1 {
		wanted = wanted[:len(wanted)/2]
		vector = g.store.Vector(wanted, near)
	}
	return wanted, vector
}

func (g *Gossiper) known(from cowslipproxy.Owner) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.Incarnation < g.store.Newest(from.Name) {
		return status.Errorf(codes.FailedPrecondition, "a later incarnation of %s is known", from.Name)
	}
	return nil
}
