// Package lister polls the platform's list of VMs.
package lister

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	defaultPeriod   = time.Second
	defaultTimeout  = 2 * time.Second
	defaultMaxAge   = 30 * time.Second
	maxBackoff      = 15 * time.Second
	maxResponseSize = 16 << 20 // 8,800 VMs of about 200 bytes are 1.8 MB
)

// Lister polls the list service. Its exported fields are set before Run is called.
type Lister struct {
	URL      string // base URL of the service, without a path
	Client   *http.Client
	Period   time.Duration   // between polls
	Timeout  time.Duration   // of one poll
	MaxAge   time.Duration   // age at which a list becomes outdated
	OnChange func(list List) // called by Run with each list whose VMs differ; optional
	Logger   *slog.Logger

	mu     sync.Mutex
	last   List
	cached cachedResponse
}

// cachedResponse is the last complete response, for conditional requests.
type cachedResponse struct {
	vms          []cowslipproxy.VM
	etag         string
	lastModified string
}

// List is a list of VMs and the time at which it was valid.
type List struct {
	VMs   []cowslipproxy.VM
	Taken time.Time // on this daemon's clock; zero before the first response
}

type listResponse struct {
	VMs []cowslipproxy.VM `json:"vms"`
}

// Check returns an error for the first invalid entry.
func (r listResponse) Check() error {
	seen := map[string]bool{}
	for i, vm := range r.VMs {
		if err := vm.Check(); err != nil {
			return errors.Wrapf(err, "vms[%d]", i)
		}
		if seen[vm.Name] {
			return errors.Errorf("vms[%d]: duplicate name %q; names must be unique", i, vm.Name)
		}
		seen[vm.Name] = true
	}
	return nil
}

var _ cowslipproxy.VMList = (*Lister)(nil)

// VMs implements cowslipproxy.VMList.
func (l *Lister) VMs(ctx context.Context) ([]cowslipproxy.VM, error) {
	list, err := l.Poll(ctx)
	return list.VMs, err
}

// Last returns the last known list.
func (l *Lister) Last() List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// IsFresh reports whether the last known list is recent enough to conclude that a VM
// missing from it no longer exists.
func (l *Lister) IsFresh(now time.Time) bool {
	last := l.Last()
	return !last.Taken.IsZero() && now.Sub(last.Taken) < l.maxAge()
}

func (l *Lister) maxAge() time.Duration {
	if l.MaxAge == 0 {
		return defaultMaxAge
	}
	return l.MaxAge
}

// Run polls the service until ctx is done. While polls fail, it keeps the last known
// list and increases the interval between polls exponentially.
func (l *Lister) Run(ctx context.Context) error {
	period := l.Period
	if period == 0 {
		period = defaultPeriod
	}
	failures := 0
	wasOutdated := false
	for {
		list, err := l.Poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		failures = l.countFailure(ctx, err, failures)
		if err == nil {
			l.update(ctx, list)
			isOutdated := time.Since(list.Taken) >= l.maxAge()
			if isOutdated && !wasOutdated {
				reporter.EventListOutdated.Log(ctx, l.logger(), slog.Time("taken", list.Taken))
			}
			wasOutdated = isOutdated
		}
		if !waiter.Wait(ctx, Backoff(period, failures, rand.Float64())) {
			return nil
		}
	}
}

// Backoff returns the delay before the next poll: the period, doubled with each
// consecutive failure up to 15 s, with 10% jitter. random is in [0,1).
func Backoff(period time.Duration, failures int, random float64) time.Duration {
	maxDelay := max(period, maxBackoff)
	for ; failures > 0 && period < maxDelay; failures-- {
		period *= 2
	}
	return time.Duration(float64(min(period, maxDelay)) * (0.9 + 0.2*random))
}

// countFailure returns the number of consecutive failures including err, or 0 if err is
// nil. It logs the first failure.
func (l *Lister) countFailure(ctx context.Context, err error, failures int) int {
	if err == nil {
		return 0
	}
	if failures == 0 {
		reporter.EventListFailed.Log(ctx, l.logger(), slog.Any("error", err))
	}
	return failures + 1
}

// update stores a list unless it is older than the current one, which happens when
// several servers of the service respond in turn.
func (l *Lister) update(ctx context.Context, list List) {
	l.mu.Lock()
	// Last-Modified has a resolution of one second, and network latency adds to the error.
	if list.Taken.Before(l.last.Taken.Add(-2 * time.Second)) {
		l.mu.Unlock()
		return
	}
	changed := l.last.Taken.IsZero() || !reflect.DeepEqual(l.last.VMs, list.VMs)
	l.last = list
	l.mu.Unlock()
	if changed {
		reporter.EventListChanged.Log(ctx, l.logger(), slog.Int("vms", len(list.VMs)))
		if l.OnChange != nil {
			l.OnChange(list)
		}
	}
}

// Poll requests the list once. It doesn't change the last known list.
func (l *Lister) Poll(ctx context.Context) (List, error) {
	timeout := l.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(l.URL, "/")+"/v1/vms", nil); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	cached := l.cachedResponse()
	if cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	client := l.Client
	if client == nil {
		client = http.DefaultClient
	}
	requestedAt := time.Now()
	var response *http.Response
	if response, err = client.Do(request); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	defer response.Body.Close()
	if cached.etag != "" && response.StatusCode == http.StatusNotModified {
		return List{VMs: cached.vms, Taken: requestedAt.Add(-cached.age(response.Header))}, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, errors.Errorf("list: status %d is not 200", response.StatusCode)
	}
	var list List
	if list, err = decode(response, requestedAt); err != nil {
		return List{}, err
	}
	l.store(cachedResponse{vms: list.VMs, etag: response.Header.Get("ETag"), lastModified: response.Header.Get("Last-Modified")})
	return list, nil
}

func (l *Lister) cachedResponse() cachedResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cached
}

// store caches the VMs of a response with their ETag. They may be older than those in
// last: update ignores the list of a server that lags behind the others.
func (l *Lister) store(cached cachedResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = cached
}

// age returns the age of the list that a 304 response confirms. If the response has
// no Last-Modified header, the cached one is used; otherwise an outdated list would
// count as fresh, and VMs missing from it as removed.
func (c cachedResponse) age(header http.Header) time.Duration {
	if header.Get("Last-Modified") == "" && c.lastModified != "" {
		header = header.Clone()
		header.Set("Last-Modified", c.lastModified)
	}
	return age(header)
}

func decode(response *http.Response, requestedAt time.Time) (List, error) {
	var data []byte
	var err error
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1)); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	if len(data) > maxResponseSize {
		return List{}, errors.Errorf("list: response exceeds %d bytes", maxResponseSize)
	}
	var decoded listResponse
	if err := decoder.JSON(data, &decoded); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	return List{VMs: decoded.VMs, Taken: requestedAt.Add(-age(response.Header))}, nil
}

// age returns the age of a response according to the service. Both times come from
// the service's clock, so that clock differences between the hosts don't matter.
func age(header http.Header) time.Duration {
	var sentAt, lastModified time.Time
	var err error
	if sentAt, err = http.ParseTime(header.Get("Date")); err != nil {
		return 0
	}
	if lastModified, err = http.ParseTime(header.Get("Last-Modified")); err != nil {
		return 0
	}
	return max(0, sentAt.Sub(lastModified))
}

func (l *Lister) logger() *slog.Logger {
	if l.Logger == nil {
		return slog.Default()
	}
	return l.Logger
}
