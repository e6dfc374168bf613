package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// usage is the cumulative resource usage of a fleet at a point in time.
type usage struct {
	at                                 time.Time
	log, list, peers                   traffic
	cpuTime                            time.Duration
	configReads, claimReads, listPolls int64
}

func (f *fleet) usage() usage {
	return usage{
		at: time.Now(), cpuTime: processorTime(),
		log: f.meter.total("log"), list: f.meter.total("list"), peers: f.meter.total("peers"),
		configReads: f.configReads.Load(), claimReads: f.claimReads.Load(), listPolls: f.listPolls.Load(),
	}
}

// rates are the mean usage of one daemon per second.
type rates struct {
	log, list, peers, wireBytes        float64 // bytes per second
	configReads, claimReads, listPolls float64 // requests per second
	cpuPercent                         float64 // percent of a core
}

func (f *fleet) rates(from, to usage) rates {
	daemonSeconds := to.at.Sub(from.at).Seconds() * float64(len(f.settings))
	per := func(n int64) float64 { return float64(n) / daemonSeconds }
	log, list, peers := to.log.minus(from.log), to.list.minus(from.list), to.peers.minus(from.peers)
	return rates{
		// A byte between daemons counts twice, for the sender and for the receiver.
		log: per(log.Bytes), list: per(list.Bytes), peers: 2 * per(peers.Bytes),
		wireBytes:   per(log.wireBytes() + list.wireBytes() + 2*peers.wireBytes()),
		configReads: per(to.configReads - from.configReads), claimReads: per(to.claimReads - from.claimReads), listPolls: per(to.listPolls - from.listPolls),
		cpuPercent: 100 * (to.cpuTime - from.cpuTime).Seconds() / daemonSeconds,
	}
}

func (r rates) cells() []any {
	return []any{r.log, r.list, r.peers, r.log + r.list + r.peers, r.wireBytes, r.configReads, r.claimReads, r.listPolls, r.cpuPercent}
}

func measureDaemons(ctx context.Context) (*table, error) {
	result := &table{
		Name: "Control traffic by number of daemons",
		Note: "Bytes per second that one daemon sends and receives, without TCP and IP headers; `wire` adds 52 bytes for each TCP segment. " +
			"The phase `changes` has 5 configuration changes per second. `% core` and `MB each` (heap and stacks) are per daemon and include its share of the log and list stand-ins. " +
			"There are no upstreams and no requests. `in effect` is the time from the response to the append of a change until the change is in effect on the last daemon.",
		Columns: []string{"daemons", "phase", "log B/s", "list B/s", "peers B/s", "sum B/s", "wire B/s", "config reads/s", "claims reads/s", "list polls/s", "% core", "MB each", "goroutines each", "in effect median ms", "worst ms", "warnings"},
	}
	for _, size := range fleetSizes {
		if err := measureFleet(ctx, size, result); err != nil {
			return result, errors.Wrapf(err, "%d daemons", size)
		}
	}
	return result, nil
}

func measureFleet(ctx context.Context, size int, result *table) error {
	before, goroutines := memoryInUse(), runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(ctx)
	var f *fleet
	var err error
	if f, err = newFleet(); err != nil {
		cancel()
		return err
	}
	defer f.close()
	defer cancel()
	if _, err = f.appendChange(ctx, 0, 0); err != nil {
		return err
	}
	for range size {
		if err = f.startDaemon(ctx, 3); err != nil {
			return err
		}
	}
	if _, err = f.waitInEffect(ctx, 0); err != nil {
		return err
	}
	if err = sleep(ctx, warmUpTime); err != nil {
		return err
	}
	warnings := f.takeWarnings()
	if warnings != "" {
		fmt.Fprintf(os.Stderr, "%d daemons, warnings at the start: %s\n", size, warnings)
	}
	memoryEach := (memoryInUse() - before) / float64(size) / 1e6
	goroutinesEach := float64(runtime.NumGoroutine()-goroutines) / float64(size)
	from := f.usage()
	if err = sleep(ctx, idleTime); err != nil {
		return err
	}
	result.addRow(append(append([]any{size, "idle"}, f.rates(from, f.usage()).cells()...), memoryEach, goroutinesEach, "", "", f.takeWarnings())...)
	from = f.usage()
	var delays []time.Duration
	if delays, err = f.measureDelays(ctx); err != nil {
		return err
	}
	result.addRow(append(append([]any{size, "changes"}, f.rates(from, f.usage()).cells()...), "", "", milliseconds(median(delays)), milliseconds(slices.Max(delays)), f.takeWarnings())...)
	return nil
}
