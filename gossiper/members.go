package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// Encode returns a value as an item's data.
func Encode(value any) ([]byte, error) {
	var data []byte
	var err error
	if data, err = cbor.Marshal(value); err != nil {
		return nil, errors.Wrap(err, "encode item")
	}
	return data, nil
}

// Publish makes an own item known. Items that are not urgent wait for the next
// round, and longer in a large fleet, so that the traffic stays in bounds.
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
	g.signal()
	return nil
}

// Withdraw makes known that an own item no longer holds.
func (g *Gossiper) Withdraw(kind Kind, key string, reach Reach) error {
	return g.Publish(Item{Kind: kind, Key: key, Reach: reach, Urgent: true, Gone: true})
}

// Say tells the other daemons about this one, at once. The data centre stays
// that of the field Hello.
func (g *Gossiper) Say(hello cowslipproxy.Hello) error {
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
	g.said = hello
	g.mu.Unlock()
	return g.Publish(Item{Kind: KindHello, Data: data, Urgent: true})
}

// Stop tells the other daemons that this one stops.
func (g *Gossiper) Stop() error {
	return g.amend(func(hello *cowslipproxy.Hello) { hello.Stopping = true })
}

// Start tells the other daemons that this one can serve callers.
func (g *Gossiper) Start() error {
	return g.amend(func(hello *cowslipproxy.Hello) { hello.Starting = false })
}

func (g *Gossiper) amend(change func(*cowslipproxy.Hello)) error {
	g.setup()
	g.amending.Lock()
	defer g.amending.Unlock()
	g.mu.Lock()
	hello := g.said
	g.mu.Unlock()
	change(&hello)
	return g.Say(hello)
}

// SayOffset tells the data centre through which offset the configuration is folded here.
func (g *Gossiper) SayOffset(offset uint64) error {
	var data []byte
	var err error
	if data, err = Encode(offset); err != nil {
		return err
	}
	return g.Publish(Item{Kind: KindOffset, Reach: ReachCentre, Data: data})
}

// SaySuspect tells all daemons of a request that may be poison, at once.
func (g *Gossiper) SaySuspect(fingerprint string, data []byte) error {
	return g.Publish(Item{Kind: KindPoison, Key: fingerprint, Data: data, Urgent: true})
}

// SayDemand tells the others of customers' demand here.
func (g *Gossiper) SayDemand(customer string, reach Reach, data []byte) error {
	return g.Publish(Item{Kind: KindDemand, Key: customer, Reach: reach, Data: data})
}

// Items returns the items of a kind that are known, own ones included.
func (g *Gossiper) Items(kind Kind) []Item {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Items(kind)
}

// Offsets returns the configuration offsets of the data centre's daemons by name.
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

// Members returns the entry daemons that said hello, this one included, by name.
func (g *Gossiper) Members() []cowslipproxy.Member {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members()
}

func (g *Gossiper) members() []cowslipproxy.Member {
	var members []cowslipproxy.Member
	accused := g.accused()
	for _, item := range g.store.Items(KindHello) {
		hello, ok := g.hello(item)
		if !ok {
			continue
		}
		member := cowslipproxy.Member{Owner: item.Owner, Hello: hello}
		// The own observation counts more than what others report.
		if missing, watched := g.detector.Missing(member.Owner); watched {
			member.Down = missing
		} else {
			member.Down = accused[member.Key()] && member.Owner != g.Self
		}
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// knownHello is a decoded hello, kept since every round needs all of them.
type knownHello struct {
	version uint64
	hello   cowslipproxy.Hello
	ok      bool
}

func (g *Gossiper) hello(item Item) (cowslipproxy.Hello, bool) {
	known := g.hellos[item.Owner]
	if known.version == item.Version {
		return known.hello, known.ok
	}
	known = knownHello{version: item.Version}
	if err := decoder.CBOR(item.Data, &known.hello); err != nil {
		reporter.EventBadItem.Log(context.Background(), g.Logger, slog.String("from", item.Owner.Name), slog.Any("error", err))
	} else {
		known.ok = true
	}
	g.hellos[item.Owner] = known
	return known.hello, known.ok
}

// prune drops what is only of use to incarnations that are gone.
func (g *Gossiper) prune(now time.Time) {
	g.store.Prune(now)
	current := map[string]bool{}
	for owner := range g.hellos {
		if g.store.Newest(owner.Name) != owner.Incarnation {
			delete(g.hellos, owner)
			continue
		}
		current[owner.Key()] = true
	}
	for _, item := range g.store.Items(KindDown) {
		if item.Owner == g.Self && !current[item.Key] {
			g.put(Item{Kind: KindDown, Key: item.Key, Reach: ReachAll, Gone: true}, now)
		}
	}
}

// accused returns the keys of the daemons that others report as missing, less
// those that answered the report. A daemon that lost only its link to the
// reporter, but not to others, so stays in use.
func (g *Gossiper) accused() map[string]bool {
	accused := map[string]bool{}
	for _, report := range g.store.Items(KindDown) {
		if !g.refuted(report) {
			accused[report.Key] = true
		}
	}
	return accused
}

func (g *Gossiper) refuted(report Item) bool {
	name, _ := cutKey(report.Key)
	answer, ok := g.store.Get(cowslipproxy.Owner{Name: name, Incarnation: g.store.Newest(name)}, ReachAll, KindAlive, report.Owner.Key())
	if !ok {
		return false
	}
	var version uint64
	if err := decoder.CBOR(answer.Data, &version); err != nil {
		return false
	}
	return version >= report.Version
}

// cutKey splits the key of an owner into name and incarnation.
func cutKey(key string) (name, incarnation string) {
	i := strings.LastIndexByte(key, '-')
	if i < 0 {
		return key, ""
	}
	return key[:i], key[i+1:]
}

// refute answers reports that this daemon is missing.
func (g *Gossiper) refute(fresh []Item, now time.Time) {
	for _, report := range fresh {
		if report.Kind != KindDown || report.Key != g.Self.Key() {
			continue
		}
		answer := Item{Kind: KindAlive, Key: report.Owner.Key(), Reach: ReachAll, Urgent: true, Gone: report.Gone}
		var err error
		if answer.Data, err = Encode(report.Version); err != nil {
			continue // a number always encodes
		}
		g.put(answer, now)
	}
}

// SetListed sets the entry VMs of the platform's list. They are called until
// they say hello.
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

// Forget drops a daemon that is gone for good: down and not in a fresh list.
func (g *Gossiper) Forget(owner cowslipproxy.Owner) {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Forget(owner)
	g.store.Forget(owner, time.Now())
	delete(g.peers, owner.Name)
	if _, reported := g.store.Get(g.Self, ReachAll, KindDown, owner.Key()); reported {
		g.put(Item{Kind: KindDown, Key: owner.Key(), Reach: ReachAll, Gone: true}, time.Now())
	}
}

// contacts returns the other daemons that can be called, and those that are
// down or listed without having said hello. A daemon that is down and listed at
// another address may have been replaced there.
func (g *Gossiper) contacts() (live, silent []Contact) {
	up := map[string]bool{g.Self.Name: true}
	tried := map[string]bool{}
	for _, member := range g.members() {
		contact := Contact{Owner: member.Owner, Address: member.Peer.String(), Centre: member.Centre}
		switch {
		case member.Owner == g.Self:
		case member.Down:
			silent = append(silent, contact)
			tried[contact.Address] = true
		default:
			live = append(live, contact)
			up[member.Name] = true
		}
	}
	for name, contact := range g.listed {
		if !up[name] && !tried[contact.Address] {
			silent = append(silent, contact)
		}
	}
	if len(live) == 0 {
		return silent, nil // at the start, and when this daemon lost all others
	}
	return live, silent
}

func (g *Gossiper) publishDue(now time.Time) {
	members := map[Reach]int{}
	for _, known := range g.hellos {
		members[ReachAll]++
		if known.hello.Centre == g.Hello.Centre {
			members[ReachCentre]++
		}
	}
	for _, item := range g.pacer.take(members, now, rand.Float64()) {
		g.put(item, now)
	}
}
