// Package router joins the parts of the entry daemon.
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
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/cowslipproxy/cowslipproxy"
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
	"github.com/cowslipproxy/cowslipproxy/retrier"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	stopPoll      = 50 * time.Millisecond
	flushLimit    = 5 * time.Second        // for outcomes to get into the log at a stop
	saveEvery     = 64                     // tokens
	saveAbove     = 500 * time.Millisecond // a recomputation below this leaves most of the 2 s that a stage's death may cost
	saveRoom      = 64 << 20               // bytes, a quarter of the daemon's memory
)

// Router is an entry daemon. Its exported fields are set before Run.
type Router struct {
	Settings loader.Settings
	Clock    func() time.Time
	Logger   *slog.Logger
	Metrics  metrics.Registry
	Dial     func(ctx context.Context, address string) (net.Conn, error) // to the log, the list and other daemons; nil means TCP

	owner     cowslipproxy.Owner
	checker   *checker.Checker
	pool      *pooler.Pool
	follower  *follower.Follower
	lister    *lister.Lister
	gossiper  *gossiper.Gossiper
	claimer   *claimer.Claimer
	committer *committer.Committer
	limits    *limiter.Limits
	admission *admission
	caller    *caller.Server
	driver    *driver.Driver
	retrier   *retrier.Retrier
	suspected chan struct{} // an upstream crashed
	joined    chan struct{} // a daemon came or went
	sending   busy
	notices   notices
	gaugesMu  sync.Mutex // held while the gauges are set

	quarantiner *quarantiner.Quarantiner
	commander   *commander.Commander
	started     time.Time
	hasList     atomic.Bool // the pool has taken in a list

	stopMu     sync.Mutex
	stopper    advertiser.Stopper
	advertiser advertiser.Advertiser
}

// listeners are the daemon's open sockets.
type listeners struct {
	callers, peers, operator net.Listener
}

// Run serves until a planned stop that the end of ctx begins is complete, or a
// part of the daemon fails.
func (r *Router) Run(ctx context.Context) error {
	r.started = r.Clock()
	var sockets listeners
	var err error
	if sockets, err = r.listen(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	r.build(work, sockets.peers)
	server := r.httpServer(r.caller.Handler())
	operators := r.httpServer(r.operatorHandler())
	group.Go(func() error { return r.pool.Run(work) })
	group.Go(func() error { return ignoreEnd(work, r.follower.Run(work)) })
	group.Go(func() error { return r.lister.Run(work) })
	group.Go(func() error { return r.gossiper.Run(work) })
	group.Go(func() error { return ignoreEnd(work, r.committer.Run(work)) })
	group.Go(func() error { return r.exchange(work) })
	group.Go(func() error { return r.start(work) })
	group.Go(func() error { return r.spreadSuspects(work) })
	group.Go(func() error { return r.commander.Run(work) })
	group.Go(func() error { return serve(server, netutil.LimitListener(sockets.callers, r.Settings.Sockets)) })
	group.Go(func() error { return serve(operators, sockets.operator) })
	reporter.EventStarted.Log(ctx, r.Logger, slog.String("name", r.owner.Key()), slog.String("callers", sockets.callers.Addr().String()))
	group.Go(func() error {
		r.awaitStop(ctx, work)
		_ = server.Shutdown(work) // only the end of work ends it early, which the group reports
		r.finish(work)
		_ = operators.Shutdown(work) // as above
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

// ignoreEnd drops the error of a part that ended because the daemon ends.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (r *Router) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(r.Logger.Handler(), slog.LevelDebug),
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// build sets up the parts, those first that others use.
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
	r.follower = &follower.Follower{Log: log, Name: s.Name, Retention: time.Duration(s.Retain), Peers: r.peerSnapshots, OnChange: r.configured, Logger: r.Logger}
	r.lister = &lister.Lister{URL: "http://" + s.List.String(), Client: &http.Client{Transport: transport}, Changed: r.listed, Logger: r.Logger}
	r.claimer = &claimer.Claimer{Incarnation: r.owner.Key(), Partitions: s.Streams, Retention: time.Duration(s.Retain)}
	r.committer = &committer.Committer{Log: log, Claimer: r.claimer, Logger: r.Logger}
	r.limits = &limiter.Limits{Self: r.owner.Key()}
	r.retrier = &retrier.Retrier{}
	r.buildCommander(log)
	r.suspected = make(chan struct{}, 1)
	r.joined = make(chan struct{}, 1)
	r.quarantiner = &quarantiner.Quarantiner{Self: r.owner.Key()}
	track := &tracker{requests: map[string]tracked{}}
	r.admission = &admission{limits: r.limits, track: track, floor: s.Floor, bound: s.Queue, clock: r.Clock, ctx: ctx, gates: map[string]*limiter.Gate{}}
	r.admission.quarantine = func(now time.Time, request limiter.Request) *cowslipproxy.Failure {
		return r.quarantiner.Check(now, printOf(request))
	}
	r.pool.OnCrash, r.pool.Ask = r.crashed, r.askHold
	r.driver = &driver.Driver{
		Chooser: r.pool, Observer: r.pool, Engine: r.pool.Engine, Permit: r.permit, Survived: r.survived,
		Saving:  &driver.Saving{Every: saveEvery, Above: saveAbove, Room: semaphore.NewWeighted(saveRoom)},
		Checker: r.checker, Clock: r.Clock, Logger: r.Logger, Metrics: r.Metrics,
	}
	r.buildCallers(track)
	r.gossiper = &gossiper.Gossiper{
		Self:       r.owner,
		Hello:      cowslipproxy.Hello{Caller: s.Callers, Peer: s.Peers, Centre: s.Centre, Starting: true},
		Listener:   peers,
		Dial:       r.Dial,
		MaxBytes:   s.Body,
		Snapshot:   r.snapshot,
		OnSuspects: r.takeSuspects,
		OnHold:     r.grantHold,
		Handler:    r.caller.Handler(),
		Changed:    r.received,
		Logger:     r.Logger,
	}
	g := &guard{committer: r.committer, gossiper: r.gossiper, incarnation: r.owner.Key()}
	r.caller.Guard, r.committer.OwnerGone = g, g.gone
	r.stopper = advertiser.Stopper{Lifetime: time.Duration(s.Lifetime), MaxWait: time.Duration(s.Grace)}
	r.advertiser = advertiser.Advertiser{Centre: s.Centre, Lifetime: time.Duration(s.Lifetime), Random: rand.New(rand.NewPCG(r.owner.Incarnation, 1))}
}

func (r *Router) buildCommander(log cowslipproxy.Log) {
	r.commander = &commander.Commander{
		Lease: &holder.Holder{
			Log: log, Stream: commander.Stream, Leaser: &leaser.Leaser{Name: "placement", Self: r.owner.Key()},
			Clock: r.Clock, Logger: r.Logger,
		},
		Settled: r.follower.Current,
		Engines: r.usableEngines,
		Engine:  r.pool.Engine,
		Clock:   r.Clock,
		Logger:  r.Logger,
	}
	if r.Settings.Weights.IsValid() {
		r.commander.Weights = &fetcher.Store{Address: r.Settings.Weights}
	}
}

// usableEngines returns the engines that can be given orders.
func (r *Router) usableEngines() []commander.Engine {
	var engines []commander.Engine
	for _, state := range r.pool.Dump().Engines {
		if state.Reason == joiner.ReasonNone && !state.Reported.IsZero() {
			engines = append(engines, commander.Engine{VM: state.Name, Centre: state.Centre, Report: state.Report})
		}
	}
	return engines
}

// transport returns the transport to the log and the list. It has room for the
// idle connections of all streams that the daemon follows, which would else be
// opened again for each read.
func (r *Router) transport() *http.Transport {
	transport := &http.Transport{MaxIdleConnsPerHost: 2*r.Settings.Streams + 2, IdleConnTimeout: idleTimeout}
	if r.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return r.Dial(ctx, address) }
	}
	return transport
}

func (r *Router) buildCallers(track *tracker) {
	r.caller = &caller.Server{
		Settled:  r.follower.Current,
		Admitter: r.admission,
		Models:   &meteredDriver{driver: r.driver, track: track, ended: r.completed, refused: r.noteRefusal},
		Services: &serviceRunner{
			forwarder: forwarder.Forwarder{Picker: r.pool, MaxBody: r.Settings.Body, Observe: r.pool.ObserveCall, Retry: r.mayRetry},
			clock:     r.Clock, retrier: r.retrier, refused: r.noteRefusal,
		},
		Addresses:   r.addresses,
		Stopping:    r.isFinishing,
		Incarnation: r.owner.Key(),
		BodyLimit:   r.Settings.Body,
		Wait:        time.Duration(r.Settings.Wait),
		Clock:       r.Clock,
		Logger:      r.Logger,
		Metrics:     r.Metrics,
	}
}

// configured takes in a configuration that came into force.
func (r *Router) configured(settled cowslipproxy.Settled) {
	if err := r.gossiper.PublishOffset(settled.Offset); err != nil {
		reporter.EventExchangeFailed.Log(context.Background(), r.Logger, slog.Any("error", err))
	}
}

// listed takes in a new list of VMs.
func (r *Router) listed(list lister.List) {
	r.pool.List(list)
	r.hasList.Store(true)
	r.gossiper.SetListed(list.VMs)
}
