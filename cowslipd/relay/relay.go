// Package relay implements the daemon that relays whole requests to upstreams.
package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/advertiser"
	"github.com/cowslipproxy/cowslipproxy/dialer"
	"github.com/cowslipproxy/cowslipproxy/evictor"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/holder"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/refresher"
	"github.com/cowslipproxy/cowslipproxy/registrar"
	"github.com/cowslipproxy/cowslipproxy/relayer"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resetter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
	"github.com/cowslipproxy/cowslipproxy/watcher"
)

const (
	// dialTimeout bounds the dialing of a connection, which usually takes 1 ms plus
	// the round-trip time.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout exceeds the time that callers keep an idle connection for reuse,
	// which is at most the idle time of the configuration.
	idleTimeout = 2 * time.Minute
	// storeIdleTimeout is how long an idle connection to the store is kept. It exceeds the time
	// between two reads of a reader. A connection may go silent without being closed, so that a
	// daemon which has not read the store for longer uses a new one.
	storeIdleTimeout = time.Second
	// headerTimeout bounds the header of a request. Callers send it within 3 s.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10 // configurations allow 16 KiB; see defaultMaxHead
	// maxReplyHeaderBytes bounds the head of a reply of an upstream or the store. Each
	// connection may hold that much.
	maxReplyHeaderBytes = 16 << 10
	// receiveBuffer bounds the data of a connection that the process has not read yet, in bytes.
	// The users' platform counts it as memory of the process. It is enough for 2 MB/s at a
	// round-trip time of 10 ms.
	receiveBuffer = 24 << 10
	// minLocalDaemons is the number of daemons in the caller's data centre that
	// suffices to omit the daemons of other data centres from an address answer.
	minLocalDaemons = 2
	// keepAliveIdle is the idle time before TCP keep-alive probes test a connection.
	keepAliveIdle = 5 * time.Second
)

// Daemon is a relay daemon. Its exported fields are set before Run.
type Daemon struct {
	Settings     loader.RelaySettings
	Platform     cowslipproxy.Platform
	Clock        func() time.Time
	Logger       *slog.Logger
	Metrics      metrics.Registry
	PeerNetwork  cowslipproxy.PeerNetwork // nil means TCP
	SettingsFile string                   // path of the settings file, which is reloaded when it changes
	Hangup       <-chan os.Signal         // signals to reload the settings file

	reloadedSettings atomic.Pointer[loader.RelaySettings] // nil before the first reload
	readyAnnounced   atomic.Bool                          // this daemon was announced as ready to other daemons
	sharing          sharing
	announced        announcement
	applyMu          sync.Mutex        // serializes the activation of configurations
	fetching         atomic.Bool       // a configuration is being fetched from another daemon
	download         gossiper.Download // configuration that is being fetched; used by one fetch at a time
	documentMu       sync.Mutex        // guards currentDocument
	currentDocument  gossiper.Document
	owner            cowslipproxy.Owner
	matcher          atomic.Pointer[matcher.Matcher]
	registrar        registrar.Registrar
	listKnown        atomic.Bool     // the instance list is known
	stopping         atomic.Bool     // the graceful shutdown has begun
	rejecting        context.Context // done when new requests are refused
	reject           context.CancelFunc
	ending           context.Context // done when requests in flight get their final answer
	endRequests      context.CancelFunc
	pools            pools
	upstreams        refresher.Refresher[upstreams] // the only caller of pools.set
	gossiper         *gossiper.Gossiper
	lease            *holder.Holder
	server           *relayer.Server
	clients          *evictor.Pool // connections of callers and operators
	peers            *evictor.Pool // connections of other daemons
	quarantine       quarantine
	limits           limits
	speeds           speeds
}

// Transport returns an HTTP transport with limits on its connections. It reuses
// connections, which are those to the store, if reuse is set.
func Transport(reuse bool) *http.Transport {
	options := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.Dial(ctx, options, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.NetConn().(*net.TCPConn); ok {
			err = tcp.SetReadBuffer(receiveBuffer)
		}
		if err != nil {
			_ = conn.Close() // the connection is not used
			return nil, err
		}
		if reuse {
			return conn.NetConn(), nil // the store's replies have a length
		}
		return conn, nil
	}
	return &http.Transport{
		DialContext: dial, DisableCompression: true, DisableKeepAlives: !reuse,
		MaxResponseHeaderBytes: maxReplyHeaderBytes, MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdleTimeout, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
	}
}

// Run serves until ctx is cancelled and the graceful shutdown that follows is
// complete.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	var err error
	if err = d.openPeerNetwork(); err != nil {
		return err
	}
	var servers []httpServer
	if servers, err = d.openServers(); err != nil {
		return err
	}
	for _, server := range servers {
		group.Go(func() error { return ignoreClosed(server.Serve(server.listener)) })
		group.Go(func() error { <-workCtx.Done(); server.close(closeTimeout); return nil })
	}
	group.Go(func() error { return d.gossiper.Run(workCtx) })
	group.Go(func() error { d.watchConfigurations(workCtx); return nil })
	group.Go(func() error { d.watchInstances(workCtx); return nil })
	group.Go(func() error { d.lease.Follow(workCtx); return nil })
	group.Go(func() error { d.pollPeers(workCtx); return nil })
	group.Go(func() error { d.placeLayers(workCtx); return nil })
	group.Go(func() error { d.trackMembers(workCtx); return nil })
	group.Go(func() error { d.reload(workCtx); return nil })
	group.Go(func() error { d.loadQuarantine(workCtx); return nil })
	group.Go(func() error { d.exchangeQuarantine(workCtx); return nil })
	group.Go(func() error { d.limits.exchange(workCtx); return nil })
	group.Go(func() error { d.speeds.refresh(workCtx); return nil })
	group.Go(func() error { d.speeds.sendAnnouncements(workCtx); return nil })
	reporter.EventStarted.Log(ctx, d.Logger, slog.String("name", d.owner.Key()), slog.Any("callers", d.Settings.Callers))
	group.Go(func() error { d.stop(ctx, workCtx); cancel(); return nil })
	err = group.Wait()
	reporter.EventStopped.Log(ctx, d.Logger, slog.String("name", d.owner.Key()))
	return err
}

// openPeerNetwork opens the listener for other daemons.
func (d *Daemon) openPeerNetwork() error {
	var err error
	if d.PeerNetwork == nil {
		listener, err := d.listen(d.peers, "peers", d.Settings.Peers, peerSocketsDivisor)
		if err != nil {
			return err
		}
		listener.IsPeer = true
		d.gossiper.Listener, d.gossiper.Calls = listener, evictor.Calls{Pool: d.peers}
		return nil
	}
	d.gossiper.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		var peer netip.AddrPort
		var err error
		if peer, err = netip.ParseAddrPort(address); err != nil {
			return nil, errors.WithStack(err)
		}
		return d.PeerNetwork.Dial(ctx, peer)
	}
	d.gossiper.Listener, err = d.PeerNetwork.Listen(d.Settings.Peers)
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// httpServer is an HTTP server and its listener.
type httpServer struct {
	*http.Server
	listener net.Listener
}

// close lets the server write its last answers for some time.
func (s httpServer) close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close() // an error has no effect, since the process exits
	}
}

// openServers opens all listeners before any of them is served, so that a daemon that
// accepts callers also answers readiness checks. After an error, none is open.
func (d *Daemon) openServers() (servers []httpServer, err error) {
	defer func() {
		if err != nil {
			closeListeners(servers)
		}
	}()
	endpoints := []struct {
		name    string
		divisor float64
		address netip.AddrPort
		handler http.Handler
	}{
		{"ready", readySocketsDivisor, d.Settings.Ready, d.Platform.Ready(d.isReady)},
		{"directory", directorySocketsDivisor, d.Settings.Directory, d.Platform.Directory(d.addresses)},
		{"callers", callerSocketsDivisor, d.Settings.Callers, d.server},
		{"metrics", operatorSocketsDivisor, netip.AddrPortFrom(d.Settings.Callers.Addr(), d.Settings.Metrics), d.operatorHandler()},
	}
	for _, endpoint := range endpoints {
		if endpoint.address.Port() == 0 {
			continue // no operator address is set
		}
		var listener *evictor.Listener
		if listener, err = d.listen(d.clients, endpoint.name, endpoint.address, endpoint.divisor); err != nil {
			return servers, err
		}
		servers = append(servers, httpServer{d.newServer(endpoint.handler), listener})
		if err = limitReceiveBuffers(listener); err != nil {
			return servers, err
		}
	}
	return servers, nil
}

func closeListeners(servers []httpServer) {
	for _, server := range servers {
		_ = server.listener.Close() // an error has no effect, since the daemon ends
	}
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: evictor.Handler(resetter.Handler(handler)), ConnContext: saveConn, ConnState: evictor.SetState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // it would answer "OPTIONS *" with 200 without the handler
		ErrorLog:                     slog.NewLogLogger(d.Logger.Handler(), slog.LevelDebug),
	}
}

func (d *Daemon) watchConfigurations(ctx context.Context) {
	(&watcher.Watcher[cowslipproxy.RelayConfiguration]{
		Name: "configuration", Feed: d.Platform.RelayConfigurations, Wait: d.configurationWait, Skip: d.skipsConfigurationReads, IsReader: d.sharing.isReader, Apply: d.handleConfigurations,
		Position: func() uint64 { return d.sharing.position(&d.sharing.configuration) }, Clock: d.Clock, Logger: d.Logger,
	}).Run(ctx)
}

func (d *Daemon) watchInstances(ctx context.Context) {
	(&watcher.Watcher[cowslipproxy.Instance]{
		Name: "instances", Feed: d.Platform.Instances, Interval: sharer.ShareInterval, Skip: d.skipsListReads, IsReader: d.sharing.isReader, Apply: d.handleInstances,
		Position: func() uint64 { return d.sharing.position(&d.sharing.list) }, OnFailure: d.handleListError, Clock: d.Clock, Logger: d.Logger,
	}).Run(ctx)
}

// handleListError handles a failed read of the instance list. The daemon still
// sends shares, so that others learn the age of the list.
func (d *Daemon) handleListError() {
	d.registrar.RecordReadFailure(d.sharing.listCurrentAt())
	d.share(context.Background())
}

// isReady reports whether the daemon can serve callers.
func (d *Daemon) isReady() bool {
	return d.matcher.Load() != nil && d.listKnown.Load() && !d.stopping.Load()
}

// addresses returns the address answer for callers in a data centre.
func (d *Daemon) addresses(_ time.Time, centre string) cowslipproxy.Addresses {
	a := advertiser.Advertiser{Centre: centre, Lifetime: time.Duration(d.settings().Lifetime), Random: newRandom(), MinLocal: minLocalDaemons}
	return a.SelectAddresses(time.Now(), d.gossiper.Members()) // members have times of the system's clock, like all timeouts of the gossiper
}
