package relayer

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/pathfinder"
	"github.com/cowslipproxy/cowslipproxy/reporter"
	"github.com/cowslipproxy/cowslipproxy/throttler"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

const (
	// maxSends bounds how often a request is sent, whatever the reasons.
	maxSends = 5
	// fullWait is the wait after engines had no memory left, doubled each time.
	// A request leaves its memory after some seconds, and many share an engine.
	fullWait = 40 * time.Millisecond
	// pathWait is the time between two looks for a path while some layer has no engine.
	pathWait = 50 * time.Millisecond
	// buffer holds some events of a stream, in bytes.
	buffer = 2 << 10
)

var errNoPath = errors.New("some layer has no engine")

// streaming relays a request that engines run on a path.
type streaming struct {
	*exchange
	sends int // tries so far
	// granted says that the next send was allowed before the run was abandoned.
	// The run's mutex guards it until the run ends.
	granted  bool
	last     string           // id of the last event that the caller got
	runs     int              // runs that engines may have begun
	begun    []string         // first engines that the request was sent to
	avoid    []string         // first engines that broke off
	at       time.Time        // of the last event
	place    *throttler.Place // until the first event
	throttle *throttler.Throttler
}

// run sends the request until an engine has ended the answer or no further try
// is allowed.
func (s *streaming) run(ctx context.Context) *cowslipproxy.Failure {
	s.last = s.query.Last
	if failure := s.enter(ctx); failure != nil {
		return failure
	}
	defer func() { s.throttle.Leave(s.Clock(), s.bounds(), s.place) }()
	finder := s.Upstreams.Finder(s.service.Name)
	var err error
	for s.sends = 1; ; s.sends++ {
		s.granted = false
		var path *pathfinder.Path
		if path, err = s.await(ctx, finder); err != nil {
			break
		}
		var notRun bool
		if notRun, err = s.try(ctx, finder, path); err == nil {
			return nil
		}
		if ctx.Err() != nil || !s.granted && !s.again(notRun) {
			break
		}
		if notRun && !waiter.Wait(ctx, fullWait<<(s.sends-1)+rand.N(fullWait)) {
			break
		}
	}
	return s.giveUp(ctx, err)
}

// await returns a path, and waits for one while engines load layers.
func (s *streaming) await(ctx context.Context, finder *pathfinder.Finder) (*pathfinder.Path, error) {
	limit := s.Clock().Add(s.route.Target)
	for {
		if path, ok := finder.Choose(s.Clock(), s.need()); ok {
			return path, nil
		}
		if s.Clock().After(limit) {
			return nil, errors.WithStack(errNoPath)
		}
		if !waiter.Wait(ctx, pathWait) {
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// need returns what the next try asks of a path. A request that was sent to as
// many engines as its route allows goes on at one of them.
func (s *streaming) need() pathfinder.Need {
	need := pathfinder.Need{Tokens: s.query.Prompt + s.expected(), Avoid: s.avoid}
	if s.runs >= s.route.Attempts {
		need.Avoid, need.Begin = nil, s.begun
	}
	return need
}

// expected returns the answer's expected tokens.
func (s *streaming) expected() int {
	if s.query.Hint > 0 {
		return s.query.Hint
	}
	return s.service.Engine.Answer
}

// again decides whether the request is sent once more.
func (s *streaming) again(notRun bool) bool {
	return s.sends < maxSends && s.retry(notRun, 0)
}

// giveUp tells the caller that no further try is made.
func (s *streaming) giveUp(ctx context.Context, err error) *cowslipproxy.Failure {
	if s.status != 0 {
		return cowslipproxy.Unknown(cowslipproxy.ReasonAnswerLost, "the answer broke off: %v", err)
	}
	if s.runs > 0 {
		return s.fail(ctx, err)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonCancelled, "the caller went away")
	}
	return cowslipproxy.Refuse(cowslipproxy.ReasonNoChain, "no engines took the request: %v", err).After(crowdWait)
}

// try sends the request on a path and relays the events. It reports whether
// the engines provably didn't run it.
func (s *streaming) try(ctx context.Context, finder *pathfinder.Finder, path *pathfinder.Path) (notRun bool, err error) {
	if s.events > 0 {
		reporter.Count(s.Metrics, reporter.MetricResumes)
	}
	r := s.begin(ctx, finder, path)
	defer r.end()
	first := path.First()
	s.path = path.Hops
	s.throttle.Start(s.Clock(), s.place)
	got, err := s.send(r.ctx, cowslipproxy.Dispatch{Instance: first.Instance, Address: first.Address, Path: path.Hops, Last: s.last})
	switch {
	case err == nil && got.StatusCode == http.StatusOK:
		s.count(first)
		err = r.relay(got)
	case err == nil:
		notRun, err = r.rejected(got)
	case errors.Is(err, cowslipproxy.ErrNotStarted):
		notRun = true
		finder.Broken(s.Clock(), first.Address)
	default:
		s.count(first)
	}
	if notRun {
		reporter.Count(s.Metrics, reporter.MetricNotRun)
	}
	if err != nil && !notRun {
		s.avoid = append(s.avoid, first.Instance)
	}
	if err != nil {
		reporter.EventTryFailed.Log(ctx, s.Logger, slog.String("request", s.query.ID), slog.String("upstream", first.Instance),
			slog.Bool("started", !notRun), slog.Int("events", s.events), slog.Any("error", err))
	}
	return notRun, err
}

// count counts a try that engines may have begun to run.
func (s *streaming) count(first cowslipproxy.Hop) {
	s.tries++
	if !slices.Contains(s.begun, first.Instance) {
		s.begun = append(s.begun, first.Instance)
		s.runs++
	}
}

// rejected takes in an answer that is no stream.
func (r *run) rejected(got answered) (notRun bool, err error) {
	_, err = whole(got)
	address := got.Fault
	if !address.IsValid() {
		address = r.path.First().Address
	}
	switch {
	case got.StatusCode == http.StatusMisdirectedRequest:
		r.finder.Broken(r.Clock(), address)
	case got.NotRun:
		r.finder.Full(r.Clock(), address)
	default:
		r.count(r.path.First())
	}
	if err != nil {
		return got.NotRun, err
	}
	return got.NotRun, errors.Errorf("status %d of %s", got.StatusCode, address)
}

// relay passes events on as they arrive.
func (r *run) relay(got answered) error {
	defer got.Body.Close()
	events := eventReader{from: bufio.NewReaderSize(got.Body, buffer)}
	for {
		next, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		r.progress()
		if err := r.pass(got, next); err != nil {
			return err
		}
		if err != nil {
			return nil
		}
	}
}

// delivered takes in when an event went to the caller.
func (s *streaming) delivered(now time.Time) {
	if s.events == 0 {
		s.throttle.First(now, s.bounds(), s.place)
		s.first = now.Sub(s.query.Arrived)
		reporter.Times(s.Metrics, reporter.MetricFirst).Update(int64(s.first))
	} else {
		s.pause = max(s.pause, now.Sub(s.at))
	}
	s.events++
	s.at = now
}

// pass hands one event to the caller, and the head before the first one.
func (s *streaming) pass(got answered, next event) error {
	if s.status == 0 {
		s.copyHeader(got.Header)
		s.w.Header().Del("Content-Length")
		s.status = got.StatusCode
		s.w.WriteHeader(s.status)
	}
	if len(next.data) == 0 {
		return nil
	}
	if _, err := s.w.Write(next.data); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.Wrap(err, "caller")
	}
	s.delivered(s.Clock())
	if next.id != "" {
		s.last = next.id
	}
	return nil
}
