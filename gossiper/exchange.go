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
	callTimeout         = time.Second
	baseCompareInterval = time.Minute // shortest time between two comparisons with the same peer in a small fleet
	compareFleetSize    = 150         // baseCompareInterval is multiplied by the fleet size over this number, since the version vectors grow with the fleet
	unequalExchanges    = 3           // consecutive unequal hashes before a comparison; hashes differ briefly after each change
)

// exchange sends a heartbeat to a daemon and applies the response. It compares the
// version vectors afterwards if a comparison is due.
func (g *Gossiper) exchange(ctx context.Context, contact Contact) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	heartbeat := g.heartbeat(contact)
	requestedAt := time.Now()
	var response Exchange
	if err := g.invoke(ctx, contact.Address, "Exchange", &heartbeat, &response); err != nil {
		return g.noteSuperseded(err)
	}
	if response.From.Name == g.Self.Name {
		return nil // the platform's list has this daemon's address for another VM
	}
	if response.From != contact.Owner {
		g.handleReplaced(contact.Owner)
	}
	g.recordAges(response.Ages, requestedAt)
	if !g.applyExchange(response, time.Now()) || !g.beginCompare(response.From.Name, time.Now()) {
		return nil
	}
	defer g.endCompare()
	if err := g.compare(ctx, contact, response); err != nil {
		g.retryCompareSoon(response.From.Name)
		return err
	}
	return nil
}

// noteSuperseded records that this daemon is superseded if the call failed
// because the peer knows a later incarnation. It returns the error unchanged.
func (g *Gossiper) noteSuperseded(err error) error {
	if status.Code(errors.Cause(err)) == codes.FailedPrecondition {
		g.mu.Lock()
		g.superseded = true
		g.mu.Unlock()
	}
	return err
}

func (g *Gossiper) heartbeat(contact Contact) Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newMessage(contact.Owner.Name, contact.Centre == g.Hello.Centre)
}

// newMessage returns a heartbeat with the items that the peer lacks. A peer that
// has not acknowledged any position gets no items: it compares version vectors
// first, and so receives only the items that no other daemon sent it.
func (g *Gossiper) newMessage(name string, sameCentre bool) Exchange {
	p := g.peer(name)
	if p.owner.Incarnation < g.store.LatestIncarnation(name) {
		*p = peer{calling: p.calling, callAgain: p.callAgain} // the journal positions belong to an earlier incarnation
	}
	message := Exchange{From: g.Self, Centre: g.Hello.Centre, ToIncarnation: p.owner.Incarnation, Ack: p.received, Seq: g.store.seq, AllHash: g.store.Hash(ReachAll)}
	if sameCentre {
		message.CentreHash = g.store.Hash(ReachCentre)
	}
	if p.acked != 0 {
		message.Base = p.acked
		message.Items, message.Seq = g.store.Since(p.acked, name, sameCentre)
	}
	return message
}

// applyExchange applies a peer's message and reports whether the version
// vectors have to be compared.
func (g *Gossiper) applyExchange(message Exchange, now time.Time) bool {
	g.mu.Lock()
	p := g.peer(message.From.Name)
	first := p.owner != message.From
	if first {
		*p = peer{owner: message.From, calling: p.calling, callAgain: p.callAgain}
	}
	// Both daemons call each other, so messages may arrive out of order. A peer
	// that doesn't know this incarnation yet acknowledges the journal of an
	// earlier one; accepting that position would skip items of this journal.
	if message.ToIncarnation == g.Self.Incarnation {
		p.acked = max(p.acked, message.Ack)
	}
	items := message.Items
	if hasGap(p, message) {
		items = nil
	}
	fresh := g.store.Apply(items, message.From.Name, now)
	if g.coversPosition(p, message) {
		p.received = max(p.received, message.Seq)
	}
	g.recordReports(fresh, now)
	g.recordHeartbeat(message.From, now)
	g.refute(fresh, now)
	if slices.ContainsFunc(fresh, func(i Item) bool { return i.Urgent }) {
		g.wakeLoop()
	}
	due := g.needsCompare(p, message, first) && now.Sub(p.lastCompare) >= g.compareInterval()
	g.mu.Unlock()
	if g.OnChange != nil {
		for _, item := range fresh {
			g.OnChange(item)
		}
	}
	return due
}

// hasGap reports whether a message continues after a position that this daemon has not
// reached. A peer sends such a message if only an earlier incarnation of this daemon had
// reached it. The versions of its items would mask the missing ones, which a comparison
// would then not transfer.
func hasGap(p *peer, message Exchange) bool {
	return len(message.Slots) == 0 && message.Base > p.received
}

// coversPosition reports whether all items up to the message's position are
// held. The position must not be acknowledged before that: the peer would
// continue with a later item, and its version would mask the earlier items of
// the same owner permanently.
func (g *Gossiper) coversPosition(p *peer, message Exchange) bool {
	contiguous := message.Base != 0 && message.Base <= p.received
	return contiguous || len(message.Slots) > 0 || g.sameVectors(message)
}

// sameVectors reports whether a peer's version vector equals the local one.
func (g *Gossiper) sameVectors(message Exchange) bool {
	sameCentre := message.Centre == g.Hello.Centre
	return message.AllHash == g.store.Hash(ReachAll) && (!sameCentre || message.CentreHash == g.store.Hash(ReachCentre))
}

// needsCompare reports whether the version vectors are unequal in the first
// message from the peer, or have been unequal for longer than an update takes to
// propagate.
func (g *Gossiper) needsCompare(p *peer, message Exchange, first bool) bool {
	if g.sameVectors(message) {
		p.unequal = 0
		return false
	}
	if p.unequal++; first {
		p.unequal = unequalExchanges
	}
	return p.unequal >= unequalExchanges
}

// compareInterval returns the shortest time between two comparisons with the same
// peer. It is long, since the journal transfers all items except those that a
// truncated message or an incomplete comparison left out.
func (g *Gossiper) compareInterval() time.Duration {
	return baseCompareInterval * time.Duration(max(1, len(g.hellos)/compareFleetSize))
}

// beginCompare reports whether a comparison may start. Only one runs at a time,
// so that a new daemon doesn't receive the same items from several peers.
func (g *Gossiper) beginCompare(name string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.comparingWith != "" {
		return false
	}
	g.comparingWith, g.peer(name).lastCompare = name, now
	return true
}

func (g *Gossiper) endCompare() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.comparingWith = ""
}

// compare finds the slots in which the version vectors differ, and exchanges the
// items in them that either side lacks. If any items were transferred, the next
// exchange may compare again at once, since the size limit of a message may have
// left out others.
func (g *Gossiper) compare(ctx context.Context, contact Contact, last Exchange) error {
	sameCentre := last.Centre == g.Hello.Centre
	g.mu.Lock()
	before := g.store.seq
	comparison := Compare{From: g.Self, Centre: g.Hello.Centre, Hashes: packHashes(g.store.Slots(sameCentre))}
	g.mu.Unlock()
	var difference Difference
	if err := g.invoke(ctx, contact.Address, "Compare", &comparison, &difference); err != nil {
		return err
	}
	if len(difference.Slots) == 0 {
		return nil
	}
	g.mu.Lock()
	request := g.newMessage(last.From.Name, sameCentre)
	request.Items = g.store.Newer(difference.Slots, difference.Vector, sameCentre)
	request.Base, request.Seq = 0, coveredPosition(request.Items, before)
	if difference.Seq == 0 {
		request.Seq = 0
	}
	request.Slots, request.Versions = difference.Slots, g.store.Vector(difference.Slots, sameCentre)
	g.mu.Unlock()
	var response Exchange
	if err := g.invoke(ctx, contact.Address, "Exchange", &request, &response); err != nil {
		return err
	}
	response.Seq, response.Slots = coveredPosition(response.Items, difference.Seq), difference.Slots
	g.applyExchange(response, time.Now())
	if len(request.Items) > 0 || len(response.Items) > 0 {
		g.retryCompareSoon(last.From.Name)
	}
	return nil
}

// coveredPosition returns the journal position that the items of a comparison
// cover, or 0 if the size limit may have truncated them.
func coveredPosition(items []Item, position uint64) uint64 {
	const maxItemSize = maxData + 1024 // encoded size of the largest item
	size := 0
	for _, item := range items {
		size += item.size()
	}
	if size+maxItemSize > maxBatchBytes {
		return 0
	}
	return position
}

// retryCompareSoon lets the next exchange with unequal hashes start a
// comparison without delay, since the last one may not have transferred all
// items.
func (g *Gossiper) retryCompareSoon(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	p.unequal, p.lastCompare = unequalExchanges, time.Time{}
}

// serveExchange handles the Exchange call of another daemon.
func (g *Gossiper) serveExchange(request *Exchange) (*Exchange, error) {
	if err := g.checkIncarnation(request.From); err != nil {
		return nil, err
	}
	g.applyExchange(*request, time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	sameCentre := request.Centre == g.Hello.Centre
	message := g.newMessage(request.From.Name, sameCentre)
	message.Ages = g.ages(time.Now())
	if len(request.Slots) > 0 {
		message.Base = 0 // the items are not a contiguous part of the journal
		message.Items = g.store.Newer(request.Slots, request.Versions, sameCentre)
	}
	return &message, nil
}

// serveCompare handles the Compare call of another daemon.
func (g *Gossiper) serveCompare(comparison *Compare) (*Difference, error) {
	if err := g.checkIncarnation(comparison.From); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sameCentre := comparison.Centre == g.Hello.Centre
	local := packHashes(g.store.Slots(sameCentre))
	var result Difference
	for i := range slots {
		if !slices.Equal(local[i*8:i*8+8], comparison.Hashes[i*8:i*8+8]) {
			result.Slots = append(result.Slots, i)
		}
	}
	differing := len(result.Slots)
	if result.Slots, result.Vector = g.limitSlots(result.Slots, sameCentre); len(result.Slots) == differing {
		result.Seq = g.store.seq
	}
	return &result, nil
}

// limitSlots drops slots until their part of the version vector fits into a
// message. A vector entry takes about 80 bytes.
func (g *Gossiper) limitSlots(slotNumbers []int, sameCentre bool) ([]int, []VectorEntry) {
	vector := g.store.Vector(slotNumbers, sameCentre)
	for len(vector) > maxBatchBytes/80 && len(slotNumbers) > 1 {
		slotNumbers = slotNumbers[:len(slotNumbers)/2]
		vector = g.store.Vector(slotNumbers, sameCentre)
	}
	return slotNumbers, vector
}

func (g *Gossiper) checkIncarnation(from cowslipproxy.Owner) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from.Incarnation < g.store.LatestIncarnation(from.Name) {
		return status.Errorf(codes.FailedPrecondition, "a later incarnation of %s exists", from.Name)
	}
	return nil
}
