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
	"google.golang.org/grpc/stats"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/acceptor"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// ErrSuperseded is returned by Run when a later incarnation of this daemon
// exists.
var ErrSuperseded = errors.New("a later incarnation of this daemon is known")

const (
	defaultPeriod         = time.Second
	defaultTimeout        = 3 * time.Second
	defaultMaxBytes       = 16 << 20
	unreachableCallRounds = 3                     // rounds between calls to a random unreachable daemon
	pruneRounds           = 60                    // rounds between two prunings of the state
	minPushInterval       = 20 * time.Millisecond // least time between two pushes of urgent items
)

// Gossiper exchanges items with other entry daemons. Set its fields before
// calling Run or any other method.
type Gossiper struct {
	Self       cowslipproxy.Owner
	Hello      cowslipproxy.Hello
	Listener   net.Listener
	Calls      stats.Handler                                                     // follows the calls of other daemons; nil means none
	Period     time.Duration                                                     // between two gossip rounds
	Timeout    time.Duration                                                     // time without a heartbeat after which a daemon counts as down
	MaxBytes   int64                                                             // limit for the body of a forwarded request, and for that of its response
	Budget     float64                                                           // bytes per second for items that are not urgent; 0 derives it from the fleet size
	Dial       func(ctx context.Context, address string) (net.Conn, error)       // nil means a TCP dialer
	Snapshot   func(ctx context.Context) (offset uint64, data []byte, err error) // returns the configuration snapshot and its offset
	Document   func() (Document, bool)                                           // returns the document that other daemons may fetch; false if there is none yet
	OnSuspects func(data []byte) (held []byte, err error)                        // handles suspect records and returns those held here
	OnHold     func(data []byte) (response []byte, err error)                    // handles a request to reserve an upstream for a suspect, or to release it
	OnGrant    func(data []byte) (reply []byte, err error)                       // handles a request of another daemon to send a request to an upstream with a limit
	OnTrial    func(data []byte) (reply []byte, err error)                       // handles a request of another daemon for a trial of quarantined fingerprints
	OnShare    func(data []byte) (response []byte, err error)                    // handles data that another daemon read from the platform's store, and returns the reply
	Handler    http.Handler                                                      // serves forwarded requests
	OnChange   func(item Item)                                                   // called for each new item from another daemon
	Logger     *slog.Logger                                                      // nil means slog.Default()

	once          sync.Once
	mu            sync.Mutex
	store         *Store
	detector      *Detector
	pacer         pacer
	listed        map[string]Contact
	peers         map[string]*peer
	conns         *connections
	wake          chan struct{}
	announced     cowslipproxy.Hello // last hello published by this daemon
	hellos        map[cowslipproxy.Owner]cachedHello
	heard         map[cowslipproxy.Owner]time.Time // time of the last message that came from a daemon itself
	seen          map[uint64]time.Time             // time at which a daemon that this one calls last heard from another, by the hash of its owner
	superseded    bool                             // a peer knows a later incarnation of this daemon
	rounds        int
	server        *grpc.Server
	helloMutex    sync.Mutex                  // serializes read-modify-write cycles of the published hello
	comparingWith string                      // peer with which a comparison is in progress
	loggedStates  map[cowslipproxy.Owner]bool // whether each member was down when that was last logged
}

// peer is the exchange state of one other daemon.
type peer struct {
	owner       cowslipproxy.Owner
	acked       uint64 // position in the local journal that the peer acknowledged
	received    uint64 // position in the peer's journal up to which all items are held
	unequal     int    // consecutive exchanges with unequal hashes
	lastCompare time.Time
	calling     bool // a call to the peer is in progress
	callAgain   bool // another call follows the one in progress
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
		g.announced = g.Hello
		g.store = NewStore()
		g.hellos = map[cowslipproxy.Owner]cachedHello{}
		g.heard = map[cowslipproxy.Owner]time.Time{}
		g.seen = map[uint64]time.Time{}
		g.detector = &Detector{Timeout: g.Timeout}
		g.pacer = pacer{budget: g.Budget}
		g.listed = map[string]Contact{}
		g.peers = map[string]*peer{}
		g.conns = newConnections(g.Dial, g.handleRefused)
		g.wake = make(chan struct{}, 1)
	})
}

// Run serves calls of other daemons and exchanges items with them until ctx is
// done.
func (g *Gossiper) Run(ctx context.Context) error {
	g.setup()
	defer g.conns.close()
	if err := g.updateHello(func(*cowslipproxy.Hello) {}); err != nil {
		return err
	}
	options := serverOptions()
	if g.Calls != nil {
		options = append(options, grpc.StatsHandler(g.Calls))
	}
	server := grpc.NewServer(options...)
	g.Register(server)
	g.mu.Lock()
	g.server = server
	g.mu.Unlock()
	served := make(chan error, 1)
	go func() { served <- server.Serve(acceptor.New(g.Listener, maxConns)) }()
	err := g.loop(ctx, served)
	server.Stop()
	return err
}

// Drain rejects new calls of other daemons and waits until those in progress
// have completed or ctx is done. Call it while Run is running.
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
				return errors.Wrap(err, "serve peers")
			}
			served = nil // Drain has stopped the server
		case <-timer.C:
			if g.isSuperseded() {
				reporter.EventSuperseded.Log(ctx, g.Logger, slog.String("name", g.Self.Name))
				return errors.WithStack(ErrSuperseded)
			}
			g.round(ctx, &calls)
			timer.Reset(g.Period*9/10 + rand.N(g.Period/5+1))
		case <-g.wake:
			g.push(ctx, &calls)
			if !waiter.Wait(ctx, minPushInterval) {
				return nil
			}
		}
	}
}

func (g *Gossiper) isSuperseded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.superseded || g.store.LatestIncarnation(g.Self.Name) > g.Self.Incarnation
}

// round publishes pending items, updates the failure detector, and calls the
// neighbours. It also calls one of the daemons that it reported as down, and
// every few rounds a random unreachable one, so that a partitioned fleet merges
// again.
func (g *Gossiper) round(ctx context.Context, calls *sync.WaitGroup) {
	now := time.Now()
	g.mu.Lock()
	g.publishPending(now)
	live, unreachable := g.contacts()
	chosen := Neighbours(g.selfContact(), live)
	g.watchNeighbours(ctx, chosen, now)
	g.adoptReports(live, unreachable, now)
	g.logStateChanges(ctx)
	g.rounds++
	chosen = append(chosen, g.unreachableToCall(unreachable)...)
	if g.rounds%pruneRounds == 0 {
		g.prune(now)
	}
	g.mu.Unlock()
	g.conns.prune(now)
	g.callPeers(ctx, chosen, calls)
}

func (g *Gossiper) unreachableToCall(unreachable []Contact) []Contact {
	var failed, chosen []Contact
	for _, contact := range unreachable {
		if down, _ := g.detector.IsDown(contact.Owner); down {
			failed = append(failed, contact)
		}
	}
	if len(failed) > 0 {
		chosen = append(chosen, failed[g.rounds%len(failed)])
	}
	if g.rounds%unreachableCallRounds == 0 && len(unreachable) > 0 {
		chosen = append(chosen, unreachable[rand.IntN(len(unreachable))])
	}
	return chosen
}

// push calls the neighbours between rounds to spread urgent items.
func (g *Gossiper) push(ctx context.Context, calls *sync.WaitGroup) {
	g.mu.Lock()
	live, _ := g.contacts()
	chosen := Neighbours(g.selfContact(), live)
	g.mu.Unlock()
	g.callPeers(ctx, chosen, calls)
}

func (g *Gossiper) callPeers(ctx context.Context, chosen []Contact, calls *sync.WaitGroup) {
	for _, contact := range chosen {
		if !g.beginCall(contact.Owner.Name) {
			continue
		}
		calls.Go(func() {
			for repeat := true; repeat; {
				if err := g.exchange(ctx, contact); err != nil {
					reporter.EventPeerFailed.Log(ctx, g.Logger, slog.String("peer", contact.Owner.Name), slog.Any("error", err))
				}
				repeat = g.endCall(contact.Owner.Name) && ctx.Err() == nil
			}
		})
	}
}

// beginCall marks a call to a peer as in progress and returns true. If a call is
// already in progress, it returns false and schedules another one after it.
func (g *Gossiper) beginCall(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	if p.calling {
		p.callAgain = true
		return false
	}
	p.calling = true
	return true
}

func (g *Gossiper) endCall(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(name)
	callAgain := p.callAgain
	p.callAgain = false
	p.calling = callAgain
	return callAgain
}

func (g *Gossiper) peer(name string) *peer {
	if g.peers[name] == nil {
		g.peers[name] = &peer{}
	}
	return g.peers[name]
}

func (g *Gossiper) selfContact() Contact {
	return Contact{Owner: g.Self, Centre: g.Hello.Centre, Address: g.Hello.Peer.String()}
}

// watchNeighbours has the failure detector watch the neighbours whose
// incarnation is known, and reports those that went down.
func (g *Gossiper) watchNeighbours(ctx context.Context, chosen []Contact, now time.Time) {
	var owners []cowslipproxy.Owner
	for _, contact := range chosen {
		if contact.Owner.Incarnation != 0 {
			owners = append(owners, contact.Owner)
		}
	}
	g.detector.Watch(owners, now)
	for _, failed := range g.detector.Tick(now) {
		g.reportDown(ctx, failed, now)
	}
}

// handleRefused reports a daemon as down because its address refuses connections.
// Its process has exited, and callers would be directed to it until the heartbeat
// timeout.
func (g *Gossiper) handleRefused(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	live, _ := g.contacts()
	for _, contact := range live {
		if contact.Address == address {
			g.handleExit(contact.Owner)
		}
	}
}

// handleReplaced reports a daemon as down because another process answers at its address.
func (g *Gossiper) handleReplaced(owner cowslipproxy.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleExit(owner)
}

// handleExit reports a watched daemon as down whose process has exited. The caller holds
// the lock.
func (g *Gossiper) handleExit(owner cowslipproxy.Owner) {
	if g.detector.MarkDown(owner) {
		g.reportDown(context.Background(), owner, time.Now())
	}
}

func (g *Gossiper) recordHeartbeat(owner cowslipproxy.Owner, now time.Time) {
	g.heard[owner] = now
	g.detector.RecordHeartbeat(owner, now)
	if _, reported := g.store.Get(g.Self, ReachAll, KindDown, owner.Key()); reported {
		reporter.EventPeerUp.Log(context.Background(), g.Logger, slog.String("peer", owner.Name))
		g.putLocal(Item{Kind: KindDown, Key: owner.Key(), Reach: ReachAll, Urgent: true, Withdrawn: true}, now)
	}
}

// putLocal stores a local item and wakes the loop if the item is urgent.
func (g *Gossiper) putLocal(item Item, now time.Time) {
	item.Owner = g.Self
	if _, err := g.store.Put(item, now); err != nil {
		reporter.EventItemInvalid.Log(context.Background(), g.Logger, slog.Any("error", err))
		return
	}
	if item.Urgent {
		g.wakeLoop()
	}
}

func (g *Gossiper) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
