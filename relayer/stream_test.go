package relayer_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/allocator"
	"github.com/cowslipproxy/cowslipproxy/matcher"
	"github.com/cowslipproxy/cowslipproxy/pacer"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/picker"
	"github.com/cowslipproxy/cowslipproxy/quarantiner"
	"github.com/cowslipproxy/cowslipproxy/relayer"
	"github.com/cowslipproxy/cowslipproxy/retrier"
	"github.com/cowslipproxy/cowslipproxy/throttler"
)

const target = 50 * time.Millisecond // after which a stream without an event is checked

// upstreams has an empty retry budget, so that each retry is asked for at the stand-in for Limits.
type upstreams struct {
	finder    *pathfinder.Finder
	throttler *throttler.Throttler
	pacer     *pacer.Pacer
}

func (u upstreams) Picker(string) *picker.Picker          { return nil }
func (u upstreams) Finder(string) *pathfinder.Finder      { return u.finder }
func (u upstreams) Throttler(string) *throttler.Throttler { return u.throttler }
func (u upstreams) Pacer(string) *pacer.Pacer             { return u.pacer }
func (u upstreams) Budget(string) *retrier.Retrier {
	return &retrier.Retrier{RetryRatio: retrier.NoneIfZero(0), MinPerSecond: retrier.NoneIfZero(0)}
}

type limits struct {
	relayer.Limits
	retry func() bool
}

func (limits) Acquire(context.Context, string, bool) (bool, time.Duration) { return true, 0 }
func (limits) Charge(context.Context, string)                              {}
func (limits) NotNamed(time.Time, time.Time, string)                       {}
func (l limits) Retry(context.Context, string, bool) bool                  { return l.retry() }

// engines answer no query for their state, so that streams that wait for an event are aborted.
type engines struct{ cowslipproxy.EngineControl }

var errNoAnswer = errors.New("no answer")

func (engines) State(context.Context, cowslipproxy.Instance) (cowslipproxy.EngineState, error) {
	return cowslipproxy.EngineState{}, errNoAnswer
}

func (engines) ReplacePath(context.Context, cowslipproxy.Instance, string, []cowslipproxy.Hop) error {
	return errNoAnswer
}

type dialect struct{ cowslipproxy.Dialect }

func (dialect) RelayRequest(r *http.Request, now time.Time) (cowslipproxy.RelayRequest, error) {
	return cowslipproxy.RelayRequest{ID: "1", Host: r.Host, Path: r.URL.Path, Arrived: now}, nil
}

func (dialect) Request(ctx context.Context, _ cowslipproxy.RelayRequest, to cowslipproxy.Dispatch) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address.String(), strings.NewReader(""))
}

func (dialect) Reply(*http.Response) cowslipproxy.ReplyHeader {
	return cowslipproxy.ReplyHeader{Signed: true}
}
func (dialect) Status(*cowslipproxy.Failure) int { return http.StatusBadGateway }
func (dialect) SetID(http.Header, string)        {}

// transport is the network to the upstreams.
type transport func(r *http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

func connect(r *http.Request) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
}

// speeds ignores what streams show of the speed of engines.
type speeds struct{}

func (speeds) RecordLate(context.Context, time.Time, []cowslipproxy.Hop)                 {}
func (speeds) RecordInTime(time.Time, []cowslipproxy.Hop)                                {}
func (speeds) RecordReport(context.Context, time.Time, string, cowslipproxy.EngineState) {}
func (speeds) RecordUnusable(context.Context, time.Time, string)                         {}

func newServer(effect cowslipproxy.Effect, network transport, retry func() bool) *relayer.Server {
	profile := cowslipproxy.EngineProfile{Layers: 4, TokenSize: 1, LayerSize: 1, Kinds: map[string]cowslipproxy.AcceleratorKind{"k": {Memory: 1000}}}
	finder := &pathfinder.Finder{Random: rand.New(rand.NewPCG(1, 1))}
	var instances []cowslipproxy.Instance
	for _, id := range []string{"1", "2"} {
		instances = append(instances, cowslipproxy.Instance{ID: id, Kind: "k", State: cowslipproxy.VMLive, Address: netip.MustParseAddrPort("10.0.0." + id + ":80"), Range: cowslipproxy.LayerRange{End: 4}})
	}
	finder.Set(profile, instances)
	route := cowslipproxy.Route{Host: "h", Prefix: "/", Effect: effect, Stream: true, Public: true, Attempts: 3, Target: target, Timeout: 5 * time.Second, Shares: []cowslipproxy.Share{{Service: "s", Weight: 1}}}
	found := matcher.New(cowslipproxy.RelayConfiguration{Version: 1, Routes: []cowslipproxy.Route{route}, Services: []cowslipproxy.RelayService{{Name: "s", Engine: &profile}}})
	return &relayer.Server{
		Matcher: func() *matcher.Matcher { return found }, Upstreams: upstreams{finder, &throttler.Throttler{}, &pacer.Pacer{}}, Dialect: dialect{}, Engines: engines{},
		Transport: network, Memory: &allocator.Allocator{Limit: 1 << 20}, Quarantine: &quarantiner.Quarantiner{Concurrent: true}, Limits: limits{retry: retry}, Speeds: speeds{},
		Stopping: func() bool { return false }, Rejecting: context.Background(), Ending: context.Background(), Clock: time.Now,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	}
}

func send(server *relayer.Server) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	server.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/1", http.NoBody))
	return w
}

// Guards against a data race between the number of attempts and the stall timer of an attempt that has ended. It shows with the race detector only.
func TestStallTimerOfEndedAttemptReadsNoSharedState(t *testing.T) {
	begin, sends := time.Now(), 0
	network := func(r *http.Request) (*http.Response, error) {
		connect(r)
		if sends++; sends == 1 {
			time.Sleep(3 * target) // the stall timer is asking for a retry
		}
		return nil, errNoAnswer
	}
	retry := func() bool {
		isEarly := time.Since(begin) < 4*target
		time.Sleep(5 * target) // does not synchronize, as a channel or a mutex would do
		return isEarly
	}
	send(newServer(cowslipproxy.EffectRepeat, network, retry))
	require.Equal(t, 2, sends)
}

// Guards against a stall timer that runs before its attempt has it. It shows with the race detector only.
func TestStallTimerIsSetBeforeItRuns(t *testing.T) {
	begin, sends := time.Now(), 0
	network := func(r *http.Request) (*http.Response, error) {
		if sends++; sends == 1 {
			connect(r)
		} else {
			time.Sleep(3 * target) // without a connection, which would synchronize with the timer
		}
		return nil, errNoAnswer
	}
	send(newServer(cowslipproxy.EffectRepeat, network, func() bool { return time.Since(begin) < target }))
	require.Equal(t, 2, sends)
}

// Guards against a second execution of a request whose connection is established after the retry was granted, and against a retry that is not made although none was.
func TestRequestThatArrivesDuringAbortIsNotSentAgain(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		sends := 0
		network := func(r *http.Request) (*http.Response, error) {
			if sends++; sends > 1 {
				return nil, errNoAnswer
			}
			<-r.Context().Done() // the stall timer has granted the retry
			if arrives {
				connect(r)
			}
			return nil, r.Context().Err()
		}
		send(newServer(cowslipproxy.EffectOnce, network, func() bool { return true }))
		if arrives {
			require.Equal(t, 1, sends)
		} else {
			require.Greater(t, sends, 1)
		}
	}
}
