package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
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
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resolver"
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

// changeHandler notes when a configuration comes into force, counts warnings, and
// drops all else.
type changeHandler struct {
	fleet  *fleet
	number int
}

func (h *changeHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}
func (h *changeHandler) WithAttrs([]slog.Attr) slog.Handler { return h }
func (h *changeHandler) WithGroup(string) slog.Handler      { return h }

func (h *changeHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		h.fleet.warned(record.Message)
	}
	if record.Message != reporter.EventConfigChanged.Text {
		return nil
	}
	now := time.Now()
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == "offset" {
			h.fleet.mu.Lock()
			h.fleet.force[h.number][attr.Value.Uint64()] = now
			h.fleet.mu.Unlock()
		}
		return true
	})
	return nil
}

// inForce returns when an offset, or a later one, came into force on the last
// daemon; false while one is missing.
func (f *fleet) inForce(offset uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, offsets := range f.force {
		var first time.Time
		for at, when := range offsets {
			if at >= offset && (first.IsZero() || when.Before(first)) {
				first = when
			}
		}
		if first.IsZero() {
			return last, false
		}
		if first.After(last) {
			last = first
		}
	}
	return last, true
}

func (f *fleet) await(ctx context.Context, offset uint64) (time.Time, error) {
	limit := time.Now().Add(readyTime)
	for time.Now().Before(limit) {
		if at, ok := f.inForce(offset); ok {
			return at, nil
		}
		if failed := f.failed.Load(); failed != nil {
			return time.Time{}, errors.Wrap(*failed, "a daemon ended")
		}
		if err := pause(ctx, 5*time.Millisecond); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, errors.Errorf("offset %d is not in force on all daemons after %v", offset, readyTime)
}

func customer(number int) cowslipproxy.Customer {
	keys := make([]string, keysEach)
	for i := range keys {
		keys[i] = fmt.Sprintf("%064x", number*keysEach+i+1)
	}
	return cowslipproxy.Customer{Name: fmt.Sprintf("customer-%04d", number), Keys: keys, Class: cowslipproxy.ClassNormal, Rate: 1e6, Burst: 1e6}
}

// change appends a version of a customer.
func (f *fleet) change(ctx context.Context, number int, base uint64) (uint64, error) {
	var data []byte
	var err error
	if data, err = changeRecord(number, base); err != nil {
		return 0, err
	}
	return f.log.Append(ctx, cowslipproxy.StreamConfig, data)
}

func changeRecord(number int, base uint64) ([]byte, error) {
	subject := customer(number)
	subject.Rate += float64(base)
	var body []byte
	var err error
	if body, err = resolver.Encode(subject); err != nil {
		return nil, err
	}
	return resolver.Encode(resolver.Change{
		Kind: resolver.KindChange, ID: fmt.Sprintf("%032d", uint64(number)<<32+base),
		Scope: cowslipproxy.ScopeCustomer + subject.Name, Base: base, Body: json.RawMessage(body),
	})
}

// sample is the sum of what a fleet has used at a moment.
type sample struct {
	at                   time.Time
	log, list, peers     traffic
	processor            time.Duration
	reads, claims, polls int64
}

func (f *fleet) sample() sample {
	return sample{
		at: time.Now(), processor: processorTime(),
		log: f.wires.total("log"), list: f.wires.total("list"), peers: f.wires.total("peers"),
		reads: f.reads.Load(), claims: f.claims.Load(), polls: f.polls.Load(),
	}
}

// rates are what one daemon used a second.
type rates struct {
	log, list, peers, wire float64 // bytes a second
	reads, claims, polls   float64 // requests a second
	core                   float64 // percent
}

func (f *fleet) rates(from, to sample) rates {
	each := to.at.Sub(from.at).Seconds() * float64(len(f.settings))
	per := func(n int64) float64 { return float64(n) / each }
	log, list, peers := to.log.minus(from.log), to.list.minus(from.list), to.peers.minus(from.peers)
	return rates{
		// Each byte between daemons has a sender and a receiver.
		log: per(log.Bytes), list: per(list.Bytes), peers: 2 * per(peers.Bytes),
		wire:  per(log.wire() + list.wire() + 2*peers.wire()),
		reads: per(to.reads - from.reads), claims: per(to.claims - from.claims), polls: per(to.polls - from.polls),
		core: 100 * (to.processor - from.processor).Seconds() / each,
	}
}

func (r rates) cells() []any {
	return []any{r.log, r.list, r.peers, r.log + r.list + r.peers, r.wire, r.reads, r.claims, r.polls, r.core}
}

func measureDaemons(ctx context.Context) (*table, error) {
	result := &table{
		Name: "Control traffic by number of daemons",
		Note: "Bytes a second of one daemon, sent and received, without the headers of TCP and IP, but for `wire`, which adds 52 bytes for each TCP segment. " +
			"`changes` has 5 configuration changes a second. `core` is percent of a core for one daemon, with its part of the log and list stand-ins; memory is heap and stacks, with theirs. " +
			"No upstreams, no requests. Times are from the answer to the append to the last daemon.",
		Columns: []string{"daemons", "phase", "log B/s", "list B/s", "peers B/s", "sum B/s", "wire B/s", "config reads/s", "claims reads/s", "list polls/s", "% core", "MB each", "goroutines each", "in force median ms", "worst ms", "warnings"},
	}
	for _, size := range fleetSizes {
		if err := measureFleet(ctx, size, result); err != nil {
			return result, errors.Wrapf(err, "%d daemons", size)
		}
	}
	return result, nil
}

func measureFleet(ctx context.Context, size int, result *table) error {
	before, routines := memory(), runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(ctx)
	var f *fleet
	var err error
	if f, err = newFleet(); err != nil {
		cancel()
		return err
	}
	defer f.close()
	defer cancel()
	if _, err = f.change(ctx, 0, 0); err != nil {
		return err
	}
	for range size {
		if err = f.start(ctx, 3); err != nil {
			return err
		}
	}
	if _, err = f.await(ctx, 0); err != nil {
		return err
	}
	if err = pause(ctx, warmTime); err != nil {
		return err
	}
	starting := f.takeWarnings()
	if starting != "" {
		fmt.Fprintf(os.Stderr, "%d daemons, at the start: %s\n", size, starting)
	}
	each := (memory() - before) / float64(size) / 1e6
	extra := float64(runtime.NumGoroutine()-routines) / float64(size)
	from := f.sample()
	if err = pause(ctx, idleTime); err != nil {
		return err
	}
	result.add(append(append([]any{size, "idle"}, f.rates(from, f.sample()).cells()...), each, extra, "", "", f.takeWarnings())...)
	from = f.sample()
	var delays []time.Duration
	if delays, err = f.changes(ctx); err != nil {
		return err
	}
	result.add(append(append([]any{size, "changes"}, f.rates(from, f.sample()).cells()...), "", "", milliseconds(median(delays)), milliseconds(slices.Max(delays)), f.takeWarnings())...)
	return nil
}

// changes appends changes for some time and returns how long each took to be in
// force on the last daemon.
func (f *fleet) changes(ctx context.Context) ([]time.Duration, error) {
	accepted := map[uint64]time.Time{}
	ticker := time.NewTicker(changeEvery)
	defer ticker.Stop()
	for base := uint64(1); base <= uint64(changeTime/changeEvery); base++ {
		var offset uint64
		var err error
		if offset, err = f.change(ctx, 0, base); err != nil {
			return nil, err
		}
		accepted[offset] = time.Now()
		<-ticker.C
	}
	var delays []time.Duration
	for offset, at := range accepted {
		var last time.Time
		var err error
		if last, err = f.await(ctx, offset); err != nil {
			return nil, err
		}
		delays = append(delays, last.Sub(at))
	}
	return delays, nil
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureChanges measures how the work of a change grows with the scopes in force.
func measureChanges(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Configuration by number of customers",
		Note:    "Direct calls of `resolver`. A change is folded and the configuration is built again, as a daemon does for each batch of records.",
		Columns: []string{"customers", "record B", "us a change", "KB each scope", "snapshot KB", "snapshot ms"},
	}
	for _, count := range []int{10, 100, 3700} {
		if err := measureScopes(count, result); err != nil {
			return nil, err
		}
	}
	return result, ctx.Err()
}

func measureScopes(count int, result *table) error {
	before := memory()
	r := &resolver.Resolver{}
	next, size := uint64(0), 0
	fold := func() error {
		var data []byte
		var err error
		if data, err = changeRecord(int(next)%count, next/uint64(count)); err != nil {
			return err
		}
		size = len(data)
		_, err = r.Fold(cowslipproxy.Batch{Next: next + 1, Entries: []cowslipproxy.Entry{{Offset: next, Data: data}}}, time.Now())
		next++
		return err
	}
	for range count {
		if err := fold(); err != nil {
			return err
		}
	}
	_ = r.Settled()
	held := (memory() - before) / float64(count) / 1000
	var failed error
	took := timed(func() {
		if err := fold(); err != nil {
			failed = err
		}
		_ = r.Settled()
	})
	if failed != nil {
		return failed
	}
	var parts []resolver.Part
	snapshot := timed(func() { parts, failed = r.Snapshot("s") })
	var whole int
	var err error
	if whole, err = encodedSize(parts); err != nil {
		return err
	}
	result.add(count, size, microseconds(took), held, float64(whole)/1000, milliseconds(snapshot))
	runtime.KeepAlive(r)
	return failed
}

func encodedSize(parts []resolver.Part) (int, error) {
	size := 0
	for _, part := range parts {
		var data []byte
		var err error
		if data, err = resolver.Encode(part); err != nil {
			return 0, err
		}
		size += len(data)
	}
	return size, nil
}
