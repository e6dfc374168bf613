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
		message.Base = p.acked
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
	if message.To == g.Self.Incarnation {
		p.acked = max(p.acked, message.Ack)
	}
	fresh := g.store.Apply(message.Items, message.From.Name, now)
	if g.reaches(p, message) {
		p.seen = max(p.seen, message.Seq)
	}
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

// reaches reports whether everything up to the message's position is held. A
// position must not be acknowledged before: the peer would go on with a later
// item, whose version hides the earlier items of its owner for good.
func (g *Gossiper) reaches(p *peer, message Exchange) bool {
	runs := message.Base != 0 && message.Base <= p.seen
	return runs || len(message.Slots) > 0 || g.equals(message)
}

// equals reports whether a peer's version vector is the one held.
func (g *Gossiper) equals(message Exchange) bool {
	near := message.Centre == g.Hello.Centre
	return message.All == g.store.Hash(ReachAll) && (!near || message.Near == g.store.Hash(ReachCentre))
}

// differs reports whether the peer's version vector differs for longer than
// news takes to pass, or for the first time.
func (g *Gossiper) differs(p *peer, message Exchange, first bool) bool {
	if g.equals(message) {
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
	before := g.store.seq
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
	request.Items = g.store.Newer(difference.Slots, difference.Vector, near)
	request.Base, request.Seq = 0, whole(request.Items, before)
	if difference.Seq == 0 {
		request.Seq = 0
	}
	request.Slots, request.Wants = difference.Slots, g.store.Vector(difference.Slots, near)
	g.mu.Unlock()
	var answer Exchange
	if err := g.invoke(ctx, contact.Address, "Exchange", &request, &answer); err != nil {
		return err
	}
	answer.Seq, answer.Slots = whole(answer.Items, difference.Seq), difference.Slots
	g.absorb(answer, time.Now())
	if len(request.Items) > 0 || len(answer.Items) > 0 {
		g.soon(last.From.Name)
	}
	return nil
}

// whole returns the position that the items of a comparison reach, or 0 when
// some may have been cut off.
func whole(items []Item, position uint64) uint64 {
	const room = maxData + 1024 // of the largest item
	size := 0
	for _, item := range items {
		size += item.size()
	}
	if size+room > maxBytes {
		return 0
	}
	return position
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
		message.Base = 0 // the items are no run of the journal
		message.Items = g.store.Newer(request.Slots, request.Wants, near)
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
	differing := len(result.Slots)
	if result.Slots, result.Vector = g.fit(result.Slots, near); len(result.Slots) == differing {
		result.Seq = g.store.seq
	}
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
