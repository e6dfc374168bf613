package gossiper

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// ErrSuperseded is the error of a daemon of whose name a later incarnation is known.
var ErrSuperseded = errors.New("a later incarnation of this daemon is known")

const (
	defaultPeriod   = time.Second
	defaultTimeout  = 3 * time.Second
	defaultMaxBytes = 16 << 20
	strayRounds     = 3 // rounds between calls to any daemon that doesn't answer
	pruneRounds     = 60
	wakeGap         = 20 * time.Millisecond // between two rounds for urgent items
)

// Gossiper exchanges items with other entry daemons. The fields are set before
// Run or any other method is called.
type Gossiper struct {
	Self     cowslipproxy.Owner
	Hello    cowslipproxy.Hello
	Listener net.Listener
	Period   time.Duration                                                 // of rounds
	Timeout  time.Duration                                                 // silence after which a daemon counts as down
	MaxBytes int64                                                         // of a forwarded request's body, and of its answer's
	Budget   float64                                                       // bytes per second for items that are not urgent; 0 means by the fleet's size
	Dial     func(ctx context.Context, address string) (net.Conn, error)   // nil means TCP
	Snapshot func(ctx context.Context) (at uint64, data []byte, err error) // of the configuration
	Suspects func(data []byte) (held []byte, err error)                    // takes in records of suspects
	Holds    func(data []byte) (answer []byte, err error)                  // decides on a suspect's hold of an upstream
	Shares   func(data []byte) (answer []byte, err error)                  // takes in what a reader of the platform's store tells
	Handler  http.Handler                                                  // serves forwarded requests
	Changed  func(item Item)                                               // is told of items from other daemons
	Logger   *slog.Logger                                                  // nil means the default one

	once     sync.Once
	mu       sync.Mutex
	store    *Store
	detector *Detector
	pacer    pacer
	listed   map[string]Contact
	peers    map[string]*peer
	conns    *connections
	wake     chan struct{}
	said     cowslipproxy.Hello // by this daemon
	hellos   map[cowslipproxy.Owner]knownHello
	superior bool // a later incarnation of this daemon is known
	rounds   int
	server   *grpc.Server
	amending sync.Mutex // so that no change of what was said is lost
	comparer string     // peer with which versions are being compared
}

// peer is what is known of the exchange with one daemon.
type peer struct {
	owner    cowslipproxy.Owner
	acked    uint64 // position in the own journal that the peer has
	seen     uint64 // position in the peer's journal that was received
	unequal  int    // exchanges in a row after which the hashes differed
	compared time.Time
	busy     bool
	again    bool
}

func (g *Gossiper) setup() {
	g.once.Do(func() {
		if g.Period == 0 {
			g.Period = defaultPeriod
		}
		if g.Timeout == 0 {
			g.Timeout = defaultTimeout
		}
		if g.MaxBytes == 0 {
			g.MaxBytes = defaultMaxBytes
		}
		if g.Logger == nil {
			g.Logger = slog.Default()
		}
		g.said = g.Hello
		g.store = NewStore()
		g.hellos = map[cowslipproxy.Owner]knownHello{}
		g.detector = &Detector{Timeout: g.Timeout}
		g.pacer = pacer{budget: g.Budget}
		g.listed = map[string]Contact{}
		g.peers = map[string]*peer{}
		g.conns = newConnections(g.Dial, g.refused)
		g.wake = make(chan struct{}, 1)
	})
}

// Run serves other daemons and exchanges items with them until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	g.setup()
	defer g.conns.close()
	if err := g.amend(func(*cowslipproxy.Hello) {}); err != nil {
		return err
	}
	server := grpc.NewServer(serverOptions()...)
	g.Register(server)
	g.mu.Lock()
	g.server = server
	g.mu.Unlock()
	served := make(chan error, 1)
	go func() { served <- server.Serve(newLimitListener(g.Listener, maxConns)) }()
	err := g.loop(ctx, served)
	server.Stop()
	return err
}

// Drain takes no more calls of other daemons and waits until those that run
// have ended, or until ctx ends. It is called while Run runs.
func (g *Gossiper) Drain(ctx context.Context) {
	g.mu.Lock()
	server := g.server
	g.mu.Unlock()
	if server == nil {
		return
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		server.GracefulStop()
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

func (g *Gossiper) loop(ctx context.Context, served <-chan error) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-served:
			if err != nil {
				return errors.Wrap(err, "serve daemons")
			}
			served = nil // after Drain
		case <-timer.C:
			if g.isSuperseded() {
				reporter.EventSuperseded.Log(ctx, g.Logger, slog.String("name", g.Self.Name))
				return errors.WithStack(ErrSuperseded)
			}
			g.round(ctx, &calls)
			timer.Reset(g.Period*9/10 + rand.N(g.Period/5+1))
		case <-g.wake:
			g.push(ctx, &calls)
			if !waiter.Wait(ctx, wakeGap) {
				return nil
			}
		}
	}
}

func (g *Gossiper) isSuperseded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.superior || g.store.Newest(g.Self.Name) > g.Self.Incarnation
}

// round publishes what is due, decides who is missing, and calls the
// neighbours. It also calls a daemon that it reported missing, and every few
// rounds any other that doesn't answer, so that parts of the fleet that lost
// each other meet again.
func (g *Gossiper) round(ctx context.Context, calls *sync.WaitGroup) {
	now := time.Now()
	g.mu.Lock()
	g.publishDue(now)
	live, silent := g.contacts()
	chosen := Neighbours(g.contact(), live)
	g.watch(ctx, chosen, now)
	g.rounds++
	chosen = append(chosen, g.strays(silent)...)
	if g.rounds%pruneRounds == 0 {
		g.prune(now)
	}
	g.mu.Unlock()
	g.conns.prune(now)
	g.call(ctx, chosen, calls)
}

func (g *Gossiper) strays(silent []Contact) []Contact {
	var lost, chosen []Contact
	for _, contact := range silent {
		if missing, _ := g.detector.Missing(contact.Owner); missing {
			lost = append(lost, contact)
		}
	}
	if len(lost) > 0 {
		chosen = append(chosen, lost[g.rounds%len(lost)])
	}
	if g.rounds%strayRounds == 0 && len(silent) > 0 {
		chosen = append(chosen, silent[rand.IntN(len(silent))])
	}
	return chosen
}

// push calls the neighbours outside of the rounds to pass on urgent items.
func (g *Gossiper) push(ctx context.Context, calls *sync.WaitGroup) {
	g.mu.Lock()
	live, _ := g.contacts()
	chosen := Neighbours(g.contact(), live)
	g.mu.Unlock()
	g.call(ctx, chosen, calls)
}

func (g *Gossiper) call(ctx context.Context, chosen []Contact, calls *sync.WaitGroup) {
	for _, contact := range chosen {
		if !g.begin(contact.Owner.Name) {
			continue
		}
		calls.Go(func() {
			for repeat := true; repeat; {
				if err := g.exchange(ctx, contact); err != nil {
					reporter.EventPeerFailed.Log(ctx, g.Logger, slog.String("peer", contact.Owner.Name), slog.Any("error", err))
				}
				repeat = g.end(contact.Owner.Name) && ctx.Err() == nil
			}
		})
	}
}

// begin marks a peer as being called. A call that is due while one runs is
// made after it.
func (g *Gossiper) begin(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	if p.busy {
		p.again = true
		return false
	}
	p.busy = true
	return true
}

func (g *Gossiper) end(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	again := p.again
	p.again = false
	p.busy = again
	return again
}

func (g *Gossiper) peer(name string) *peer {
	if g.peers[name] == nil {
		g.peers[name] = &peer{}
	}
	return g.peers[name]
}

func (g *Gossiper) contact() Contact {
	return Contact{Owner: g.Self, Centre: g.Hello.Centre, Address: g.Hello.Peer.String()}
}

// watch expects heartbeats of the neighbours that are known, and tells the
// others which of them are missing.
func (g *Gossiper) watch(ctx context.Context, chosen []Contact, now time.Time) {
	var owners []cowslipproxy.Owner
	for _, contact := range chosen {
		if contact.Owner.Incarnation != 0 {
			owners = append(owners, contact.Owner)
		}
	}
	g.detector.Watch(owners, now)
	for _, lost := range g.detector.Tick(now) {
		g.down(ctx, lost, now)
	}
}

// down tells the others that a daemon is missing.
func (g *Gossiper) down(ctx context.Context, lost cowslipproxy.Owner, now time.Time) {
	if lost.Incarnation < g.store.Newest(lost.Name) {
		g.detector.Forget(lost)
		return
	}
	reporter.EventPeerDown.Log(ctx, g.Logger, slog.String("peer", lost.Name))
	g.put(Item{Kind: KindDown, Key: lost.Key(), Reach: ReachAll, Urgent: true}, now)
}

// refused takes in that no process listens at a daemon's address: it ended, and
// callers need not be sent there until its heartbeats are missed.
func (g *Gossiper) refused(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	live, _ := g.contacts()
	for _, contact := range live {
		if contact.Address == address && g.detector.Refused(contact.Owner) {
			g.down(context.Background(), contact.Owner, time.Now())
		}
	}
}

func (g *Gossiper) heard(owner cowslipproxy.Owner, now time.Time) {
	g.detector.Heard(owner, now)
	if _, reported := g.store.Get(g.Self, ReachAll, KindDown, owner.Key()); reported {
		reporter.EventPeerUp.Log(context.Background(), g.Logger, slog.String("peer", owner.Name))
		g.put(Item{Kind: KindDown, Key: owner.Key(), Reach: ReachAll, Urgent: true, Gone: true}, now)
	}
}

// put adds an own item and wakes the loop if it is urgent.
func (g *Gossiper) put(item Item, now time.Time) {
	item.Owner = g.Self
	if _, err := g.store.Put(item, now); err != nil {
		reporter.EventBadItem.Log(context.Background(), g.Logger, slog.Any("error", err))
		return
	}
	if item.Urgent {
		g.signal()
	}
}

func (g *Gossiper) signal() {
	select {
	case g.wake <- struct{}{}:
	default: // a round is due already
	}
}
