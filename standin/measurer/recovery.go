package measurer

import (
	"context"
	"syscall"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/appender"
	"github.com/cowslipproxy/cowslipproxy/standin/driller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/registrar"
)

const (
	faultWarm  = 2 * time.Second
	faultAt    = 4 * time.Second
	faultEnd   = 9 * time.Second
	faultLoad  = 0.5
	restored   = 0.95
	lastWindow = 4 // windows whose mean shows a lasting recovery
)

// fault is something that goes wrong in a deployment.
type fault struct {
	name  string
	apply func(d *deployment)
}

var faults = []fault{
	{"none", func(*deployment) {}},
	{"stage killed", killStage},
	{"stage stalled", func(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{Stall: true}) }},
	{"link slowed 10 times", func(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{Link: 10}) }},
	{"entry daemon killed", func(d *deployment) { d.kill(syscall.SIGKILL) }},
	{"log down", func(d *deployment) { d.log.SetFaults(appender.Faults{Down: true}) }},
	{"list stale", func(d *deployment) { d.list.Set(registrar.Control{Stale: true}) }},
	{"stage and entry daemon killed", func(d *deployment) { killStage(d); d.kill(syscall.SIGKILL) }},
}

func killStage(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{After: 1}) }

// Recovery is what a fault costs.
type Recovery struct {
	Fault    string
	First    time.Duration // from the fault to the end of the first window at 95 % of the throughput before
	Lasting  time.Duration // the same for the first second whose mean reaches it
	Served   time.Duration // from the fault until the last caller in flight got its next token
	Pause    time.Duration // longest time without a token of a request in flight
	Affected int           // requests in flight
	Unserved int           // of these: not done
	Report   *driller.Report
}

func (m *Measurer) recover(ctx context.Context, f fault) (Recovery, error) {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 3, 1); err != nil {
		return Recovery{}, err
	}
	defer d.close()
	load := d.load(faultLoad, 1, faultWarm, faultEnd)
	var at time.Duration
	began := time.Now()
	timer := time.AfterFunc(faultAt, func() { at = time.Since(began); f.apply(d) })
	defer timer.Stop()
	var report *driller.Report
	if report, err = load.Run(ctx); err != nil {
		return Recovery{}, err
	}
	return evaluate(f.name, at, report), nil
}

// evaluate finds the recovery times in a report.
func evaluate(name string, at time.Duration, report *driller.Report) Recovery {
	r := Recovery{Fault: name, Report: report, First: -1, Lasting: -1}
	from, fault := int(faultWarm/driller.Window), int(at/driller.Window)
	goal := restored * mean(report.Windows[from:fault])
	end := int(faultEnd / driller.Window)
	for i := fault + 1; i < end; i++ { // the window of the fault is mixed
		after := time.Duration(i+1)*driller.Window - at
		if r.First < 0 && float64(report.Windows[i]) >= goal {
			r.First = after
		}
		if r.Lasting < 0 && i+lastWindow <= end && mean(report.Windows[i:i+lastWindow]) >= goal {
			r.Lasting = after
		}
	}
	for _, trace := range report.Traces {
		if trace.Arrived <= at && trace.Ended > at {
			r.add(trace, at)
		}
	}
	return r
}

// add takes in a request that was in flight at the fault.
func (r *Recovery) add(trace driller.Trace, at time.Duration) {
	r.Affected++
	if trace.Outcome != cowslipproxy.OutcomeDone {
		r.Unserved++
		return
	}
	last := at
	for _, token := range trace.Tokens {
		if token <= at {
			continue
		}
		if last == at {
			r.Served = max(r.Served, token-at)
		}
		r.Pause = max(r.Pause, token-last)
		last = token
	}
}

func mean(windows []int64) float64 {
	var sum int64
	for _, tokens := range windows {
		sum += tokens
	}
	return float64(sum) / float64(max(1, len(windows)))
}
