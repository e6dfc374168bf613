package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

const (
	warmTime    = 4 * time.Second
	idleTime    = 6 * time.Second
	changeTime  = 5 * time.Second
	firstPort   = 21_000
	lastPort    = 32_000
	readyTime   = 30 * time.Second
	changeEvery = 200 * time.Millisecond // 33 times the rate of 13,000 a day, so that the slope shows above idle traffic
	keysEach    = 8                      // bearer keys of a customer: a body of about 0.6 KB
)

// nextPort grows for as long as this process runs: a daemon that took the address of
// one of an earlier fleet was called by the daemons of that fleet.
var nextPort uint16 = firstPort

var fleetSizes = []int{5, 15, 50, 150}

// fleet is a log, a list and entry daemons in this process.
type fleet struct {
	log      appender.Server
	list     registrar.Registrar
	wires    *wires
	logAt    netip.AddrPort
	listAt   netip.AddrPort
	settings []loader.Settings
	claims   atomic.Int64 // reads of claims streams
	reads    atomic.Int64 // reads of the configuration
	polls    atomic.Int64 // of the list
	failed   atomic.Pointer[error]
	running  sync.WaitGroup

	mu       sync.Mutex
	warnings map[string]int
	force    map[int]map[uint64]time.Time // by daemon: when an offset came into force
	end      []func()
}

func newFleet() (*fleet, error) {
	f := &fleet{wires: newWires(), warnings: map[string]int{}, force: map[int]map[uint64]time.Time{}}
	var err error
	if f.logAt, err = f.serve(http.HandlerFunc(f.serveLog)); err != nil {
		return nil, err
	}
	list := f.list.Handler()
	if f.listAt, err = f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.polls.Add(1)
		list.ServeHTTP(w, r)
	})); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *fleet) serveLog(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/claims-") {
		f.claims.Add(1)
	} else {
		f.reads.Add(1)
	}
	f.log.ServeHTTP(w, r)
}

func (f *fleet) serve(handler http.Handler) (netip.AddrPort, error) {
	var listener net.Listener
	var err error
	if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	f.end = append(f.end, func() { _ = server.Close() }) // the measurement is over
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (f *fleet) role(address string) string {
	switch address {
	case f.logAt.String():
		return "log"
	case f.listAt.String():
		return "list"
	}
	return "peers"
}

// freeAddress returns an address below the ports that the system gives to
// outgoing connections, one of which could else take it before the daemon does.
func (f *fleet) freeAddress() (netip.AddrPort, error) {
	for nextPort++; nextPort < lastPort; nextPort++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), nextPort)
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			return address, errors.WithStack(listener.Close())
		}
	}
	return netip.AddrPort{}, errors.Errorf("no port is free below %d", lastPort)
}

// start runs a daemon until the fleet is closed. Its data centre is one of 13.
func (f *fleet) start(ctx context.Context, centres int) error {
	number := len(f.settings)
	settings := loader.Usual()
	settings.Name, settings.Centre = fmt.Sprint("entry-", number), fmt.Sprint("centre-", number%centres)
	settings.Log, settings.List = f.logAt, f.listAt
	for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Peers, &settings.Operator} {
		var err error
		if *address, err = f.freeAddress(); err != nil {
			return err
		}
	}
	settings.Grace, settings.Lifetime = cowslipproxy.Duration(time.Millisecond), cowslipproxy.Duration(time.Millisecond) // no caller holds an address
	f.settings = append(f.settings, settings)
	f.mu.Lock()
	f.force[number] = map[uint64]time.Time{}
	f.mu.Unlock()
	f.list.Put(cowslipproxy.VM{Name: settings.Name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: settings.Centre, State: cowslipproxy.VMLive})
	one := &router.Router{
		Settings: settings, Clock: time.Now, Metrics: metrics.NewRegistry(), Logger: slog.New(&changeHandler{fleet: f, number: number}),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return f.wires.dial(ctx, address, f.role) },
	}
	f.running.Go(func() {
		labelled("daemon", func() {
			if err := one.Run(ctx); err != nil {
				f.failed.Store(&err)
			}
		})
	})
	return nil
}

// close ends the stand-ins once the daemons, whose context has ended, are gone.
func (f *fleet) close() {
	f.running.Wait()
	for _, end := range f.end {
		end()
	}
}

func (f *fleet) warned(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warnings[event]++
}

// takeWarnings returns the events of level warn and above since the last call.
func (f *fleet) takeWarnings() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var texts []string
	for event, count := range f.warnings {
		texts = append(texts, fmt.Sprintf("%d %s", count, event))
	}
	clear(f.warnings)
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
