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
	faultWarmUp    = 2 * time.Second
	faultAt        = 4 * time.Second
	faultDuration  = 9 * time.Second
	faultLoad      = 0.5
	restoredShare  = 0.95
	lastingWindows = 4 // consecutive windows whose mean must reach the target for a lasting recovery
)

// fault is a named fault and the function that injects it into a deployment.
type fault struct {
	name  string
	apply func(d *deployment)
}

var faults = []fault{
	{"none", func(*deployment) {}},
	{"stage killed", killStage},
	{"stage stalled", func(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{Stall: true}) }},
	{"link slowed 10 times", func(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{LinkFactor: 10}) }},
	{"entry daemon killed", func(d *deployment) { d.killDaemon(syscall.SIGKILL) }},
	{"log down", func(d *deployment) { d.log.SetSettings(appender.Settings{Down: true}) }},
	{"list stale", func(d *deployment) { d.list.Set(registrar.Control{Stale: true}) }},
	{"stage and entry daemon killed", func(d *deployment) { killStage(d); d.killDaemon(syscall.SIGKILL) }},
}

func killStage(d *deployment) { d.engines["a0"].SetFaults(emulator.Faults{CrashAtStep: 1}) }

// Recovery holds the recovery times after a fault and its effect on requests in flight.
type Recovery struct {
	Fault        string
	Restored     time.Duration // from the fault to the end of the first window with 95 % of the mean throughput before the fault; -1 if none
	Lasting      time.Duration // from the fault to the end of the first of 4 consecutive windows whose mean reaches that throughput
	LastServed   time.Duration // from the fault until each completed request in flight had received its next token
	LongestPause time.Duration // longest time between tokens of a request in flight
	InFlight     int           // requests in flight at the fault
	NotDone      int           // requests in flight that were not completed
	Report       *driller.Report
}

// measureRecovery injects a fault into a new deployment under load and measures the
// recovery.
func (m *Measurer) measureRecovery(ctx context.Context, f fault) (Recovery, error) {
	var d *deployment
	var err error
	if d, err = deploy(ctx, m.Program, 3, 1); err != nil {
		return Recovery{}, err
	}
	defer d.close()
	load := d.load(faultLoad, 1, faultWarmUp, faultDuration)
	var at time.Duration
	start := time.Now()
	timer := time.AfterFunc(faultAt, func() { at = time.Since(start); f.apply(d) })
	defer timer.Stop()
	var report *driller.Report
	if report, err = load.Run(ctx); err != nil {
		return Recovery{}, err
	}
	return evaluate(f.name, at, report), nil
}

// evaluate computes the recovery times from the report of a run with a fault at the
// given time after its start.
func evaluate(name string, at time.Duration, report *driller.Report) Recovery {
	r := Recovery{Fault: name, Report: report, Restored: -1, Lasting: -1}
	warmUpWindows, faultWindow := int(faultWarmUp/driller.Window), int(at/driller.Window)
	target := restoredShare * meanTokens(report.Windows[warmUpWindows:faultWindow])
	end := int(faultDuration / driller.Window)
	for i := faultWindow + 1; i < end; i++ { // the window of the fault has tokens from before and after it
		elapsed := time.Duration(i+1)*driller.Window - at
		if r.Restored < 0 && float64(report.Windows[i]) >= target {
			r.Restored = elapsed
		}
		if r.Lasting < 0 && i+lastingWindows <= end && meanTokens(report.Windows[i:i+lastingWindows]) >= target {
			r.Lasting = elapsed
		}
	}
	for _, trace := range report.Traces {
		if trace.Arrived <= at && trace.Ended > at {
			r.addTrace(trace, at)
		}
	}
	return r
}

// addTrace updates the recovery times with a request that was in flight at the fault.
func (r *Recovery) addTrace(trace driller.Trace, at time.Duration) {
	r.InFlight++
	if trace.Outcome != cowslipproxy.OutcomeDone {
		r.NotDone++
		return
	}
	last := at
	for _, token := range trace.TokenTimes {
		if token <= at {
			continue
		}
		if last == at {
			r.LastServed = max(r.LastServed, token-at)
		}
		r.LongestPause = max(r.LongestPause, token-last)
		last = token
	}
}

// meanTokens returns the mean number of tokens per window.
func meanTokens(windows []int64) float64 {
	var total int64
	for _, tokens := range windows {
		total += tokens
	}
	return float64(total) / float64(max(1, len(windows)))
}
