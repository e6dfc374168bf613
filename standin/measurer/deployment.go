// Package measurer measures the throughput, relative to its theoretical bound, and
// the recovery time of a complete deployment on loopback.
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
	centre       = "oyo-a"
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

var model = cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 8, Window: 10_000, Effect: cowslipproxy.EffectRepeat, Replicas: 4}

var customers = []driller.Customer{{Name: "officers", Key: "officer-key", Weight: 1}, {Name: "clerks", Key: "clerk-key", Weight: 4}}

// decodeTimes are the compute times of one layer for one decode step, one per engine
// of a range. A full batch takes 5 to 10 ms, so that with two stages and one batch
// queued before each the time between tokens stays below 42 ms.
var decodeTimes = []time.Duration{900 * time.Microsecond, 900 * time.Microsecond, 1350 * time.Microsecond, 1800 * time.Microsecond}

// deployment is a log, a list, a service, engines and entry daemons on loopback.
type deployment struct {
	ctx             context.Context
	cancel          context.CancelFunc
	log             *appender.Server
	list            *registrar.Registrar
	logAddress      netip.AddrPort
	listAddress     netip.AddrPort
	engines         map[string]*emulator.Engine
	vms             []cowslipproxy.VM
	callerAddresses []netip.AddrPort
	inProcess       sync.WaitGroup // entry daemons in this process
	daemonCmd       *exec.Cmd      // last entry daemon, a separate process that can be killed
}

// deploy starts a deployment. timeScale is a factor of the engines' decode times. The last
// entry daemon is a separate process of the given program, the others run in this process.
func deploy(ctx context.Context, program string, daemons int, timeScale float64) (*deployment, error) {
	d := &deployment{log: &appender.Server{}, list: &registrar.Registrar{}, engines: map[string]*emulator.Engine{}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(program, daemons, timeScale); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(program string, daemons int, timeScale float64) error {
	var err error
	if d.logAddress, err = d.serve(d.log); err != nil {
		return err
	}
	if d.listAddress, err = d.serve(d.list.Handler()); err != nil {
		return err
	}
	var serviceAddress netip.AddrPort
	if serviceAddress, err = d.serve(&server.Server{Name: "ledger-1"}); err != nil {
		return err
	}
	d.list.Put(cowslipproxy.VM{Name: "ledger-1", Role: cowslipproxy.VMService, Service: "ledger", Address: serviceAddress, Centre: centre, State: cowslipproxy.VMLive})
	half := model.Layers / 2
	for i, decodeTime := range decodeTimes {
		for name, layers := range map[string]cowslipproxy.LayerRange{"a": {First: 0, End: half}, "b": {First: half, End: model.Layers}} {
			if err := d.startEngine(fmt.Sprint(name, i), layers, time.Duration(float64(decodeTime)*timeScale)); err != nil {
				return err
			}
		}
	}
	if _, err := (&follower.Publisher{Log: d.log}).Publish(d.ctx, configuration()); err != nil {
		return err
	}
	for i := range daemons {
		if err := d.addDaemon(fmt.Sprint("entry-", i), program, i == daemons-1); err != nil {
			return err
		}
	}
	return d.waitReady()
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

// portCounter counts the ports that were tried. All are below the ephemeral ports of the
// system: otherwise, an outgoing connection could take a port after it was chosen and
// before a daemon listens on it.
var portCounter atomic.Uint32

// listen opens a listener on a free port of loopback.
func listen() (net.Listener, netip.AddrPort, error) {
	const first, count = 30_000, 2_700
	for range count {
		port := first + (uint32(os.Getpid())*61+portCounter.Add(1))%count
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			return listener, address, nil
		}
	}
	return nil, netip.AddrPort{}, errors.New("no free loopback port in the range of the deployment")
}

// serve starts an HTTP server and returns its address.
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

// startEngine starts an engine and adds it to the list.
func (d *deployment) startEngine(name string, layers cowslipproxy.LayerRange, decodeTime time.Duration) error {
	engine := &emulator.Engine{
		Model: model, Range: layers, Kind: "small", Pace: decodeTime, PrefillTime: 5 * time.Microsecond, BatchOverhead: 0.05,
		MaxBatch: 8, CacheCapacity: 1_000_000, PrefixCacheSize: 1000, ReportInterval: 100 * time.Millisecond, LinkLatency: time.Millisecond,
	}
	engine.Init()
	var listener net.Listener
	var address netip.AddrPort
	var err error
	if listener, address, err = listen(); err != nil {
		return err
	}
	grpcServer := grpc.NewServer()
	runner.Register(grpcServer, engine.Handler())
	go func() { _ = grpcServer.Serve(listener) }() // ends with the deployment or on a crash
	go func() { _ = engine.Run(d.ctx) }()
	go func() {
		select {
		case <-engine.Crashed():
		case <-d.ctx.Done():
		}
		grpcServer.Stop()
	}()
	d.engines[name] = engine
	vm := cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEngine, Address: address, Centre: centre, State: cowslipproxy.VMLive}
	d.vms = append(d.vms, vm)
	d.list.Put(vm)
	return nil
}

// addDaemon adds an entry daemon, in this process or as a separate process that
// waitReady starts.
func (d *deployment) addDaemon(name, program string, separate bool) error {
	settings := loader.Defaults()
	settings.Name, settings.Centre, settings.Log, settings.List = name, centre, d.logAddress, d.listAddress
	settings.Lifetime = cowslipproxy.Duration(time.Second)
	for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Peers, &settings.Operator} {
		var listener net.Listener
		var free netip.AddrPort
		var err error
		if listener, free, err = listen(); err != nil {
			return err
		}
		*address = free
		defer func() { _ = listener.Close() }() // kept open until all ports are chosen, so that they differ
	}
	d.callerAddresses = append(d.callerAddresses, settings.Callers)
	d.list.Put(cowslipproxy.VM{Name: name, Role: cowslipproxy.VMEntry, Address: settings.Peers, Centre: centre, State: cowslipproxy.VMLive})
	if !separate {
		d.inProcess.Add(1)
	}
	time.AfterFunc(pollInterval, func() { // after addDaemon has returned and closed the listeners
		if separate {
			return
		}
		defer d.inProcess.Done()
		daemon := &router.Router{Settings: settings, Clock: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}
		_ = daemon.Run(d.ctx) // waitReady fails if a daemon ends early
	})
	if !separate {
		return nil
	}
	d.daemonCmd = exec.Command(program, "-name", name, "-centre", centre, "-callers", settings.Callers.String(), "-peers", settings.Peers.String(),
		"-operator", settings.Operator.String(), "-log", d.logAddress.String(), "-list", d.listAddress.String(), "-lifetime", "1s", "-level", "error")
	return nil
}

// waitReady starts the daemon process and waits until each daemon serves requests and
// knows all others.
func (d *deployment) waitReady() error {
	if err := d.daemonCmd.Start(); err != nil {
		d.daemonCmd = nil
		return errors.WithStack(err)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, address := range d.callerAddresses {
		for !d.isReady(address) {
			if time.Now().After(deadline) {
				return errors.Errorf("daemon %v is not ready after %v", address, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// isReady reports whether a daemon serves requests and knows all entry daemons.
func (d *deployment) isReady(address netip.AddrPort) bool {
	if _, err := d.complete(address, "ready?", 2); err != nil {
		return false
	}
	var response *http.Response
	var err error
	if response, err = http.Get("http://" + address.String() + "/v1/addresses"); err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var addresses cowslipproxy.Addresses
	return json.NewDecoder(response.Body).Decode(&addresses) == nil && len(addresses.Addresses) == len(d.callerAddresses)
}

// complete sends a completion request to a daemon and returns its latency.
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
	start := time.Now()
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("completion failed with status %s", response.Status)
	}
	return time.Since(start), nil
}

// killDaemon sends a signal to the daemon process, waits for it to exit and returns
// its CPU time.
func (d *deployment) killDaemon(signal syscall.Signal) time.Duration {
	if d.daemonCmd == nil || d.daemonCmd.Process == nil {
		return 0
	}
	_ = d.daemonCmd.Process.Signal(signal) // an error means that it has already exited
	_ = d.daemonCmd.Wait()                 // always returns an error for a killed process
	cpuTime := d.daemonCmd.ProcessState.UserTime() + d.daemonCmd.ProcessState.SystemTime()
	d.daemonCmd = nil
	return cpuTime
}

func (d *deployment) close() {
	d.killDaemon(syscall.SIGKILL)
	d.cancel()
}

// closeAndWait closes the deployment and waits until the daemons in this process have
// stopped. Their shutdown would otherwise take CPU time from the next measurement.
func (d *deployment) closeAndWait() {
	d.close()
	d.inProcess.Wait()
}
