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
	loadWarm   = 3 * time.Second
	loadEnd    = 11 * time.Second
	oneWarm    = time.Second
	oneEnd     = 6 * time.Second
	oneScale   = 0.1 // of the engines' times, so that the daemon is what is measured
	oneLoad    = 0.2
	latencies  = 150 // requests for the added latency
	shortCount = 8   // tokens of their answers
)

// loads are the parts of the bound at which throughput is measured.
var loads = []float64{0.5, 0.9, 1.0, 1.5}

// Measurer measures a deployment. Its fields are set before Run.
type Measurer struct {
	Program string // entry daemon for those that run as processes of their own
	Tell    func(line string)
}

// Throughput is a run at a part of the bound.
type Throughput struct {
	Load   float64
	Report *driller.Report
}

// Result holds all measurements.
type Result struct {
	Bound        float64 // tokens per second
	Throughputs  []Throughput
	TurnWhole    float64 // tokens per second of the baseline at the bound
	TurnTimely   float64
	SpeedWhole   float64 // the same with turns by speed
	SpeedTimely  float64
	Daemon       *hdrhistogram.Histogram // times of short answers through a daemon
	Direct       *hdrhistogram.Histogram // the same from the engines
	One          *driller.Report         // load through one daemon
	OneProcessor time.Duration           // processor time of that daemon
	OneRequests  int                     // requests of that load, with those of the warm-up
	Recoveries   []Recovery
}

// Run makes all measurements, each in a deployment of its own.
func (m *Measurer) Run(ctx context.Context) (*Result, error) {
	r := &Result{Daemon: hdrhistogram.New(1, int64(time.Minute), 3), Direct: hdrhistogram.New(1, int64(time.Minute), 3)}
	for _, load := range loads {
		if err := m.throughput(ctx, r, load); err != nil {
			return nil, err
		}
	}
	if err := m.baseline(ctx, r); err != nil {
		return nil, err
	}
	if err := m.oneDaemon(ctx, r); err != nil {
		return nil, err
	}
	for _, f := range faults {
		var recovery Recovery
		var err error
		if recovery, err = m.recover(ctx, f); err != nil {
			return nil, err
		}
		r.Recoveries = append(r.Recoveries, recovery)
		m.Tell(fmt.Sprintf("%s: first window %v, lasting %v, last caller %v, longest pause %v, %d of %d not served",
			f.name, recovery.First, recovery.Lasting, recovery.Served, recovery.Pause, recovery.Unserved, recovery.Affected))
	}
	return r, nil
}

// Load measures throughput at one part of the bound only.
func (m *Measurer) Load(ctx context.Context, load float64) error {
	r := &Result{}
	if err := m.throughput(ctx, r, load); err != nil {
		return err
	}
	for _, customer := range r.Throughputs[0].Report.Customers {
		m.Tell(fmt.Sprintf("%s: sent %d, in time %d, refused %v, unknown %d", customer.Customer, customer.Sent, customer.InTime, customer.Refused, customer.Unknown))
	}
	return nil
}

func (m *Measurer) throughput(ctx context.Context, r *Result, load float64) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 3, 1); err != nil {
		return err
	}
	defer d.closeWhole()
	r.Bound = bound(d.engines)
	var report *driller.Report
	if report, err = d.load(load, 0.5, loadWarm, loadEnd).Run(ctx); err != nil {
		return err
	}
	r.Throughputs = append(r.Throughputs, Throughput{Load: load, Report: report})
	m.Tell(fmt.Sprintf("load %.1f: offered %.2f, whole %.2f, in time %.2f of the bound", load,
		report.Offered/r.Bound, report.All.Whole/r.Bound, report.All.Timely/r.Bound))
	return nil
}

// baseline measures the engines without a daemon, and the latency that a daemon
// adds. Requests through a daemon and direct ones take turns, so that both meet
// the same noise.
func (m *Measurer) baseline(ctx context.Context, r *Result) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 1, 1); err != nil {
		return err
	}
	defer d.close()
	var turns *direct
	if turns, err = d.direct(); err != nil {
		return err
	}
	for i := range latencies {
		var took time.Duration
		var err error
		if took, err = d.complete(d.callers[0], fmt.Sprint("daemon ", i), shortCount); err != nil {
			return err
		}
		if err := r.Daemon.RecordValue(int64(took)); err != nil {
			return err
		}
		if took, err = turns.run(ctx, fmt.Sprint("short-", i), fmt.Sprint("direct ", i), shortCount, time.Now().Add(deadline)); err != nil {
			return err
		}
		if err := r.Direct.RecordValue(int64(took)); err != nil {
			return err
		}
	}
	turns.order = evenly
	r.TurnWhole, r.TurnTimely = turns.throughput(ctx, r.Bound/answerTokens, loadWarm, loadEnd)
	turns.order = bySpeed
	r.SpeedWhole, r.SpeedTimely = turns.throughput(ctx, r.Bound/answerTokens, loadWarm, loadEnd)
	m.Tell(fmt.Sprintf("engines in turns at load 1.0: whole %.2f, in time %.2f of the bound; turns by speed: %.2f, %.2f",
		r.TurnWhole/r.Bound, r.TurnTimely/r.Bound, r.SpeedWhole/r.Bound, r.SpeedTimely/r.Bound))
	return nil
}

// oneDaemon measures the processor time of a daemon process in front of fast engines.
func (m *Measurer) oneDaemon(ctx context.Context, r *Result) error {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 1, oneScale); err != nil {
		return err
	}
	defer d.close()
	load := d.load(oneLoad, 0.5, oneWarm, oneEnd)
	load.Seeds = []netip.AddrPort{d.callers[0]}
	if r.One, err = load.Run(ctx); err != nil {
		return err
	}
	r.OneRequests = len(r.One.Traces)
	r.OneProcessor = d.kill(syscall.SIGKILL)
	return nil
}
