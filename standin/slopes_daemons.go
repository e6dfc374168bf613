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
