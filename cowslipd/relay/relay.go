// Package relay joins the parts of a daemon that relays whole requests.
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
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/holder"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/registrar"
	"github.com/cowslipproxy/cowslipproxy/relayer"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/sharer"
	"github.com/cowslipproxy/cowslipproxy/watcher"
)

const (
	// dialTime bounds a new connection; usual are 1 ms and the way there.
	dialTime = 500 * time.Millisecond
	// idleTime is longer than callers leave a connection idle that they use
	// again, which is at most the idle time of the configuration.
	idleTime = 2 * time.Minute
	// headTime bounds the head of a request; callers stay within 3 s.
	headTime  = 10 * time.Second
	maxHeader = 64 << 10 // bytes; configurations allow 16 KiB
	// enoughNear is the number of daemons in the caller's data centre from which
	// on no others are named.
	enoughNear = 2
	// silence is the time after which a connection that acknowledges nothing is closed.
	silence = 5 * time.Second
)

// Daemon is a relaying daemon. Its exported fields are set before Run.
type Daemon struct {
	Settings loader.Relay
	Platform cowslipproxy.Platform
	Clock    func() time.Time
	Logger   *slog.Logger
	Metrics  metrics.Registry
	File     string           // the settings file, which is read again when it changes
	Hangup   <-chan os.Signal // asks to read it again

	changed   atomic.Pointer[loader.Relay] // settings read again
	ready     atomic.Bool
	sharing   sharing
	applying  sync.Mutex  // held while a configuration is put in force
	fetching  atomic.Bool // a configuration is on its way from another daemon
	encoding  sync.Mutex
	encoded   encoded
	owner     cowslipproxy.Owner
	matcher   atomic.Pointer[matcher.Matcher]
	registrar registrar.Registrar
	listed    atomic.Bool // the list was read
	stopping  atomic.Bool
	rejecting atomic.Bool
	pools     pools
	gossiper  *gossiper.Gossiper
	lease     *holder.Holder
	server    *relayer.Server
}

// Transport returns a transport with limits on its connections.
func Transport(keep bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTime, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: time.Second, Count: 3}}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: !keep,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTime, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
	}
}

// Run serves until the planned stop that the end of ctx begins is complete.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	var peers *net.TCPListener
	var err error
	if peers, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(d.Settings.Peers)); err != nil {
		return errors.WithStack(err)
	}
	d.gossiper.Listener = peers
	servers := map[netip.AddrPort]http.Handler{
		d.Settings.Callers:   d.server,
		d.Settings.Ready:     d.Platform.Ready(d.isReady),
		d.Settings.Directory: d.Platform.Directory(d.addresses),
	}
	if d.Settings.Metrics != 0 {
		servers[netip.AddrPortFrom(d.Settings.Callers.Addr(), d.Settings.Metrics)] = d.operators()
	}
	for address, handler := range servers {
		var listener net.Listener
		if listener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address)); err != nil {
			return errors.WithStack(err)
		}
		server := d.httpServer(handler)
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
		context.AfterFunc(work, func() { _ = server.Close() }) // the process ends
	}
	group.Go(func() error { return d.gossiper.Run(work) })
	group.Go(func() error { d.watchTables(work); return nil })
	group.Go(func() error { d.watchInstances(work); return nil })
	group.Go(func() error { d.lease.Follow(work); return nil })
	group.Go(func() error { d.askOthers(work); return nil })
	group.Go(func() error { d.placeLayers(work); return nil })
	group.Go(func() error { d.trackMembers(work); return nil })
	group.Go(func() error { d.reload(work); return nil })
	reporter.EventStarted.Log(ctx, d.Logger, slog.String("name", d.owner.Key()), slog.Any("callers", d.Settings.Callers))
	group.Go(func() error { d.stop(ctx, work); cancel(); return nil })
	err = group.Wait()
	reporter.EventStopped.Log(ctx, d.Logger, slog.String("name", d.owner.Key()))
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(d.Logger.Handler(), slog.LevelDebug),
	}
}

func (d *Daemon) watchTables(ctx context.Context) {
	(&watcher.Watcher[cowslipproxy.Table]{
		Name: "configuration", Feed: d.Platform.Tables, Wait: tableWait, Skip: d.sharing.skips, Reader: d.sharing.isReader, Fold: d.foldTables,
		Clock: d.Clock, Logger: d.Logger,
	}).Run(ctx)
}

func (d *Daemon) watchInstances(ctx context.Context) {
	(&watcher.Watcher[cowslipproxy.Instance]{
		Name: "instances", Feed: d.Platform.Instances, Gap: sharer.Period, Skip: d.sharing.skips, Reader: d.sharing.isReader, Fold: d.foldInstances,
		Failed: d.listFailed, Clock: d.Clock, Logger: d.Logger,
	}).Run(ctx)
}

// listFailed takes in that the list can't be read. The others are told all the
// same, so that they know how old it is.
func (d *Daemon) listFailed() {
	d.registrar.Failed()
	d.share(context.Background())
}

// isReady reports whether the daemon can serve callers.
func (d *Daemon) isReady() bool {
	return d.matcher.Load() != nil && d.listed.Load() && !d.stopping.Load()
}

// addresses answers callers that ask where to connect.
func (d *Daemon) addresses(_ time.Time, centre string) cowslipproxy.Addresses {
	answers := advertiser.Advertiser{Centre: centre, Lifetime: time.Duration(d.settings().Lifetime), Random: source(), Enough: enoughNear}
	return answers.Answer(d.gossiper.Members())
}
