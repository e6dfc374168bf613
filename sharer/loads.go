package sharer

import (
	"slices"
	"sync"
	"time"
)

// maxLoadAge is how long a daemon's load report is used.
const maxLoadAge = 2500 * time.Millisecond

// Loads aggregates the loads that daemons report. It is safe for concurrent
// use.
type Loads struct {
	mu      sync.Mutex
	reports map[string]report
}

type report struct {
	receivedAt time.Time
	loads      map[string]float64
}

// Put records the loads that a daemon reports: those of its own requests or, for
// the reader of another data centre, those of all requests there.
func (l *Loads) Put(now time.Time, from string, loads map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = map[string]report{}
	}
	l.reports[from] = report{now, loads}
}

// Sum returns the total load by upstream, without the reports of the named
// daemons.
func (l *Loads) Sum(now time.Time, exclude ...string) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := map[string]float64{}
	for from, report := range l.reports {
		if now.Sub(report.receivedAt) > maxLoadAge {
			delete(l.reports, from)
			continue
		}
		if slices.Contains(exclude, from) {
			continue
		}
		for engine, load := range report.loads {
			sum[engine] += load
		}
	}
	return sum
}

// Forget deletes the report of a daemon.
func (l *Loads) Forget(from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reports, from)
}

// Retain deletes the reports of all daemons but the named ones. The loads of a daemon
// that now reports to another one would otherwise count twice until they expire.
func (l *Loads) Retain(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for from := range l.reports {
		if !slices.Contains(names, from) {
			delete(l.reports, from)
		}
	}
}
