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
	"github.com/cowslipproxy/cowslipproxy/standin/binder"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

const (
	warmUpTime      = 4 * time.Second
	idleTime        = 6 * time.Second
	changeTime      = 5 * time.Second
	readyTimeout    = 30 * time.Second
	changeInterval  = 200 * time.Millisecond // 33 times the rate of 13,000 changes a day, so that the slope is visible above idle traffic
	keysPerCustomer = 8                      // bearer keys; the body of a customer has about 0.6 KB
)

var fleetSizes = []int{5, 15, 50, 150}

// fleet holds a log, a list and entry daemons that run in this process.
type fleet struct {
	log         appender.Server
	list        registrar.Registrar
	meter       *meter
	logAddress  netip.AddrPort
	listAddress netip.AddrPort
	settings    []loader.Settings
	claimReads  atomic.Int64          // requests for the streams of claims
	configReads atomic.Int64          // requests for other streams, which hold the configuration
	listPolls   atomic.Int64          // polls of the list
	daemonErr   atomic.Pointer[error] // error of a daemon that stopped
	running     sync.WaitGroup

	mu          sync.Mutex
	warnings    map[string]int
	effectTimes map[int]map[uint64]time.Time // by daemon number and offset: time at which it took effect
	stop        []func()
}

func newFleet() (*fleet, error) {
	f := &fleet{meter: newMeter(), warnings: map[string]int{}, effectTimes: map[int]map[uint64]time.Time{}}
	var err error
	if f.logAddress, err = f.serve(http.HandlerFunc(f.serveLog)); err != nil {
		return nil, err
	}
	list := f.list.Handler()
	if f.listAddress, err = f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.listPolls.Add(1)
		list.ServeHTTP(w, r)
	})); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *fleet) serveLog(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "/claims-") {
		f.claimReads.Add(1)
	} else {
		f.configReads.Add(1)
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
	f.stop = append(f.stop, func() { _ = server.Close() }) // stops the stand-in after the measurement
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// role returns the role under which the traffic with an address is counted.
func (f *fleet) role(address string) string {
	switch address {
	case f.logAddress.String():
		return "log"
	case f.listAddress.String():
		return "list"
	}
	return "peers"
}

// startDaemon runs a daemon until the context is cancelled. Daemons are distributed evenly
// over the data centres.
func (f *fleet) startDaemon(ctx context.Context, centres int) error {
	number := len(f.settings)
	settings := loader.Defaults()
	settings.Name, settings.Centre = fmt.Sprint("entry-", number), fmt.Sprint("centre-", number%centres)
	settings.Log, settings.List = f.logAddress, f.listAddress
	for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Peers, &settings.Operator} {
		var err error
		if *address, err = binder.FreeAddress(); err != nil {
			return err
		}
	}
	settings.Grace, settings.Lifetime = cowslipproxy.Duration(time.Millisecond), cowslipproxy.Duration(time.Millisecond) // no caller holds an address, so a daemon need not wait when it stops
	f.settings = append(f.settings, settings)
	f.mu.Lock()
	f.effectTimes[number] = map[uint64]time.Time{}
	f.mu.Unlock()
	f.list.Put(cowslipproxy.VM{Name: settings.Name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: settings.Centre, State: cowslipproxy.VMLive})
	daemon := &router.Router{
		Settings: settings, Clock: time.Now, Metrics: metrics.NewRegistry(), Logger: slog.New(&changeHandler{fleet: f, number: number}),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return f.meter.dial(ctx, address, f.role) },
	}
	f.running.Go(func() {
		runLabelled("daemon", func() {
			if err := daemon.Run(ctx); err != nil {
				f.daemonErr.Store(&err)
			}
		})
	})
	return nil
}

// close waits for the daemons, whose context must be cancelled, and stops the stand-ins.
func (f *fleet) close() {
	f.running.Wait()
	for _, stop := range f.stop {
		stop()
	}
}

func (f *fleet) countWarning(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warnings[event]++
}

// takeWarnings returns the events of level warn and above since the last call, with
// their counts.
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
