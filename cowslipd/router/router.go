// Package router assembles the components of the entry daemon and runs them.
package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/acceptor"
	"github.com/cowslipproxy/cowslipproxy/advertiser"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/checker"
	"github.com/cowslipproxy/cowslipproxy/claimer"
	"github.com/cowslipproxy/cowslipproxy/commander"
	"github.com/cowslipproxy/cowslipproxy/committer"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/fetcher"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/forwarder"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/holder"
	"github.com/cowslipproxy/cowslipproxy/joiner"
	"github.com/cowslipproxy/cowslipproxy/leaser"
	"github.com/cowslipproxy/cowslipproxy/limiter"
	"github.com/cowslipproxy/cowslipproxy/lister"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/pooler"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resetter"
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

const (
	readHeaderTimeout      = 10 * time.Second
	idleTimeout            = 2 * time.Minute
	maxResponseHeader      = 16 << 10 // bytes of the head of a response of the log or the VM list
	maxHeaderBytes         = 64 << 10
	stopPollInterval       = 50 * time.Millisecond
	flushTimeout           = 5 * time.Second        // for pending outcomes to be appended to the log during a stop
	exportIntervalTokens   = 64                     // tokens between two exports of a context
	exportMinRecomputeTime = 500 * time.Millisecond // a shorter recomputation uses little of the 2 s within which a failed stage must be replaced
	exportMemoryBytes      = 64 << 20               // a quarter of the daemon's memory
)

// Router is an entry daemon. Its exported fields must be set before Run is called.
type Router struct {
	Settings loader.Settings
	Clock    func() time.Time
	Logger   *slog.Logger
	Metrics  metrics.Registry
	Dial     func(ctx context.Context, address string) (net.Conn, error) // connects to the log, the VM list and other daemons; nil means TCP

	owner           cowslipproxy.Owner
	checker         *checker.Checker
	pool            *pooler.Pool
	follower        *follower.Follower
	lister          *lister.Lister
	gossiper        *gossiper.Gossiper
	claimer         *claimer.Claimer
	committer       *committer.Committer
	limits          *limiter.Limits
	admission       *admission
	caller          *caller.Server
	driver          *driver.Driver
	retrier         *retrier.Retrier
	suspectsChanged chan struct{} // signals that an upstream crashed
	membersChanged  chan struct{} // signals that a daemon joined or went down
	suspectSends    inFlightSet
	eventLimiter    eventLimiter
	gaugesMu        sync.Mutex // serializes refreshGauges

	quarantiner *quarantiner.Quarantiner
	commander   *commander.Commander
	started     time.Time
	hasList     atomic.Bool // the pool has received a VM list

	stopMu     sync.Mutex
	stopper    advertiser.Stopper
	advertiser advertiser.Advertiser
}

// listeners are the daemon's open sockets.
type listeners struct {
	callers, peers, operator net.Listener
}

// Run serves requests until a planned stop is complete or a component fails.
// Cancelling ctx starts a planned stop.
func (r *Router) Run(ctx context.Context) error {
	r.started = r.Clock()
	var sockets listeners
	var err error
	if sockets, err = r.listen(); err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	r.build(workCtx, sockets.peers)
	callerServer := r.httpServer(r.caller.Handler())
	operatorServer := r.httpServer(r.operatorHandler())
	group.Go(func() error { return r.pool.Run(workCtx) })
	group.Go(func() error { return ignoreErrorAfterCancel(workCtx, r.follower.Run(workCtx)) })
	group.Go(func() error { return r.lister.Run(workCtx) })
	group.Go(func() error { return r.gossiper.Run(workCtx) })
	group.Go(func() error { return ignoreErrorAfterCancel(workCtx, r.committer.Run(workCtx)) })
	group.Go(func() error { return r.exchange(workCtx) })
	group.Go(func() error { return r.announceWhenReady(workCtx) })
	group.Go(func() error { return r.replicateSuspects(workCtx) })
	group.Go(func() error { return r.commander.Run(workCtx) })
	group.Go(func() error { return serve(callerServer, acceptor.New(sockets.callers, r.Settings.Sockets)) })
	group.Go(func() error { return serve(operatorServer, sockets.operator) })
	reporter.EventStarted.Log(ctx, r.Logger, slog.String("name", r.owner.Key()), slog.String("callers", sockets.callers.Addr().String()))
	group.Go(func() error {
		r.awaitStop(ctx, workCtx)
		_ = callerServer.Shutdown(workCtx) // fails only when workCtx is cancelled, and the group reports the cause
		r.drainAndFlush(workCtx)
		_ = operatorServer.Shutdown(workCtx) // as above
		cancel()
		return nil
	})
	err = group.Wait()
	r.admission.group.Wait()
	reporter.EventStopped.Log(ctx, r.Logger, slog.String("name", r.owner.Key()))
	return err
}

func (r *Router) listen() (listeners, error) {
	var open listeners
	for _, socket := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{{&open.callers, r.Settings.Callers}, {&open.peers, r.Settings.Peers}, {&open.operator, r.Settings.Operator}} {
		var err error
		if *socket.listener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(socket.address)); err != nil {
			return open, errors.WithStack(err)
		}
	}
	return open, nil
}

// ignoreErrorAfterCancel drops the error of a component that ended because ctx was
// cancelled.
func ignoreErrorAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (r *Router) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           resetter.Handler(handler),
		ConnContext:       resetter.SaveConn,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.Logger.Handler(), slog.LevelDebug),
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// build creates the components in the order of their dependencies.
func (r *Router) build(ctx context.Context, peers net.Listener) {
	s := r.Settings
	r.owner = cowslipproxy.Owner{Name: s.Name, Incarnation: uint64(r.started.UnixNano())}
	r.checker = &checker.Checker{Metrics: r.Metrics, Logger: r.Logger}
	transport := r.transport()
	log := &follower.Client{Address: s.Log, Transport: transport}
	r.pool = &pooler.Pool{
		Name: s.Name, Centre: s.Centre, Checker: r.checker,
		Clock: r.Clock, Logger: r.Logger, Metrics: r.Metrics,
	}
	r.pool.Prepare()
	r.follower = &follower.Follower{Log: log, Name: s.Name, Retention: time.Duration(s.Retain), Peers: r.fetchPeerSnapshots, OnChange: r.handleConfiguration, Logger: r.Logger}
	r.lister = &lister.Lister{URL: "http://" + s.List.String(), Client: &http.Client{Transport: transport}, OnChange: r.handleList, Logger: r.Logger}
	r.claimer = &claimer.Claimer{Incarnation: r.owner.Key(), Partitions: s.Streams, Retention: time.Duration(s.Retain)}
	r.committer = &committer.Committer{Log: log, Claimer: r.claimer, Logger: r.Logger}
	r.limits = &limiter.Limits{Self: r.owner.Key()}
	r.retrier = &retrier.Retrier{}
	r.buildCommander(log)
	r.suspectsChanged = make(chan struct{}, 1)
	r.membersChanged = make(chan struct{}, 1)
	r.quarantiner = &quarantiner.Quarantiner{Self: r.owner.Key()}
	inFlight := &requestTracker{requests: map[string]trackedRequest{}}
	r.admission = &admission{limits: r.limits, inFlight: inFlight, floor: s.Floor, maxQueued: s.Queue, clock: r.Clock, ctx: ctx, gates: map[string]*limiter.Gate{}}
	r.admission.checkQuarantine = func(now time.Time, request limiter.Request) *cowslipproxy.Failure {
		return r.quarantiner.Check(now, fingerprintOf(request))
	}
	r.pool.OnCrash, r.pool.RequestHold = r.handleCrash, r.requestHold
	r.driver = &driver.Driver{
		Chooser: r.pool, Observer: r.pool, Engine: r.pool.Engine, Permit: r.permitRun, OnSurvived: r.handleSurvived,
		ExportPolicy: &driver.ExportPolicy{Interval: exportIntervalTokens, MinRecomputeTime: exportMinRecomputeTime, Memory: semaphore.NewWeighted(exportMemoryBytes)},
		Checker:      r.checker, Clock: r.Clock, Logger: r.Logger, Metrics: r.Metrics,
	}
	r.buildCallerServer(inFlight)
	r.gossiper = &gossiper.Gossiper{
		Self:       r.owner,
		Hello:      cowslipproxy.Hello{Caller: s.Callers, Peer: s.Peers, Centre: s.Centre, Starting: true},
		Listener:   peers,
		Dial:       r.Dial,
		MaxBytes:   s.Body,
		Snapshot:   r.encodeSnapshot,
		OnSuspects: r.mergeSuspects,
		OnHold:     r.grantHold,
		Handler:    r.caller.Handler(),
		OnChange:   r.handleItem,
		Logger:     r.Logger,
	}
	g := &onceGuard{committer: r.committer, gossiper: r.gossiper, incarnation: r.owner.Key()}
	r.caller.Guard, r.committer.OwnerGone = g, g.ownerGone
	r.stopper = advertiser.Stopper{Lifetime: time.Duration(s.Lifetime), MaxWait: time.Duration(s.Grace)}
	r.advertiser = advertiser.Advertiser{Centre: s.Centre, Lifetime: time.Duration(s.Lifetime), Random: rand.New(rand.NewPCG(r.owner.Incarnation, 1))}
}

func (r *Router) buildCommander(log cowslipproxy.Log) {
	r.commander = &commander.Commander{
		Lease: &holder.Holder{
			Log: log, Stream: commander.Stream, Leaser: &leaser.Leaser{Name: "placement", Self: r.owner.Key()},
			Clock: r.Clock, Logger: r.Logger,
		},
		ActiveConfiguration: r.follower.Current,
		Engines:             r.usableEngines,
		Engine:              r.pool.Engine,
		Clock:               r.Clock,
		Logger:              r.Logger,
	}
	if r.Settings.Weights.IsValid() {
		r.commander.Weights = &fetcher.Store{Address: r.Settings.Weights}
	}
}

// usableEngines returns the engines that can receive placement orders.
func (r *Router) usableEngines() []commander.Engine {
	var engines []commander.Engine
	for _, state := range r.pool.Dump().Engines {
		if state.Reason == joiner.ReasonNone && !state.Reported.IsZero() {
			engines = append(engines, commander.Engine{VM: state.Name, Centre: state.Centre, Report: state.Report})
		}
	}
	return engines
}

// transport returns the HTTP transport for the log and the VM list. It keeps an idle
// connection for each stream that the daemon follows, so that reads don't open new
// connections.
func (r *Router) transport() *http.Transport {
	transport := &http.Transport{MaxIdleConnsPerHost: 2*r.Settings.Streams + 2, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxResponseHeader}
	if r.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return r.Dial(ctx, address) }
	}
	return transport
}

func (r *Router) buildCallerServer(inFlight *requestTracker) {
	r.caller = &caller.Server{
		ActiveConfiguration: r.follower.Current,
		Admitter:            r.admission,
		Models:              &meteredDriver{driver: r.driver, inFlight: inFlight, onEnd: r.handleJobEnd, onError: r.logNoUpstream},
		Services: &serviceRunner{
			forwarder: forwarder.Forwarder{Picker: r.pool, MaxBody: r.Settings.Body, OnAttempt: r.pool.ObserveCall, AllowRetry: r.allowRetry},
			clock:     r.Clock, retrier: r.retrier, onError: r.logNoUpstream,
		},
		Addresses:      r.addresses,
		Stopping:       r.isFinishing,
		Incarnation:    r.owner.Key(),
		BodyLimit:      r.Settings.Body,
		DefaultTimeout: time.Duration(r.Settings.Wait),
		Clock:          r.Clock,
		Logger:         r.Logger,
		Metrics:        r.Metrics,
	}
}

// handleConfiguration announces the offset of a configuration that took effect.
func (r *Router) handleConfiguration(configuration cowslipproxy.ActiveConfiguration) {
	if err := r.gossiper.PublishOffset(configuration.Offset); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), r.Logger, slog.Any("error", err))
	}
}

// handleList applies a new VM list.
func (r *Router) handleList(list lister.List) {
	r.pool.List(list)
	r.hasList.Store(true)
	r.gossiper.SetListed(list.VMs)
}
