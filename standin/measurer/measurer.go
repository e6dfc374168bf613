package measurer

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipproxy/cowslipproxy/standin/driller"
)

const (
	loadWarmUp      = 3 * time.Second
	loadDuration    = 11 * time.Second
	singleWarmUp    = time.Second
	singleDuration  = 6 * time.Second
	singleTimeScale = 0.1 // scale of the engines' compute times, so that the daemon dominates the measurement
	singleLoad      = 0.2
	latencyRequests = 150 // requests of the latency measurement
	shortTokens     = 8   // completion tokens of these requests
)

// loadFactors are the offered loads, as fractions of the bound, at which throughput is
// measured.
var loadFactors = []float64{0.5, 0.9, 1.0, 1.5}

// Measurer measures a deployment. Its fields must be set before Run.
type Measurer struct {
	Program    string            // path of cowslipd, for daemons that are separate processes
	OnProgress func(line string) // called with each line of the progress output
}

// LoadResult is a load test at a fraction of the bound.
type LoadResult struct {
	LoadFactor float64
	Report     *driller.Report
}

// Result holds the results of all measurements.
type Result struct {
	Bound                float64 // tokens per second
	LoadResults          []LoadResult
	RoundRobinThroughput float64 // tokens per second of the baseline with all engines used equally often, at a load equal to the bound
	RoundRobinGoodput    float64
	WeightedThroughput   float64 // the same with the engines used in proportion to their speeds
	WeightedGoodput      float64
	DaemonLatency        *hdrhistogram.Histogram // latencies of short completions through a daemon
	DirectLatency        *hdrhistogram.Histogram // latencies of short completions directly from the engines
	SingleDaemon         *driller.Report         // load test with a single daemon
	SingleDaemonCPU      time.Duration           // CPU time of that daemon
	SingleDaemonRequests int                     // requests of that load test, including the warm-up
	Recoveries           []Recovery
}

// Run makes all measurements. Each uses a new deployment.
func (m *Measurer) Run(ctx context.Context) (*Result, error) {
	r := &Result{DaemonLatency: hdrhistogram.New(1, int64(time.Minute), 3), DirectLatency: hdrhistogram.New(1, int64(time.Minute), 3)}
	for _, load := range loadFactors {
		if err := m.measureThroughput(ctx, r, load); err != nil {
			return nil, err
		}
	}
	if err := m.measureBaseline(ctx, r); err != nil {
		return nil, err
	}
	if err := m.measureSingleDaemon(ctx, r); err != nil {
		return nil, err
	}
	for _, f := range faults {
		var recovery Recovery
		var err error
		if recovery, err = m.measureRecovery(ctx, f); err != nil {
			return nil, err
		}
		r.Recoveries = append(r.Recoveries, recovery)
		m.OnProgress(fmt.Sprintf("%s: restored after %v, lastingly after %v, last caller served after %v, longest pause %v, %d of %d requests in flight not done",
			f.name, recovery.Restored, recovery.Lasting, recovery.LastServed, recovery.LongestPause, recovery.NotDone, recovery.InFlight))
	}
	return r, nil
}

// Load measures only the throughput at one load, as a fraction of the bound.
func (m *Measurer) Load(ctx context.Context, load float64) error {
	r := &Result{}
	if err := m.measureThroughput(ctx, r, load); err != nil {
		return err
	}
	for _, customer := range r.LoadResults[0].Report.Customers {
		m.OnProgress(fmt.Sprintf("%s: sent %d, in time %d, refused %v, unknown %d", customer.Customer, customer.Sent, customer.InTime, customer.Refused, customer.Unknown))
	}
	return nil
}

func (m *Measurer) measureThroughput(ctx context.Context, r *Result, load float64) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 3, 1); err != nil {
		return err
	}
	defer d.closeAndWait()
	r.Bound = throughputBound(d.engines)
	var report *driller.Report
	if report, err = d.load(load, 0.5, loadWarmUp, loadDuration).Run(ctx); err != nil {
		return err
	}
	r.LoadResults = append(r.LoadResults, LoadResult{LoadFactor: load, Report: report})
	m.OnProgress(fmt.Sprintf("load %.1f: offered %.2f, whole %.2f, in time %.2f of the bound", load,
		report.OfferedThroughput/r.Bound, report.All.Throughput/r.Bound, report.All.Goodput/r.Bound))
	return nil
}

// measureBaseline measures the throughput of the engines without a daemon, and the
// latency with and without a daemon. Requests through the daemon alternate with direct
// ones, so that noise affects both alike.
func (m *Measurer) measureBaseline(ctx context.Context, r *Result) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 1, 1); err != nil {
		return err
	}
	defer d.close()
	var baseline *directDriver
	if baseline, err = d.directDriver(); err != nil {
		return err
	}
	for i := range latencyRequests {
		var latency time.Duration
		var err error
		if latency, err = d.complete(d.callerAddresses[0], fmt.Sprint("daemon ", i), shortTokens); err != nil {
			return err
		}
		if err := r.DaemonLatency.RecordValue(int64(latency)); err != nil {
			return err
		}
		if latency, err = baseline.run(ctx, fmt.Sprint("short-", i), fmt.Sprint("direct ", i), shortTokens, time.Now().Add(deadline)); err != nil {
			return err
		}
		if err := r.DirectLatency.RecordValue(int64(latency)); err != nil {
			return err
		}
	}
	baseline.turnOrder = roundRobin
	r.RoundRobinThroughput, r.RoundRobinGoodput = baseline.throughput(ctx, r.Bound/completionTokens, loadWarmUp, loadDuration)
	baseline.turnOrder = weighted
	r.WeightedThroughput, r.WeightedGoodput = baseline.throughput(ctx, r.Bound/completionTokens, loadWarmUp, loadDuration)
	m.OnProgress(fmt.Sprintf("engines in turns at load 1.0: whole %.2f, in time %.2f of the bound; in turns by speed: whole %.2f, in time %.2f",
		r.RoundRobinThroughput/r.Bound, r.RoundRobinGoodput/r.Bound, r.WeightedThroughput/r.Bound, r.WeightedGoodput/r.Bound))
	return nil
}

// measureSingleDaemon measures the CPU time of a daemon process. The compute times of
// the engines are scaled by singleTimeScale.
func (m *Measurer) measureSingleDaemon(ctx context.Context, r *Result) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 1, singleTimeScale); err != nil {
		return err
	}
	defer d.close()
	load := d.load(singleLoad, 0.5, singleWarmUp, singleDuration)
	load.SeedAddresses = []netip.AddrPort{d.callerAddresses[0]}
	if r.SingleDaemon, err = load.Run(ctx); err != nil {
		return err
	}
	r.SingleDaemonRequests = len(r.SingleDaemon.Traces)
	r.SingleDaemonCPU = d.killDaemon(syscall.SIGKILL)
	return nil
}
