package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Encode encodes a value for use as an item's data.
func Encode(value any) ([]byte, error) {
	var data []byte
	var err error
	if data, err = cbor.Marshal(value); err != nil {
		return nil, errors.Wrap(err, "encode item")
	}
	return data, nil
}

// Publish sends a local item to the other daemons. Items that are not urgent
// wait for the next round, and longer in a large fleet, to limit the traffic.
func (g *Gossiper) Publish(item Item) error {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	item.Owner, item.Version = g.Self, 1
	if item.Reach == "" {
		item.Reach = ReachAll
	}
	if err := item.Check(); err != nil {
		return err
	}
	if !item.Urgent {
		g.pacer.add(item)
		return nil
	}
	delete(g.pacer.pending, itemID{item.Kind, item.Key})
	if _, err := g.store.Put(item, time.Now()); err != nil {
		return err
	}
	g.wakeLoop()
	return nil
}

// Withdraw publishes a tombstone for a local item.
func (g *Gossiper) Withdraw(kind Kind, key string, reach Reach) error {
	return g.Publish(Item{Kind: kind, Key: key, Reach: reach, Urgent: true, Withdrawn: true})
}

// PublishHello publishes a description of this daemon without delay. The data
// centre remains that of the field Hello.
func (g *Gossiper) PublishHello(hello cowslipproxy.Hello) error {
	g.setup()
	hello.Centre = g.Hello.Centre
	if err := hello.Check(); err != nil {
		return errors.Wrap(err, "hello")
	}
	var data []byte
	var err error
	if data, err = Encode(hello); err != nil {
		return err
	}
	g.mu.Lock()
	g.announced = hello
	g.mu.Unlock()
	return g.Publish(Item{Kind: KindHello, Data: data, Urgent: true})
}

// PublishStopping publishes that this daemon is stopping.
func (g *Gossiper) PublishStopping() error {
	return g.updateHello(func(hello *cowslipproxy.Hello) { hello.Stopping = true })
}

// PublishReady publishes that this daemon is ready to serve callers.
func (g *Gossiper) PublishReady() error {
	return g.updateHello(func(hello *cowslipproxy.Hello) { hello.Starting = false })
}

func (g *Gossiper) updateHello(change func(*cowslipproxy.Hello)) error {
	g.setup()
	g.helloMutex.Lock()
	defer g.helloMutex.Unlock()
	g.mu.Lock()
	hello := g.announced
	g.mu.Unlock()
	change(&hello)
	return g.PublishHello(hello)
}

// PublishOffset publishes, within the data centre, the last configuration offset
// that this daemon has applied.
func (g *Gossiper) PublishOffset(offset uint64) error {
	var data []byte
	var err error
	if data, err = Encode(offset); err != nil {
		return err
	}
	return g.Publish(Item{Kind: KindOffset, Reach: ReachCentre, Data: data})
}

// PublishSuspect publishes the record of a suspect or quarantined request to all
// daemons without delay.
func (g *Gossiper) PublishSuspect(fingerprint string, data []byte) error {
	return g.Publish(Item{Kind: KindPoison, Key: fingerprint, Data: data, Urgent: true})
}

// PublishDemand publishes the demand of a customer at this daemon.
func (g *Gossiper) PublishDemand(customer string, reach Reach, data []byte) error {
	return g.Publish(Item{Kind: KindDemand, Key: customer, Reach: reach, Data: data})
}

// PublishLimit publishes the limit of an upstream to all daemons without delay.
func (g *Gossiper) PublishLimit(upstream string, data []byte) error {
	return g.Publish(Item{Kind: KindLimit, Key: upstream, Data: data, Urgent: true})
}

// Items returns all items of a kind that are held, including local ones.
func (g *Gossiper) Items(kind Kind) []Item {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Items(kind)
}

// Offsets returns the configuration offset of each daemon in the data centre,
// by name.
func (g *Gossiper) Offsets() map[string]uint64 {
	offsets := map[string]uint64{}
	for _, item := range g.Items(KindOffset) {
		var offset uint64
		if err := decoder.CBOR(item.Data, &offset); err == nil {
			offsets[item.Owner.Name] = offset
		}
	}
	return offsets
}

// Members returns the entry daemons that published a hello, including this one,
// sorted by name.
func (g *Gossiper) Members() []cowslipproxy.Member {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members()
}

func (g *Gossiper) members() []cowslipproxy.Member {
	now := time.Now()
	var members []cowslipproxy.Member
	for _, item := range g.store.Items(KindHello) {
		hello, ok := g.hello(item)
		if !ok {
			continue
		}
		member := cowslipproxy.Member{Owner: item.Owner, Hello: hello}
		member.LastHeard, member.LastSeen = g.lastSigns(item.Owner, now)
		// The local failure detector takes precedence over reports of other daemons.
		down, watched := g.detector.IsDown(member.Owner)
		isReported := member.Owner != g.Self && g.detector.IsReported(member.Key())
		member.Down = down || isReported && (!watched || member.LastHeard.IsZero())
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// cachedHello is a decoded hello. It is cached, since every round needs all of
// them.
type cachedHello struct {
	version uint64
	hello   cowslipproxy.Hello
	ok      bool
}

func (g *Gossiper) hello(item Item) (cowslipproxy.Hello, bool) {
	cached := g.hellos[item.Owner]
	if cached.version == item.Version {
		return cached.hello, cached.ok
	}
	cached = cachedHello{version: item.Version}
	if err := decoder.CBOR(item.Data, &cached.hello); err != nil {
		reporter.EventItemInvalid.Log(context.Background(), g.Logger, slog.String("from", item.Owner.Name), slog.Any("error", err))
	} else {
		cached.ok = true
	}
	g.hellos[item.Owner] = cached
	return cached.hello, cached.ok
}

// prune deletes state of past incarnations.
func (g *Gossiper) prune(now time.Time) {
	g.store.Prune(now)
	current := map[string]bool{}
	for owner := range g.hellos {
		if g.store.LatestIncarnation(owner.Name) != owner.Incarnation {
			delete(g.hellos, owner)
			delete(g.heard, owner)
			continue
		}
		current[owner.Key()] = true
	}
	g.pruneSeen(now)
	g.pruneReports(current, now)
}

// SetListed sets the entry VMs from the platform's list. They are called until
// they publish a hello.
func (g *Gossiper) SetListed(vms []cowslipproxy.VM) {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = map[string]Contact{}
	for _, vm := range vms {
		if vm.Role == cowslipproxy.VMEntry && vm.Name != g.Self.Name {
			g.listed[vm.Name] = Contact{Owner: cowslipproxy.Owner{Name: vm.Name}, Address: vm.Address.String(), Centre: vm.Centre}
		}
	}
}

// Forget deletes a daemon that was removed permanently, for instance one that is
// down and that a recent list doesn't contain. The report that it is down stays, for daemons
// that have not forgotten it yet.
func (g *Gossiper) Forget(owner cowslipproxy.Owner) {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, reporters := g.stateBasis(owner)
	reporter.EventPeerForgotten.Log(context.Background(), g.Logger, slog.String("peer", owner.Key()), slog.Any("reporters", reporters))
	g.detector.Forget(owner)
	g.store.Forget(owner, time.Now())
	delete(g.peers, owner.Name)
	delete(g.hellos, owner)
	delete(g.heard, owner)
}

// contacts returns the other daemons that are up, and those that are down or are
// listed but have not published a hello. A daemon that is down but listed at another
// address may have been replaced there, so it is included with both addresses.
func (g *Gossiper) contacts() (live, unreachable []Contact) {
	up := map[string]bool{g.Self.Name: true}
	included := map[string]bool{}
	for _, member := range g.members() {
		contact := Contact{Owner: member.Owner, Address: member.Peer.String(), Centre: member.Centre}
		switch {
		case member.Owner == g.Self:
		case member.Down:
			unreachable = append(unreachable, contact)
			included[contact.Address] = true
		default:
			live = append(live, contact)
			up[member.Name] = true
		}
	}
	for name, contact := range g.listed {
		if !up[name] && !included[contact.Address] {
			unreachable = append(unreachable, contact)
		}
	}
	if len(live) == 0 {
		return unreachable, nil // after the start, or when all others are down: the neighbours are chosen among these
	}
	return live, unreachable
}

func (g *Gossiper) publishPending(now time.Time) {
	members := map[Reach]int{}
	for _, cached := range g.hellos {
		members[ReachAll]++
		if cached.hello.Centre == g.Hello.Centre {
			members[ReachCentre]++
		}
	}
	for _, item := range g.pacer.take(members, now, rand.Float64()) {
		g.putLocal(item, now)
	}
}
