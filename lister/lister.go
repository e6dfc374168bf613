// Package lister reads the platform's list of VMs.
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
	defaultPeriod  = time.Second
	defaultTimeout = 2 * time.Second
	defaultFresh   = 30 * time.Second
	maxBackoff     = 15 * time.Second
	maxAnswer      = 16 << 20 // 8,800 VMs of about 200 bytes are 1.8 MB
)

// Lister polls the list service. The fields are set before Run.
type Lister struct {
	URL     string // of the service, without a path
	Client  *http.Client
	Period  time.Duration // between polls
	Timeout time.Duration // of one poll
	Fresh   time.Duration // age from which on a list counts as outdated
	Changed func(list List)
	Logger  *slog.Logger

	mu   sync.Mutex
	last List
	held whole
}

// whole is an answer with the whole list, which later polls compare with.
type whole struct {
	vms      []cowslipproxy.VM
	tag      string
	modified string
}

// List is a list of VMs with the time as of which it is known to hold.
type List struct {
	VMs   []cowslipproxy.VM
	Taken time.Time // on this daemon's clock; zero before the first answer
}

type answer struct {
	VMs []cowslipproxy.VM `json:"vms"`
}

// Check reports the first entry that is wrong.
func (a answer) Check() error {
	seen := map[string]bool{}
	for i, vm := range a.VMs {
		if err := vm.Check(); err != nil {
			return errors.Wrapf(err, "vms[%d]", i)
		}
		if seen[vm.Name] {
			return errors.Errorf("vms[%d]: found %q twice, accepted is once", i, vm.Name)
		}
		seen[vm.Name] = true
	}
	return nil
}

var _ cowslipproxy.List = (*Lister)(nil)

// VMs implements cowslipproxy.List.
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

// IsFresh reports whether the last known list is young enough that a VM
// missing from it is gone.
func (l *Lister) IsFresh(now time.Time) bool {
	last := l.Last()
	return !last.Taken.IsZero() && now.Sub(last.Taken) < l.fresh()
}

func (l *Lister) fresh() time.Duration {
	if l.Fresh == 0 {
		return defaultFresh
	}
	return l.Fresh
}

// Run polls the service until ctx is done. While the service fails, it keeps
// the last known list and polls more and more rarely.
func (l *Lister) Run(ctx context.Context) error {
	period := l.Period
	if period == 0 {
		period = defaultPeriod
	}
	failures := 0
	outdated := false
	for {
		list, err := l.Poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		failures = l.note(ctx, err, failures)
		if err == nil {
			l.accept(ctx, list)
			old := time.Since(list.Taken) >= l.fresh()
			if old && !outdated {
				reporter.EventListOutdated.Log(ctx, l.logger(), slog.Time("taken", list.Taken))
			}
			outdated = old
		}
		if !waiter.Wait(ctx, Backoff(period, failures, rand.Float64())) {
			return nil
		}
	}
}

// Backoff returns the wait before the next poll: the period with a jitter of a
// tenth, doubled with each failure up to 15 s. The random number is in [0,1).
func Backoff(period time.Duration, failures int, random float64) time.Duration {
	limit := max(period, maxBackoff)
	for ; failures > 0 && period < limit; failures-- {
		period *= 2
	}
	return time.Duration(float64(min(period, limit)) * (0.9 + 0.2*random))
}

func (l *Lister) note(ctx context.Context, err error, failures int) int {
	if err == nil {
		return 0
	}
	if failures == 0 {
		reporter.EventListFailed.Log(ctx, l.logger(), slog.Any("error", err))
	}
	return failures + 1
}

// accept stores a list unless it is older than the one that is held, which
// happens when several servers of the service answer in turn.
func (l *Lister) accept(ctx context.Context, list List) {
	l.mu.Lock()
	// Last-Modified counts whole seconds, and the answer's way adds to the error.
	if list.Taken.Before(l.last.Taken.Add(-2 * time.Second)) {
		l.mu.Unlock()
		return
	}
	changed := l.last.Taken.IsZero() || !reflect.DeepEqual(l.last.VMs, list.VMs)
	l.last = list
	l.mu.Unlock()
	if changed {
		reporter.EventListChanged.Log(ctx, l.logger(), slog.Int("vms", len(list.VMs)))
		if l.Changed != nil {
			l.Changed(list)
		}
	}
}

// Poll asks the service once.
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
	held := l.whole()
	if held.tag != "" {
		request.Header.Set("If-None-Match", held.tag)
	}
	client := l.Client
	if client == nil {
		client = http.DefaultClient
	}
	asked := time.Now()
	var response *http.Response
	if response, err = client.Do(request); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	defer response.Body.Close()
	if held.tag != "" && response.StatusCode == http.StatusNotModified {
		return List{VMs: held.vms, Taken: asked.Add(-held.age(response.Header))}, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, errors.Errorf("list: found status %d, accepted is 200", response.StatusCode)
	}
	var list List
	if list, err = decode(response, asked); err != nil {
		return List{}, err
	}
	l.hold(whole{vms: list.VMs, tag: response.Header.Get("ETag"), modified: response.Header.Get("Last-Modified")})
	return list, nil
}

func (l *Lister) whole() whole {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// hold keeps an answer. It isn't that of last if it came from a server that is
// behind the others; its tag then stands for the older list, too.
func (l *Lister) hold(held whole) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// age is how old an answer is that says that the list didn't change. A service
// may leave Last-Modified out of it; to take the list as new would then let VMs
// that are missing from an outdated list count as gone.
func (w whole) age(header http.Header) time.Duration {
	if header.Get("Last-Modified") == "" && w.modified != "" {
		header = header.Clone()
		header.Set("Last-Modified", w.modified)
	}
	return age(header)
}

func decode(response *http.Response, asked time.Time) (List, error) {
	var data []byte
	var err error
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer+1)); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	if len(data) > maxAnswer {
		return List{}, errors.Errorf("list: found more than %d bytes", maxAnswer)
	}
	var decoded answer
	if err := decoder.JSON(data, &decoded); err != nil {
		return List{}, errors.Wrap(err, "list")
	}
	return List{VMs: decoded.VMs, Taken: asked.Add(-age(response.Header))}, nil
}

// age is how old the service says its answer is. Both times are of the
// service's clock, so that a wrong clock on either side doesn't matter.
func age(header http.Header) time.Duration {
	var sent, modified time.Time
	var err error
	if sent, err = http.ParseTime(header.Get("Date")); err != nil {
		return 0
	}
	if modified, err = http.ParseTime(header.Get("Last-Modified")); err != nil {
		return 0
	}
	return max(0, sent.Sub(modified))
}

func (l *Lister) logger() *slog.Logger {
	if l.Logger == nil {
		return slog.Default()
	}
	return l.Logger
}
