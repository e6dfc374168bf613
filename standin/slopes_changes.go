package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/resolver"
)

// changeHandler is a log handler that records when a configuration takes effect on a
// daemon, counts warnings, and discards all other records.
type changeHandler struct {
	fleet  *fleet
	number int // number of the daemon
}

func (h *changeHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}
func (h *changeHandler) WithAttrs([]slog.Attr) slog.Handler { return h }
func (h *changeHandler) WithGroup(string) slog.Handler      { return h }

func (h *changeHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		h.fleet.countWarning(record.Message)
	}
	if record.Message != reporter.EventConfigChanged.Text {
		return nil
	}
	now := time.Now()
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == "offset" {
			h.fleet.mu.Lock()
			h.fleet.effectTimes[h.number][attr.Value.Uint64()] = now
			h.fleet.mu.Unlock()
		}
		return true
	})
	return nil
}

// inEffect returns the time at which an offset, or a later one, took effect on the last
// daemon. It returns false until it has taken effect on all daemons.
func (f *fleet) inEffect(offset uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, offsets := range f.effectTimes {
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

func (f *fleet) waitInEffect(ctx context.Context, offset uint64) (time.Time, error) {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if at, ok := f.inEffect(offset); ok {
			return at, nil
		}
		if daemonErr := f.daemonErr.Load(); daemonErr != nil {
			return time.Time{}, errors.Wrap(*daemonErr, "a daemon stopped")
		}
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return time.Time{}, err
		}
	}
	return time.Time{}, errors.Errorf("offset %d is not in effect on all daemons after %v", offset, readyTimeout)
}

func customer(number int) cowslipproxy.Customer {
	keys := make([]string, keysPerCustomer)
	for i := range keys {
		keys[i] = fmt.Sprintf("%064x", number*keysPerCustomer+i+1)
	}
	return cowslipproxy.Customer{Name: fmt.Sprintf("customer-%04d", number), Keys: keys, Class: cowslipproxy.ClassNormal, Rate: 1e6, Burst: 1e6}
}

// appendChange appends a change of a customer and returns its offset.
func (f *fleet) appendChange(ctx context.Context, number int, base uint64) (uint64, error) {
	var data []byte
	var err error
	if data, err = changeRecord(number, base); err != nil {
		return 0, err
	}
	return f.log.Append(ctx, cowslipproxy.StreamConfig, data)
}

func changeRecord(number int, base uint64) ([]byte, error) {
	changed := customer(number)
	changed.Rate += float64(base)
	var body []byte
	var err error
	if body, err = resolver.Encode(changed); err != nil {
		return nil, err
	}
	return resolver.Encode(resolver.Change{
		Kind: resolver.KindChange, ID: fmt.Sprintf("%032d", uint64(number)<<32+base),
		Scope: cowslipproxy.ScopeCustomer + changed.Name, Base: base, Body: json.RawMessage(body),
	})
}

// measureDelays appends changes for changeTime. For each change it returns the time from
// the log's response to the append until the change was in effect on all daemons.
func (f *fleet) measureDelays(ctx context.Context) ([]time.Duration, error) {
	accepted := map[uint64]time.Time{}
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for base := uint64(1); base <= uint64(changeTime/changeInterval); base++ {
		var offset uint64
		var err error
		if offset, err = f.appendChange(ctx, 0, base); err != nil {
			return nil, err
		}
		accepted[offset] = time.Now()
		<-ticker.C
	}
	var delays []time.Duration
	for offset, at := range accepted {
		var last time.Time
		var err error
		if last, err = f.waitInEffect(ctx, offset); err != nil {
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

// measureChanges measures how the cost of a change grows with the number of scopes in the
// configuration.
func measureChanges(ctx context.Context) (*table, error) {
	result := &table{
		Name:    "Configuration by number of customers",
		Note:    "Direct calls of `resolver`. Each change is applied and the configuration is built again, as a daemon does for each batch of records.",
		Columns: []string{"customers", "record B", "us per change", "KB per scope", "snapshot KB", "snapshot ms"},
	}
	for _, count := range []int{10, 100, 3700} {
		if err := measureScopes(count, result); err != nil {
			return nil, err
		}
	}
	return result, ctx.Err()
}

func measureScopes(count int, result *table) error {
	before := memoryInUse()
	r := &resolver.Resolver{}
	next, size := uint64(0), 0
	apply := func() error {
		var data []byte
		var err error
		if data, err = changeRecord(int(next)%count, next/uint64(count)); err != nil {
			return err
		}
		size = len(data)
		_, err = r.Apply(cowslipproxy.Batch{Next: next + 1, Entries: []cowslipproxy.Entry{{Offset: next, Data: data}}}, time.Now())
		next++
		return err
	}
	for range count {
		if err := apply(); err != nil {
			return err
		}
	}
	_ = r.ActiveConfiguration()
	perScope := (memoryInUse() - before) / float64(count) / 1000
	var callErr error
	changeDuration := meanTime(func() {
		if err := apply(); err != nil {
			callErr = err
		}
		_ = r.ActiveConfiguration()
	})
	if callErr != nil {
		return callErr
	}
	var parts []resolver.Part
	snapshotTime := meanTime(func() { parts, callErr = r.Snapshot("s") })
	var snapshotSize int
	var err error
	if snapshotSize, err = encodedSize(parts); err != nil {
		return err
	}
	result.addRow(count, size, microseconds(changeDuration), perScope, float64(snapshotSize)/1000, milliseconds(snapshotTime))
	runtime.KeepAlive(r)
	return callErr
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
