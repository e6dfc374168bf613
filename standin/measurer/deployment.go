// Package measurer measures throughput against the bound and recovery time of a
// whole deployment on loopback.
package measurer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/router"
	"github.com/cowslipproxy/cowslipproxy/follower"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/runner"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/driller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

const (
	centre    = "oyo-a"
	readyTime = 20 * time.Second
	poll      = 50 * time.Millisecond
)

var model = cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 8, Window: 10_000, Effect: cowslipproxy.EffectRepeat, Replicas: 4}

var customers = []driller.Customer{{Name: "officers", Key: "officer-key", Weight: 1}, {Name: "clerks", Key: "clerk-key", Weight: 4}}

// paces are the times of one layer for one decode step, of the engines of each
// range. A full batch takes 5 to 10 ms, so that two stages with a batch in
// front of each stay within 42 ms between tokens.
var paces = []time.Duration{900 * time.Microsecond, 900 * time.Microsecond, 1350 * time.Microsecond, 1800 * time.Microsecond}

// deployment is a log, a list, upstreams and entry daemons on loopback.
type deployment struct {
	ctx     context.Context
	cancel  context.CancelFunc
	log     *appender.Server
	list    *registrar.Registrar
	logAt   netip.AddrPort
	listAt  netip.AddrPort
	engines map[string]*emulator.Engine
	vms     []cowslipproxy.VM
	callers []netip.AddrPort
	ended   sync.WaitGroup
	daemon  *exec.Cmd // the last entry daemon, a process of its own that can be killed
}

// deploy starts engines whose times are scaled and entry daemons, all but the
// last one in this process.
func deploy(ctx context.Context, program string, daemons int, scale float64) (*deployment, error) {
	d := &deployment{log: &appender.Server{}, list: &registrar.Registrar{}, engines: map[string]*emulator.Engine{}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(program, daemons, scale); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(program string, daemons int, scale float64) error {
	var err error
	if d.logAt, err = d.serve(d.log); err != nil {
		return err
	}
	if d.listAt, err = d.serve(d.list.Handler()); err != nil {
		return err
	}
	var serviceAt netip.AddrPort
	if serviceAt, err = d.serve(&server.Server{Name: "ledger-1"}); err != nil {
		return err
	}
	d.list.Put(cowslipproxy.VM{Name: "ledger-1", Role: cowslipproxy.VMService, Service: "ledger", Address: serviceAt, Centre: centre, State: cowslipproxy.VMLive})
	half := model.Layers / 2
	for i, pace := range paces {
		for name, layers := range map[string]cowslipproxy.LayerRange{"a": {First: 0, End: half}, "b": {First: half, End: model.Layers}} {
			if err := d.engine(fmt.Sprint(name, i), layers, time.Duration(float64(pace)*scale)); err != nil {
				return err
			}
		}
	}
	if _, err := (&follower.Publisher{Log: d.log}).Publish(d.ctx, configuration()); err != nil {
		return err
	}
	for i := range daemons {
		if err := d.entry(fmt.Sprint("entry-", i), program, i == daemons-1); err != nil {
			return err
		}
	}
	return d.ready()
}

func configuration() cowslipproxy.Configuration {
	c := cowslipproxy.Configuration{Models: []cowslipproxy.Model{model}}
	for i, customer := range customers {
		sum := sha256.Sum256([]byte(customer.Key))
		class := []cowslipproxy.Class{cowslipproxy.ClassCritical, cowslipproxy.ClassNormal}[i]
		c.Customers = append(c.Customers, cowslipproxy.Customer{Name: customer.Name, Keys: []string{hex.EncodeToString(sum[:])}, Class: class, Rate: 1e9, Burst: 1e10})
	}
	return c
}

// lastPort counts the ports that were drawn. They lie below those that the
// system gives to outgoing connections, one of which could take a port between
// its choice and a daemon's start.
var lastPort atomic.Uint32

func listen() (net.Listener, netip.AddrPort, error) {
	const first, count = 30_000, 2_700
	for range count {
		port := first + (uint32(os.Getpid())*61+lastPort.Add(1))%count
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			return listener, address, nil
		}
	}
	return nil, netip.AddrPort{}, errors.New("no port is free")
}

func (d *deployment) serve(handler http.Handler) (netip.AddrPort, error) {
	var listener net.Listener
	var address netip.AddrPort
	var err error
	if listener, address, err = listen(); err != nil {
		return address, err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(listener) }() // ends with the deployment
	context.AfterFunc(d.ctx, func() { _ = s.Close() })
	return address, nil
}

func (d *deployment) engine(name string, layers cowslipproxy.LayerRange, pace time.Duration) error {
	engine := &emulator.Engine{
		Model: model, Range: layers, Kind: "small", Pace: pace, Prefill: 5 * time.Microsecond, Share: 0.05,
		Batch: 8, Memory: 1_000_000, Prefixes: 1000, Lag: 100 * time.Millisecond, Link: time.Millisecond,
	}
	engine.Init()
	var listener net.Listener
	var address netip.AddrPort
	var err error
	if listener, address, err = listen(); err != nil {
		return err
	}
	serving := grpc.NewServer()
	runner.Register(serving, engine.Handler())
	go func() { _ = serving.Serve(listener) }() // ends with the deployment or by a crash
	go func() { _ = engine.Run(d.ctx) }()
	go func() {
		select {
		case <-engine.Crashed():
		case <-d.ctx.Done():
		}
		serving.Stop()
	}()
	d.engines[name] = engine
	vm := cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEngine, Address: address, Centre: centre, State: cowslipproxy.VMLive}
	d.vms = append(d.vms, vm)
	d.list.Put(vm)
	return nil
}

// entry starts an entry daemon, in this process or as one of its own.
func (d *deployment) entry(name, program string, process bool) error {
	settings := loader.Usual()
	settings.Name, settings.Centre, settings.Log, settings.List = name, centre, d.logAt, d.listAt
	settings.Lifetime = cowslipproxy.Duration(time.Second)
	for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Peers, &settings.Operator} {
		var listener net.Listener
		var free netip.AddrPort
		var err error
		if listener, free, err = listen(); err != nil {
			return err
		}
		*address = free
		defer func() { _ = listener.Close() }() // held until all are drawn, so that they differ
	}
	d.callers = append(d.callers, settings.Callers)
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: centre, State: cowslipproxy.VMLive})
	if !process {
		d.ended.Add(1)
	}
	time.AfterFunc(poll, func() {
		if process {
			return
		}
		defer d.ended.Done()
		one := &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}
		_ = one.Run(d.ctx) // a daemon that ends early fails the check of readiness
	})
	if !process {
		return nil
	}
	d.daemon = exec.Command(program, "-name", name, "-centre", centre, "-callers", settings.Callers.String(), "-peers", settings.Peers.String(),
		"-operator", settings.Operator.String(), "-log", d.logAt.String(), "-list", d.listAt.String(), "-lifetime", "1s", "-level", "error")
	return nil
}

// ready starts the daemon process and waits until all daemons serve and know
// each other.
func (d *deployment) ready() error {
	if err := d.daemon.Start(); err != nil {
		d.daemon = nil
		return errors.WithStack(err)
	}
	limit := time.Now().Add(readyTime)
	for _, address := range d.callers {
		for !d.serves(address) {
			if time.Now().After(limit) {
				return errors.Errorf("daemon %v is not ready after %v", address, readyTime)
			}
			time.Sleep(poll)
		}
	}
	return nil
}

func (d *deployment) serves(address netip.AddrPort) bool {
	if _, err := d.complete(address, "ready?", 2); err != nil {
		return false
	}
	var response *http.Response
	var err error
	if response, err = http.Get("http://" + address.String() + "/v1/addresses"); err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer cowslipproxy.Addresses
	return json.NewDecoder(response.Body).Decode(&answer) == nil && len(answer.Addresses) == len(d.callers)
}

// complete asks one daemon for a whole answer and returns how long it took.
func (d *deployment) complete(address netip.AddrPort, prompt string, count int) (time.Duration, error) {
	var body []byte
	var err error
	if body, err = json.Marshal(map[string]any{"model": model.Name, "prompt": prompt, "max_tokens": count}); err != nil {
		return 0, errors.WithStack(err)
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+address.String()+"/v1/completions", bytes.NewReader(body)); err != nil {
		return 0, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+customers[0].Key)
	began := time.Now()
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("found status %s", response.Status)
	}
	return time.Since(began), nil
}

// kill ends the daemon process at once and returns its processor time.
func (d *deployment) kill(signal syscall.Signal) time.Duration {
	if d.daemon == nil || d.daemon.Process == nil {
		return 0
	}
	_ = d.daemon.Process.Signal(signal) // one that ended already is waited for below
	_ = d.daemon.Wait()                 // a killed process always gives an error
	used := d.daemon.ProcessState.UserTime() + d.daemon.ProcessState.SystemTime()
	d.daemon = nil
	return used
}

func (d *deployment) close() {
	d.kill(syscall.SIGKILL)
	d.cancel()
}

// closeWhole also waits for the planned stop of the daemons in this process,
// which would take processor time from the next measurement.
func (d *deployment) closeWhole() {
	d.close()
	d.ended.Wait()
}
